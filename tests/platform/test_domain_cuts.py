"""A running node loses its network connection to one failure domain."""

import asyncio

import attrs

from tanagerkeel.relay import SendFailure
from tanagerkeel.relay_entry._peers import Peer
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    Engine,
    ReceivedRequest,
    chunk,
    event,
    respond_with_id,
    response_head,
    running_relay,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
EVENTS = 30
# The silence time-out of a backend server is 1.4 s; a cut must be detected before.
BEFORE_SILENCE_S = 1.2


@attrs.define
class Cut:
    """
    A simulated network cut.

    Engines behind it write nothing more and accept no connections.

    :param behind: ids of the engines that are cut off.
    """

    behind: set[str] = attrs.field(factory=set)

    async def write_events(
        self, engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write a stream of events, and pause while the engine is cut off."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(first, EVENTS + 1):
            while engine.engine_id in self.behind:
                if writer.is_closing():
                    return
                await asyncio.sleep(0.01)
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")

    def cut_off(self, engines: list[Engine]) -> None:
        """Put engines behind the cut."""
        for engine in engines:
            self.behind.add(engine.engine_id)
            engine._server.close()


def _set_domains(relay, service, domains):
    """Register each engine in a failure domain; wait until the node knows them."""
    for engine, domain in zip(relay.engines, domains, strict=True):
        entry = engine.store_entry(service, zone=domain, sequence=2)
        relay.store.write(f"servers/{engine.engine_id}", entry)
    wanted = sorted(domains)

    def known():
        return wanted == sorted(
            b.server.failure_domain for b in relay.node.state.backends
        )

    return relay.until(known)


def _report_unreachable(relay, engines):
    """Record in the node's state that connections to some engines failed."""
    state = relay.node.state
    for engine in engines:
        server = state.backends.get(engine.engine_id).server
        state.record_failure(server, SendFailure.UNREACHABLE, "another")


async def test_a_stream_behind_a_cut_resumes_elsewhere_before_the_silence_timeout():
    cut = Cut()
    async with running_relay(*[cut.write_events] * 6, service="models") as relay:
        near, far = relay.engines[0], relay.engines[1:]
        await _set_domains(relay, "models", ["zone-a"] + ["zone-b"] * 5)
        # In back-off, so that the stream starts on an engine that will be cut off.
        relay.node.state.backends.get(near.engine_id).backoff_until_s = 1e9
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        await relay.until(lambda: sum(len(e.received) for e in far) == 1)
        await asyncio.sleep(0.05)
        relay.node.state.backends.get(near.engine_id).backoff_until_s = 0.0
        cut.cut_off(far)
        loop = asyncio.get_running_loop()
        began = loop.time()
        _report_unreachable(relay, [e for e in far if not e.received][:2])
        reply = await call
        assert loop.time() - began < BEFORE_SILENCE_S
        assert reply.complete
        assert reply.body == b"".join(event(n) for n in range(1, EVENTS + 1))
        assert len(near.received) == 1


async def test_new_requests_avoid_a_domain_that_may_be_cut_off():
    async with running_relay(*[respond_with_id] * 6) as relay:
        await _set_domains(relay, "booking", ["zone-b"] * 3 + ["zone-c"] * 3)
        for engine in relay.engines[:3]:
            engine._server.close()
        _report_unreachable(relay, relay.engines[:2])
        for number in range(6):
            assert (
                await relay.call("/lookup/x", request_id=f"r{number}")
            ).status == 200
        assert not any(engine.received for engine in relay.engines[:3])


async def test_probes_tell_crashes_of_several_engines_from_a_cut():
    async with running_relay(*[respond_with_id] * 5) as relay:
        await _set_domains(relay, "booking", ["zone-b"] * 5)
        for engine in relay.engines[:3]:
            await engine.stop()
        _report_unreachable(relay, relay.engines[:3])
        assert relay.node.state.suspected_domains == ("zone-b",)
        await relay.until(lambda: relay.node.state.suspected_domains == ())
        assert (await relay.call("/lookup/x")).status == 200


async def crash_on_request(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Stop the engine, as if the request had crashed it."""
    await engine.stop()
    raise ConnectionResetError


async def test_connections_refused_over_a_cut_blame_no_request():
    async with running_relay(
        crash_on_request, crash_on_request, respond_with_id, respond_with_id
    ) as relay:
        await _set_domains(relay, "booking", ["zone-b", "zone-b", "zone-c", "zone-c"])
        for engine in relay.engines[2:]:
            backends = relay.node.state.backends
            backends.get(engine.engine_id).backoff_until_s = 1e9
        await relay.call("/lookup/x", request_id="r1")
        # Both engines refuse connections, and no other engine of their failure domain
        # answers, so that a cut can't be ruled out.
        await asyncio.sleep(0.6)
        for engine in relay.engines[2:]:
            backends.get(engine.engine_id).backoff_until_s = 0.0
        assert (await relay.call("/lookup/x", request_id="r2")).status == 200


async def test_a_request_that_crashes_engines_is_quarantined():
    async with running_relay(
        crash_on_request, crash_on_request, respond_with_id, respond_with_id
    ) as relay:
        await _set_domains(relay, "booking", ["zone-b"] * 4)
        for engine in relay.engines[2:]:
            backends = relay.node.state.backends
            backends.get(engine.engine_id).backoff_until_s = 1e9
        await relay.call("/lookup/x", request_id="r1")
        await asyncio.sleep(0.6)
        for engine in relay.engines[2:]:
            backends.get(engine.engine_id).backoff_until_s = 0.0
        assert (await relay.call("/lookup/x", request_id="r2")).status == 503
        assert not any(engine.received for engine in relay.engines[2:])


async def test_a_peers_report_counts_only_from_the_nodes_or_the_engines_domain():
    async with running_relay(respond_with_id, respond_with_id) as relay:
        await _set_domains(relay, "booking", ["zone-b", "zone-a"])
        state = relay.node.state
        for domain in ("zone-a", "zone-b", "zone-c"):
            state.peers.put(Peer(f"node-{domain}", domain, "127.0.0.1:9", 1))
        near = state.backends.get("i-1")
        far = state.backends.get("i-0")
        state.record_gone_report("node-zone-c", "i-0")
        state.record_gone_report("node-zone-c", "i-1")
        state.record_gone_report("node-zone-b", "i-1")
        assert near.backoff_until_s == far.backoff_until_s == 0.0
        state.record_gone_report("node-zone-b", "i-0")
        assert far.backoff_until_s > 0.0
        state.record_gone_report("node-zone-a", "i-1")
        assert near.backoff_until_s > 0.0


def load_tests(loader, tests, pattern):
    return collect(globals())
