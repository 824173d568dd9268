"""
A store that returns from an older copy: what nodes believe, and what they write again.

Covers the rules CONFIG, DRAIN and EVAC. The nodes reach the store over HTTP, as its
answers name its era in a header.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import aiohttp
import attrs

from panunumpa import PlatformStore
from tanagerkeel.gateways.http_client import WholeResponse
from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.relay_entry import RelayBounds
from tests.platform.fixtures import (
    ANY_PORT,
    MemoryStore,
    Relay,
    configuration,
    respond_with_id,
    route,
    running_relay,
)
from tests.platform.soak_links import StoreServer
from tests.support import collect

REQUEST_COUNT = 6
NEWS_KEY = "tanagerkeel/news-key"
# A route that a later version of the configuration adds.
ADDED_ROUTE = route("added", "safe", "booking")


@contextlib.asynccontextmanager
async def relay_over_http(*scripts, **options) -> AsyncIterator[Relay]:
    """Run nodes, as :func:`running_relay` does, that call the store over HTTP."""
    store = MemoryStore()
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(response_class=WholeResponse)
        )
        server = HttpServer(StoreServer(store), "127.0.0.1", 0)
        await server.start()
        stack.push_async_callback(server.stop, 0.0)
        yield await stack.enter_async_context(
            running_relay(
                *scripts,
                store=store,
                connect=lambda _: PlatformStore(session, server.address),
                **options,
            )
        )


def pass_revision(relay: Relay, revision: int) -> None:
    """Let the store's revision pass another one, by writes that nodes ignore."""
    while relay.store.revision <= revision:
        relay.store.write("op/other", {})


async def write_again(relay: Relay, number: int = 0, times: int = 5) -> int:
    """
    Write an engine's entry again, and wait until the nodes have read it.

    :returns: its revision, which the nodes know.
    """
    engine = relay.engines[number]
    key = engine.engine_id
    for sequence in range(times):
        relay.store.write(
            f"servers/{key}", engine.store_entry("booking", sequence=2 + sequence)
        )
    known = relay.store.revision
    tables = [node.state.backends for node in relay.nodes]
    await relay.until(lambda: all(table.get(key).revision == known for table in tables))
    return known


def version_in_force(relay: Relay, node: int = 0) -> int:
    return relay.nodes[node].state.configuration.version


async def bodies_of_lookups(relay: Relay, node: int = 0) -> set[bytes]:
    """Send requests one after the other; return the bodies of the responses."""
    replies = [
        await relay.call("/lookup/x", node=node, request_id=f"r{n}")
        for n in range(REQUEST_COUNT)
    ]
    return {reply.body for reply in replies}


async def test_a_version_that_is_written_below_the_known_revision_is_in_force():
    async with relay_over_http(respond_with_id) as relay:
        store = relay.store
        copy = store.copy()
        known = await write_again(relay)
        async with outage(relay):
            store.restore(copy)
            added = configuration(5)
            added["routes"].append(ADDED_ROUTE)
            store.write("op/config", added)
            pass_revision(relay, known)
        await relay.until(lambda: version_in_force(relay) == 5)
        assert (await relay.call("/added/x")).status == 200


async def test_a_server_that_drains_below_its_known_revision_gets_no_request():
    async with relay_over_http(respond_with_id, respond_with_id) as relay:
        store, draining = relay.store, relay.engines[0]
        copy = store.copy()
        await write_again(relay)
        async with outage(relay):
            store.restore(copy)
            store.write(
                "servers/i-0", draining.store_entry("booking", state="draining")
            )
        await relay.until(
            lambda: relay.node.state.backends.get("i-0").server.state == "draining"
        )
        assert await bodies_of_lookups(relay) == {b"i-1"}


async def test_two_returns_in_a_row_leave_the_newest_version_in_force():
    async with relay_over_http(respond_with_id) as relay:
        store = relay.store
        copy = store.copy()
        store.write("op/config", configuration(5))
        await relay.until(lambda: version_in_force(relay) == 5)
        known = await write_again(relay)
        async with outage(relay):
            store.restore(copy)
        await relay.until(lambda: era_of(relay) == 2)
        async with outage(relay):
            store.restore(copy)
            store.write("op/config", configuration(6))
            pass_revision(relay, known)
        # The copies hold version 2, which is never in force again.
        versions = set()
        while version_in_force(relay) != 6:
            versions.add(version_in_force(relay))
            await asyncio.sleep(0.01)
        assert versions <= {5} and era_of(relay) <= 3


async def test_an_invalid_version_in_a_new_era_leaves_the_known_one_in_force():
    async with relay_over_http(respond_with_id) as relay:
        store = relay.store
        copy = store.copy()
        await write_again(relay)
        async with outage(relay):
            store.restore(copy)
            store.write("op/config", b'{"version": 9, "routes": 1}')
        await relay.until(lambda: era_of(relay) == 2)
        assert version_in_force(relay) == 2
        assert (await relay.call("/lookup/x")).status == 200
        added = configuration(10)
        added["routes"].append(ADDED_ROUTE)
        store.write("op/config", added)
        await relay.until(lambda: version_in_force(relay) == 10)
        assert (await relay.call("/added/x")).status == 200


