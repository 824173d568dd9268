"""The platform's stand-in and the gateway to it, also when calls fail."""

import asyncio
import contextlib

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.platform import (
    ABSENT,
    CompareFailed,
    HttpPlatformGateway,
    PlatformUnavailable,
    StoreEntry,
    VirtualMachine,
)
from tanagerkeel.standins import PlatformFaults, PlatformOutage, PlatformStandIn
from tests.fixtures import serving, serving_standin, until
from tests.support import collect


@attrs.frozen
class Setup:
    platform: PlatformStandIn
    gateway: HttpPlatformGateway
    clock: ManualClock
    client: aiohttp.ClientSession
    address: str


@contextlib.asynccontextmanager
async def running_platform():
    clock = ManualClock()
    platform = PlatformStandIn(clock)
    async with (
        serving_standin(platform) as address,
        aiohttp.ClientSession() as client,
    ):
        gateway = HttpPlatformGateway(client, address)
        yield Setup(platform, gateway, clock, client, address)


async def raised_error(awaitable, error_class):
    try:
        await awaitable
    except error_class as error:
        return error
    raise AssertionError(f"{error_class.__name__} was not raised")


async def test_compare_and_swap_accepts_one_of_concurrent_writers():
    async with running_platform() as setup:
        first = await setup.gateway.put("a b?/c", b"1", expected=ABSENT)
        results = await asyncio.gather(
            *(
                setup.gateway.put("a b?/c", bytes([n]), expected=first)
                for n in range(8)
            ),
            return_exceptions=True,
        )
        revisions = [r for r in results if isinstance(r, int)]
        assert len(revisions) == 1
        conflicts = [r for r in results if isinstance(r, CompareFailed)]
        assert {c.revision for c in conflicts} == set(revisions)
        assert len(conflicts) == 7
        assert (await setup.gateway.get("a b?/c")).revision == revisions[0]
        error = await raised_error(setup.gateway.delete("a b?/c", first), CompareFailed)
        assert error.revision == revisions[0]
        await setup.gateway.delete("a b?/c", revisions[0])
        assert await setup.gateway.get("a b?/c") is None
        assert setup.platform.calls["put"] == 9


async def test_list_returns_binary_values_in_order_of_keys():
    async with running_platform() as setup:
        await setup.gateway.put("x/2", b"\xff\x00", expected=None)
        await setup.gateway.put("x/1", b"", expected=None)
        await setup.gateway.put("y/1", b"no", expected=None)
        assert await setup.gateway.list("x/") == (
            StoreEntry("x/1", b"", 2),
            StoreEntry("x/2", b"\xff\x00", 1),
        )


async def test_value_over_a_megabyte_is_refused_on_both_sides():
    async with running_platform() as setup:
        await raised_error(setup.gateway.put("k", bytes(1_000_001)), ValueError)
        url = f"http://{setup.address}/kv/k"
        async with setup.client.put(url, data=bytes(1_000_001)) as response:
            assert response.status == 413
        assert await setup.gateway.get("k") is None
        await setup.gateway.put("k", bytes(1_000_000))


async def test_write_whose_reply_is_lost_takes_effect_and_is_sent_once():
    async with running_platform() as setup:
        # Leaves a pooled connection, on which aiohttp may retry requests by itself.
        await setup.gateway.put("warm", b"")
        await setup.platform.set_faults(PlatformFaults(lost_replies=1))
        write = setup.gateway.put("k", b"mine", expected=ABSENT)
        error = await raised_error(write, PlatformUnavailable)
        assert error.sent
        assert setup.platform.calls["put"] == 2
        assert (await setup.gateway.get("k")).value == b"mine"


