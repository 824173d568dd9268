"""Requests whose prompts share a section that crashes each engine that answers them."""

import asyncio
import contextlib
import itertools
import time

import attrs

from panunumpa import PlatformCallerCodec
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    Engine,
    ReceivedRequest,
    Relay,
    Response,
    chunk,
    event,
    respond_with_id,
    response_head,
    running_relay,
)
from tests.support import collect

# The section that crashes engines, and sections of sound requests.
CRASHING_SECTION = "dead"
SOUND_SECTIONS = ("aa", "bb", "cc")
EVENT_COUNT = 3
# Users' bounds: requests with a section that may still reach engines after it has
# crashed the fifth one.
LATE_CRASHES = 5
MAX_LATE_REQUESTS = 3


@attrs.define
class CrashLog:
    """
    Scripts engines that crash before the first event of requests with some sections.

    :param crashing_sections: the sections.
    :param arrivals: for each request with such a section that reached an engine, how
        many engines had crashed before.
    :param crashes: number of engines that crashed.
    """

    crashing_sections: set[str] = attrs.field(factory=lambda: {CRASHING_SECTION})
    arrivals: list[int] = attrs.field(factory=list)
    crashes: int = 0

    async def script(
        self, engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        header = request.headers.get("tanagerkeel-prompt-prefix", "")
        sections = {entry.partition(":")[0] for entry in header.split(",")}
        if sections & self.crashing_sections:
            self.arrivals.append(self.crashes)
            await asyncio.sleep(0.01)
            self.crashes += not engine.crashed
            engine.crash()
            return
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(1, EVENT_COUNT + 1):
            await asyncio.sleep(0.01)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def late_arrivals(self) -> int:
        """Return how many requests with the section came after the fifth crash."""
        return sum(crashes >= LATE_CRASHES for crashes in self.arrivals)


request_numbers = itertools.count(1)


async def send(relay: Relay, *sections: str, node: int = 0) -> Response:
    """Send a request that is unlike all others but for these sections of its prompt."""
    number = next(request_numbers)
    entries = ",".join(f"{section}:40" for section in (*sections, f"{number:08x}"))
    return await relay.call(
        "/chat/x",
        node=node,
        request_id=f"r{number}",
        method="POST",
        body=f"prompt {number}".encode(),
        headers=(
            "Tanagerkeel-Model: m",
            f"Tanagerkeel-Token-Count: {1_000 + number},430",
            f"Tanagerkeel-Prompt-Prefix: {entries}",
        ),
    )


async def send_sound(relay: Relay) -> list[Response]:
    """Send a sound request with each section to each node; return the responses."""
    numbers = range(len(relay.nodes))
    calls = (
        send(relay, section, node=n) for section in SOUND_SECTIONS for n in numbers
    )
    return await asyncio.gather(*calls)


async def test_requests_that_share_a_section_do_not_crash_engine_after_engine():
    log = CrashLog()
    async with running_relay(
        *[log.script] * 30, service="models", node_count=3
    ) as relay:
        await send_sound(relay)
        for number in range(12):
            sections = [SOUND_SECTIONS[number % 3], CRASHING_SECTION][
                :: 1 - 2 * (number % 2)
            ]
            response = await send(relay, *sections, node=number % 3)
            assert response.status in (502, 503)
            for reply in await send_sound(relay):
                assert reply.status == 200 and reply.complete
            await asyncio.sleep(0.05)
        assert log.late_arrivals() <= MAX_LATE_REQUESTS, log.arrivals
        assert log.crashes <= LATE_CRASHES, log.arrivals


async def test_a_request_with_a_section_that_never_started_is_sent_once():
    log = CrashLog()
    async with running_relay(*[log.script] * 4, service="models") as relay:
        await send_sound(relay)
        response = await send(relay, "aa", CRASHING_SECTION)
        # The request may have run, so it must not be reported as not run.
        assert response.status == 502
        assert len(log.arrivals) == 1


async def test_a_sound_request_that_ran_beside_is_sent_again():
    log = CrashLog()
    started = asyncio.Event()

    async def script(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not started.is_set():
            started.set()
            await asyncio.sleep(0.05)
            engine.crash()
            return
        await log.script(engine, request, writer)

    async with running_relay(script, script, service="models") as relay:
        now = relay.node.state.clock.monotonic()
        relay.node.state.section_quarantine.record_start(("aa",), now)
        response = await send(relay, "aa")
        assert response.status == 200 and response.complete
        assert relay.received_count() == 2


async def test_a_refusal_for_a_section_is_immediate_and_says_that_nothing_ran():
    log = CrashLog()
    async with running_relay(log.script, service="models") as relay:
        quarantine(relay, CRASHING_SECTION)
        response = await send(relay, "aa", CRASHING_SECTION)
        assert response.status == 503 and "retry-after" not in response.headers
        assert b'"TK-3007"' in response.body and b'"ran":"no"' in response.body
        assert not relay.received_count()
        assert (await send(relay, "aa")).status == 200


async def test_a_request_that_waits_is_refused_when_its_section_is_quarantined():
    log = CrashLog()
    async with running_relay(log.script, service="models") as relay:
        state = relay.node.state
        server = state.backends.get("i-0").server
        state.backends.hold_off(server, 1.0, state.clock.monotonic())
        waiting = asyncio.create_task(send(relay, "aa", CRASHING_SECTION))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        quarantine(relay, CRASHING_SECTION)
        assert (await waiting).status == 503
        assert not relay.received_count()


async def test_an_engine_that_is_replaced_blames_no_section():
    async def silent(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(10)

    for field in ("state", "leaving", "entry"):
        async with running_relay(silent, service="models") as relay:
            engine = relay.engines[0]
            state = relay.node.state
            waiting = asyncio.create_task(send(relay, "aa"))
            await relay.until(lambda relay=relay: relay.received_count() == 1)
            server = state.backends.get("i-0").server
            match field:
                case "state":
                    entry = engine.store_entry("models", state="draining", sequence=2)
                    relay.store.write("servers/i-0", entry)
                case "leaving":
                    state.backends.record_leaving(server.incarnation)
                case "entry":
                    relay.store.delete("servers/i-0")
            await relay.until(
                lambda state=state, server=server: (
                    not state.backends.is_expected_to_run(server)
                )
            )
            engine.crash()
            await waiting
            await asyncio.sleep(0.1)
            assert not state.section_quarantine._suspects, field


async def test_the_port_of_a_crashed_engine_is_taken_by_a_node():
    # A node of another test answered the requests to it with 401 and 404.
    async with running_relay(respond_with_id) as relay:
        (engine,) = relay.engines
        engine.crash()
        host, _, port = engine.address.rpartition(":")
        with contextlib.suppress(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
            raise AssertionError("the engine still listens")
        with contextlib.suppress(OSError):
            await asyncio.start_server(lambda *_: None, host, int(port))
            raise AssertionError("another server listens at the engine's port")


async def test_a_request_to_a_restart_that_is_learnt_late_is_not_blamed_for_the_crash():
    release = asyncio.Event()

    async def wait(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        await CrashLog().script(engine, request, writer)

    async with running_relay(wait, service="models") as relay:
        engine = relay.engines[0]
        state = relay.node.state
        # The engine had started again, with the same id, before it got the request.
        born = int(1_000 * (time.time() - 5))
        call = asyncio.create_task(send(relay, "aa"))
        await relay.until(lambda: relay.received_count() == 1)
        relay.store.write("servers/i-0", engine.store_entry("models", born=born))
        await relay.until(lambda: state.backends.get("i-0").server.started_ms == born)
        assert not state.section_quarantine._suspects
        release.set()
        assert (await call).status == 200


def quarantine(relay: Relay, section: str) -> None:
    """Give a node the evidence for which it quarantines a section."""
    state = relay.node.state
    now = state.clock.monotonic()
    for number, crashed_s in enumerate((now - 2.0, now - 1.0)):
        state.section_quarantine.record_crash(
            [(section,)], f"engine {number}", crashed_s
        )
    state.section_quarantine.record_start(("other",), now)
    state.notify_changed()


def shared_sections(value: bytes | None) -> tuple[str, ...]:
    """Return the shared sections that the codec reads from a header's value."""
    headers = [(b"tanagerkeel-token-count", b"1000,430")]
    if value is not None:
        headers.append((b"tanagerkeel-prompt-prefix", value))
    scope = {"headers": headers, "method": "POST", "raw_path": b"/chat/x"}
    return PlatformCallerCodec().decode(scope, 0.0).demand.shared_sections


def test_every_section_but_the_last_is_read_from_any_list():
    assert shared_sections(None) == ()
    assert shared_sections(b"") == ()
    assert shared_sections(b"5c1e07a2:800") == ()
    assert shared_sections(b"5c1e07a2:800,91BD3F06:410,e4:250") == (
        "5c1e07a2",
        "91bd3f06",
    )
    assert shared_sections(b"aa:1, bb:2 ,aa:3,cc:4") == ("aa", "bb")
    assert shared_sections(b"zz:1,:2,,aa:x,-1:3,bb,cc:4") == ("aa", "bb")
    assert shared_sections(b"\xff\x00:1,aa:1,bb:1") == ("aa",)
    assert len(shared_sections(b",".join(b"%x:1" % n for n in range(3_000)))) == 1_024


def load_tests(loader, tests, pattern):
    return collect(globals())