async def test_a_key_that_is_revoked_across_an_era_is_refused():
    async with relay_over_http(respond_with_id) as relay:
        store = relay.store
        copy = store.copy()
        accounts = [{"name": "acme", "apiKeys": ["another"], "priority": 1}]
        revoked = configuration(5, tenants=accounts)
        store.write("op/config", revoked)
        await relay.until(lambda: version_in_force(relay) == 5)
        known = await write_again(relay)
        async with outage(relay):
            # The copy still has the key, and the operator has not written again.
            store.restore(copy)
            pass_revision(relay, known)
        await relay.until(lambda: era_of(relay) == 2)
        # A refusal for good needs a confirmation, and none counts at first.
        assert (await relay.call("/lookup/x")).status in (401, 503)
        store.write("op/config", revoked)
        await write_again(relay)
        assert (await relay.call("/lookup/x")).status in (401, 503)
        await relay.until(lambda: relay.node.state.current)
        assert (await relay.call("/lookup/x")).status == 401
        assert not relay.received_count()


async def test_a_revocation_that_the_store_lost_counts_from_its_first_write():
    bounds = RelayBounds(grace_s=3.0, revoke_ms=1_500)
    async with relay_over_http(respond_with_id, bounds=bounds) as relay:
        store, clock = relay.store, relay.node.state.clock
        copy = store.copy()
        accounts = [{"name": "acme", "apiKeys": ["another"], "priority": 1}]
        revoked = configuration(5, tenants=accounts)
        async with outage(relay):
            # Acknowledged while this node is out of touch, and lost with the copy.
            store.write("op/config", revoked)
            revoked_s = clock.monotonic()
            await asyncio.sleep(0.5)
            store.restore(copy)
        await relay.until(lambda: not relay.node.state.backends.store_unreachable)
        async with outage(relay):
            store.write("op/config", revoked)
            await asyncio.sleep(max(0.0, revoked_s + 1.55 - clock.monotonic()))
            assert (await relay.call("/lookup/x")).status != 200


async def test_keys_are_confirmed_within_a_second_after_confirmations_count_again():
    # RECOVER: the watch that was open confirmed them only at its end, up to 4.7 s after
    # the store's return, when nodes had refused all keys.
    async with relay_over_http(respond_with_id) as relay:
        store, state = relay.store, relay.node.state
        copy = store.copy()
        await write_again(relay)
        store.restore(copy)
        loop = asyncio.get_running_loop()
        await relay.until(lambda: state.confirmable_in_s is not None)
        returned_s = loop.time()
        await asyncio.sleep(1.9)
        # The next watch begins after a pause, when this change has been read.
        store.write("op/other", {})
        await relay.until(lambda: state.confirmable_in_s is None)
        assert loop.time() - returned_s < 3.0


async def test_a_new_era_that_another_call_finds_first_ends_the_watch():
    async with relay_over_http(respond_with_id) as relay:
        store = relay.store
        copy = store.copy()
        known = await write_again(relay)
        # The watch was sent before the outage, and its answer is late.
        held_back = store.hold_watches()
        store.restore(copy)
        store.write("op/config", configuration(5))
        pass_revision(relay, known)
        await relay.until(lambda: version_in_force(relay) == 5)
        held_back.set()
        await write_again(relay)
        assert version_in_force(relay) == 5


async def test_a_lease_of_an_earlier_era_is_neither_renewed_nor_ended():
    async with relay_over_http(respond_with_id, node_count=2) as relay:
        store = relay.store
        # The copy holds no entry and no lease of a node, and its lease ids come again.
        copy = attrs.evolve(store.copy(), leases={}, last_lease_id=0)
        nodes = {f"tanagerkeel/nodes/node-{n}" for n in (1, 2)}
        async with outage(relay):
            store.restore(copy)
            for node in nodes:
                store.delete(node)
            others = [await foreign_entry(store, n) for n in range(2)]
        await relay.until(lambda: nodes <= set(store.keys()))
        assert store.renewals_of(others) == 0
        await relay.stop()
        assert set(others) <= set(store.keys()) and not nodes & set(store.keys())


async def foreign_entry(store: MemoryStore, number: int) -> str:
    """Write an entry that is bound to a lease of another program; return its key."""
    down, store.down = store.down, False
    lease = await store.grant(60_000)
    key = f"other/{number}"
    await store.put(key, b"{}", lease_id=lease.lease_id)
    store.down = down
    return key