async def test_invalid_replies_raise_platform_unavailable():
    for status, headers, body in (
        (404, [], b""),
        (200, [(b"x-revision", b"soon")], b"\xc1"),
    ):
        start_event = {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
        body_event = {"type": "http.response.body", "body": body}

        async def app(
            scope, receive, send, start_event=start_event, body_event=body_event
        ):
            await send(start_event)
            await send(body_event)

        async with serving(app) as address, aiohttp.ClientSession() as client:
            gateway = HttpPlatformGateway(client, address)
            for call in (
                gateway.put("k", b""),
                gateway.delete("k"),
                gateway.list("k"),
                gateway.grant(1),
                gateway.revoke(1),
                gateway.list_vms(),
            ):
                assert (await raised_error(call, PlatformUnavailable)).sent


async def test_call_in_a_refused_outage_is_not_sent():
    async with running_platform() as setup:
        waiting = asyncio.create_task(setup.gateway.watch("k", ABSENT, 60_000))
        await until(lambda: setup.platform.calls["watch"])
        await setup.platform.set_faults(PlatformFaults(outage=PlatformOutage.REFUSED))
        assert (await raised_error(waiting, PlatformUnavailable)).sent
        error = await raised_error(setup.gateway.put("k", b"1"), PlatformUnavailable)
        assert not error.sent
        await setup.platform.set_faults(PlatformFaults())
        assert await setup.gateway.put("k", b"1") == 1


async def test_unavailable_outage_ends_after_its_duration():
    async with running_platform() as setup:
        faults = PlatformFaults(outage=PlatformOutage.UNAVAILABLE, outage_ms=500)
        url = f"http://{setup.address}/faults"
        async with setup.client.put(url, data=codec.encode(faults)) as response:
            assert response.status == 200
        async with setup.client.put(url, data=b'{"outtage": "none"}') as response:
            assert response.status == 400
        error = await raised_error(setup.gateway.get("k"), PlatformUnavailable)
        assert error.sent
        setup.clock.advance(0.5)
        await until(lambda: setup.platform.faults.outage is PlatformOutage.NONE)
        assert await setup.gateway.get("k") is None


async def test_watch_returns_on_a_change_and_times_out_without_one():
    async with running_platform() as setup:
        assert await setup.gateway.watch("k", ABSENT, 10) is None
        waiting = asyncio.create_task(setup.gateway.watch("k", ABSENT, 60_000))
        await until(lambda: setup.platform.calls["watch"] == 2)
        await setup.gateway.put("other", b"")
        await setup.gateway.put("k", b"new")
        assert (await waiting).value == b"new"


async def test_lapsed_lease_deletes_its_keys_and_rejects_writes():
    async with running_platform() as setup:
        lease = await setup.gateway.grant(1_000)
        await setup.gateway.put("bound", b"", ABSENT, lease.lease_id)
        setup.clock.advance(0.9)
        assert await setup.gateway.keep_alive(lease.lease_id)
        setup.clock.advance(0.9)
        assert await setup.gateway.get("bound") is not None
        setup.clock.advance(0.2)
        assert await setup.gateway.get("bound") is None
        assert not await setup.gateway.keep_alive(lease.lease_id)
        write = setup.gateway.put("bound", b"", ABSENT, lease.lease_id)
        await raised_error(write, CompareFailed)
        second = await setup.gateway.grant(1_000)
        assert second.lease_id > lease.lease_id
        await setup.gateway.put("bound", b"", ABSENT, second.lease_id)
        await setup.gateway.revoke(second.lease_id)
        assert await setup.gateway.get("bound") is None


async def test_restore_resets_values_and_revisions():
    async with running_platform() as setup:
        await setup.gateway.put("k", b"old")
        snapshot = setup.platform.snapshot()
        await setup.gateway.put("k", b"new")
        await setup.platform.restore(snapshot)
        assert await setup.gateway.get("k") == StoreEntry("k", b"old", 1)


async def test_vm_list_lags():
    async with running_platform() as setup:
        await setup.platform.set_faults(PlatformFaults(vm_lag_ms=5_000))
        vm = VirtualMachine("10.0.0.1", "cebu-1", leaving=True)
        setup.platform.set_vms((vm,))
        assert await setup.gateway.list_vms() == ()
        setup.clock.advance(5)
        assert await setup.gateway.list_vms() == (vm,)


def load_tests(loader, tests, pattern):
    return collect(globals())