async def test_a_failure_domain_stays_out_when_a_copy_does_not_say_so():
    async with relay_over_http(respond_with_id) as relay:
        store, backends = relay.store, relay.node.state.backends
        copy = store.copy()
        store.write("op/evacuate/zone-a", {})
        await relay.until(lambda: backends.domains_out)
        for withdrawn in (False, True):
            async with outage(relay):
                store.restore(copy)
            era = store.era
            await relay.until(lambda era=era: era_of(relay) == era)
            assert backends.domains_out == {"zone-a"}
            assert (await relay.call("/lookup/x")).status == 503
            if not withdrawn:
                store.write("op/evacuate/zone-a", {})
                await asyncio.sleep(2.5)
                assert backends.domains_out == {"zone-a"}
        # The operator has not written it again.
        await relay.until(lambda: not backends.domains_out)


def era_of(relay: Relay, node: int = 0) -> int:
    """Return the era of the store in which a node has announced itself."""
    entry = relay.nodes[node]._presence._entry
    return entry.era if entry is not None else 0


async def test_nodes_keep_hearing_each_other_when_a_copy_has_no_node():
    async with relay_over_http(respond_with_id, node_count=3) as relay:
        store, peers = relay.store, relay.node.state.peers
        # A node that has ended while the store was away, and doesn't come back.
        ended = {"node_id": "gone", "failure_domain": "zone-a", "started_ms": 1}
        store.write("tanagerkeel/nodes/gone", {**ended, "news_address": ANY_PORT})
        await relay.until(lambda: len(peers.others) == 3)
        others = set()
        async with outage(relay):
            store.restore(store.copy())
            for key in store.keys():
                if key.startswith("tanagerkeel/nodes/"):
                    store.delete(key)
        for _ in range(40):
            others.add(frozenset(peer.node_id for peer in peers.others))
            await asyncio.sleep(0.05)
        assert others == {frozenset(("node-2", "node-3", "gone"))}
        await hear_each_other(relay)
        await asyncio.sleep(4.5)
        await relay.until(lambda: len(peers.others) == 2)


async def test_nodes_agree_on_one_signing_key_after_a_copy_without_it():
    # A node that starts then has written another key than the one that nodes use.
    for another in (None, b"k" * 32):
        async with relay_over_http(respond_with_id, node_count=3) as relay:
            store = relay.store
            old_key = store.value(NEWS_KEY)
            async with outage(relay):
                store.restore(store.copy())
                store.delete(NEWS_KEY)
                if another is not None:
                    store.write(NEWS_KEY, another)
            tasks = [node._presence for node in relay.nodes]
            await relay.until(
                lambda tasks=tasks: (
                    len({task._signing_keys.newest for task in tasks}) == 1
                    and all(task._key_era == 2 for task in tasks)
                )
            )
            assert store.value(NEWS_KEY) == tasks[0]._signing_keys.newest
            assert store.value(NEWS_KEY) == (another or old_key)
            await hear_each_other(relay)


async def hear_each_other(relay: Relay) -> None:
    """Wait until each node has accepted a new update of each other one."""
    states = [node.state for node in relay.nodes]
    since_s = states[0].clock.monotonic()
    for node in relay.nodes:
        node._peer_updates.notify_all_peers()
    await relay.until(
        lambda: all(
            sum(r.received_s > since_s for r in state._peer_reports.values())
            == len(states) - 1
            for state in states
        )
    )


async def test_a_listing_is_of_one_era():
    pages = [(1, "a", True), (2, "b", True), (2, "c", True), (2, "d", False)]

    async def paged_store(scope, receive, send) -> None:
        era, key, more = pages.pop(0)
        item = {"key": key, "value": "", "revision": 5}
        answer = {"items": [item], "hasMore": more, "storeRevision": 5}
        data = json.dumps(answer).encode()
        headers = [(b"content-length", b"%d" % len(data)), (b"store-era", b"%d" % era)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": data})

    server = HttpServer(paged_store, "127.0.0.1", 0)
    await server.start()
    async with aiohttp.ClientSession(response_class=WholeResponse) as session:
        listing = await PlatformStore(session, server.address).list_all("")
    await server.stop(0.0)
    assert [entry.key for entry in listing.entries] == ["c", "d"]
    assert listing.era == 2 and not pages


async def test_an_answer_of_an_older_era_is_dropped():
    eras = [b"3", b"2", b"x", b"3"]

    async def store(scope, receive, send) -> None:
        headers = [(b"content-length", b"2"), (b"store-era", eras.pop(0))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"{}"})

    server = HttpServer(store, "127.0.0.1", 0)
    await server.start()
    async with aiohttp.ClientSession(response_class=WholeResponse) as session:
        client = PlatformStore(session, server.address)
        assert await client.keep_alive(1)
        with contextlib.suppress(PlatformUnavailable):
            await client.keep_alive(1)
            raise AssertionError("an outdated answer was used")
        assert await client.keep_alive(1) and client.era == 3
    await server.stop(0.0)


@contextlib.asynccontextmanager
async def outage(relay: Relay) -> AsyncIterator[None]:
    """Take the store away until the block ends; the nodes notice it."""
    backends = [node.state.backends for node in relay.nodes]
    relay.store.down = True
    await relay.until(lambda: all(table.store_unreachable for table in backends))
    yield
    relay.store.down = False


def load_tests(loader, tests, pattern):
    return collect(globals())
