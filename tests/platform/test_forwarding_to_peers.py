"""
Nodes that reach no engine forward requests to peers that do.

Covers the rule RECOVER: a node without a way to its engines serves nearly as well as
the others, and what it promises stays true.
"""

import asyncio
import contextlib
import random
import types
import unittest.mock

import attrs

from panunumpa import PlatformBackendCodec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.exchange import ConnectError, ConnectionPool, RawHead
from tanagerkeel.relay import BackendServer
from tanagerkeel.relay_entry import (
    BackendUpdate,
    RelayBounds,
    RelaySettings,
    _forward_intake,
)
from tanagerkeel.relay_entry._forwarder import Forwarder
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._runner import RelayRunner
from tanagerkeel.relay_entry._state import RelayState
from tests.fixtures import abort_with_reset
from tests.platform.fixtures import (
    ANY_PORT,
    CHUNKED_HEADERS,
    WAIT_TIMEOUT_S,
    Engine,
    ReceivedRequest,
    Relay,
    assert_promises_nothing,
    call,
    chunk,
    event,
    respond_with_id,
    response_head,
    running_relay,
    shed_request,
    stream_script,
    write_response,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
EVENTS = 5
# A connection that hangs fails after this time, in seconds.
HANG_S = 0.25
# Users' bound on work at an engine after its caller has left, in seconds.
GONE_BOUND_S = 0.5


@attrs.define
class Cut:
    """
    Cuts a node off from all engines, but from nothing else.

    Connections that are open live on; new ones fail.

    :param relay: the nodes and engines.
    :param node: index of the node.
    :param mode: how new connections fail, ``hang`` or ``refuse``; empty for no cut.
    :param attempts: how many connections failed.
    :param only: addresses of the engines that it affects; all when empty.
    """

    relay: Relay
    node: int = 0
    mode: str = ""
    attempts: int = 0
    only: set[str] = attrs.field(factory=set)

    @property
    def pool(self) -> ConnectionPool:
        return self.relay.nodes[self.node]._pool

    async def check(self, address: str) -> None:
        """Raise the error of a connection that the cut prevents."""
        affected = self.only or {engine.address for engine in self.relay.engines}
        if not self.mode or address not in affected:
            return
        self.attempts += 1
        if self.mode == "hang":
            await asyncio.sleep(HANG_S)
            raise ConnectError("no connection in time")
        raise ConnectError("connection refused", True)


@contextlib.contextmanager
def in_force(*cuts: Cut):
    """Let cuts affect new connections."""
    connect = ConnectionPool.connect

    async def checked_connect(pool, address):
        for cut in cuts:
            if cut.pool is pool:
                await cut.check(address)
        return await connect(pool, address)

    with unittest.mock.patch.object(ConnectionPool, "connect", checked_connect):
        yield


def received_by(relay: Relay, request_id: str) -> list[Engine]:
    """Return the engines that received a request, once for each time."""
    return [
        engine
        for engine in relay.engines
        for request in engine.received
        if request.request_id == request_id
    ]


async def slow_stream(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    first = int(request.headers.get("last-event-id", 0)) + 1
    writer.write(response_head(request, extra=CHUNKED_HEADERS))
    for number in range(first, EVENTS + 1):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


@contextlib.asynccontextmanager
async def cut_relay(*scripts, mode="refuse", node_count=3, **options):
    """Run nodes of which the first one is cut off from all engines."""
    async with running_relay(*scripts, node_count=node_count, **options) as relay:
        await hear_peers(relay)
        cut = Cut(relay, mode=mode)
        with in_force(cut):
            yield relay, cut


async def hear_peers(relay: Relay) -> None:
    """Wait until each node has heard all others."""
    for node in relay.nodes:
        node._peer_updates.notify_all_peers()
    await relay.until(
        lambda: all(
            len(node.state._peer_reports) == len(relay.nodes) - 1
            for node in relay.nodes
        )
    )


def test_an_announcement_through_a_peer_is_kept_for_an_unknown_incarnation():
    # It was dropped, and the engine was used as soon as its entry had come.
    settings = RelaySettings("n1", "zone-a", *[ANY_PORT] * 6, bounds=RelayBounds())
    state = RelayState(settings, ManualClock())
    forwarder = Forwarder(state, None, None, None, RelayMetrics(), random.Random(1))
    run = types.SimpleNamespace(request=types.SimpleNamespace(request_id="r1"))
    peer = Peer("n2", "zone-a", ANY_PORT, 1)
    raw = RawHead(200, ((b"Server-Leaving", b"1"),))
    head = PlatformBackendCodec().decode(raw)
    forwarder._record_head(run, peer, head, ("i-0", 5), 0.0)
    for number, born in ((0, 5), (1, 5), (0, 6)):
        server = BackendServer(f"i-{number}", born, "models", "a:1", "zone-a", 8)
        state.apply(BackendUpdate(server), 10 + born)
        usable = state.backends.usable("models", state.clock.monotonic())
        found = {record.server.incarnation for record in usable}
        assert (server.incarnation in found) == (server.incarnation != ("i-0", 5))


async def test_a_cut_that_refuses_connections_quarantines_no_request():
    # The first refused connection of each failure domain counted as a crash, so that a
    # request which many callers send was quarantined as the cause of two.
    async def slow_response(engine, request, writer):
        await asyncio.sleep(0.5)
        await write_response(writer, request)

    async with running_relay(*[slow_response] * 4) as relay:
        for engine in relay.engines[2:]:
            entry = engine.store_entry("booking", zone="zone-b")
            relay.store.write(f"servers/{engine.engine_id}", entry)
        table = relay.node.state.backends
        await relay.until(lambda: table.get("i-3").server.failure_domain == "zone-b")
        calls = [
            asyncio.create_task(relay.call("/lookup/x", request_id=f"r{n}"))
            for n in range(8)
        ]
        await relay.until(lambda: all(engine.received for engine in relay.engines))
        cut = Cut(relay, mode="refuse")
        with in_force(cut):
            for engine in relay.engines:
                for writer in list(engine._writers):
                    abort_with_reset(writer)
            await asyncio.gather(*calls)
            await asyncio.sleep(0.5)
        await relay.until(lambda: not relay.node.state.unreachable_services())
        reply = await relay.call("/lookup/x", request_id="later")
        assert reply.status == 200, reply


async def test_first_tries_at_a_node_without_engines_are_served():
    for mode in ("hang", "refuse"):
        async with cut_relay(*[respond_with_id] * 6, mode=mode) as (relay, _):
            replies = await asyncio.gather(
                *(relay.call("/lookup/x", request_id=f"r{n}") for n in range(30))
            )
            assert [reply.status for reply in replies] == [200] * 30, mode
            assert all(len(received_by(relay, f"r{n}")) == 1 for n in range(30))
            assert await relay.readiness_status() == 200


async def test_an_unsafe_request_is_forwarded_and_runs_once():
    async with cut_relay(*[respond_with_id] * 4) as (relay, _):
        replies = [
            await relay.call("/reserve/x", request_id=f"r{n}", method="POST", body=b"b")
            for n in range(10)
        ]
        assert [reply.status for reply in replies] == [200] * 10
        assert all(len(received_by(relay, f"r{n}")) == 1 for n in range(10))
        request, *_ = [r for engine in relay.engines for r in engine.received]
        assert request.body == b"b" and request.method == "POST"


async def test_what_the_engine_gets_and_says_is_unchanged():
    async def script(engine, request, writer) -> None:
        extra = ("X-Engine: a", "Content-Type: text/plain")
        await write_response(writer, request, 201, request.body, extra=extra)

    async with cut_relay(*[script] * 3) as (relay, cut):
        options = {"method": "POST", "body": b"b" * 50_000, "headers": ("X-Own: 7",)}
        forwarded = await relay.call("/lookup/x?q=%20", request_id="f", **options)
        cut.mode = ""
        direct = await relay.call("/lookup/x?q=%20", node=1, request_id="d", **options)
        names = {"tanagerkeel-attempt-id"}
        assert forwarded.status == direct.status == 201
        assert forwarded.body == direct.body == options["body"]
        assert {k: v for k, v in forwarded.headers.items() if k not in names} == {
            k: v for k, v in direct.headers.items() if k not in names
        }
        (first,) = [r for e in relay.engines for r in e.received if r.request_id == "f"]
        (second,) = [
            r for e in relay.engines for r in e.received if r.request_id == "d"
        ]
        ignored = {
            "tanagerkeel-attempt-id",
            "tanagerkeel-deadline-remaining",
            "tanagerkeel-target-instance",
        }
        assert first.target == second.target == "/lookup/x?q=%20"
        assert {k: v for k, v in first.headers.items() if k not in ignored} == {
            k: v for k, v in second.headers.items() if k not in ignored
        }
        assert int(first.headers["tanagerkeel-deadline-remaining"]) <= 2_000


async def test_a_response_without_a_body_keeps_its_length():
    async def script(engine, request, writer) -> None:
        writer.write(response_head(request, length=7))
        await writer.drain()

    async with cut_relay(*[script] * 3) as (relay, cut):
        for mode in ("refuse", ""):
            cut.mode = mode
            host, _, port = relay.node.callers_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = ["HEAD /lookup/x HTTP/1.1", "Host: service.example"]
            lines += [f"Tanagerkeel-Attempt-Id: h{mode}", "Connection: close"]
            lines += ["Authorization: Token key-of-acme"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            head = (await reader.read()).lower()
            assert head.startswith(b"http/1.1 200") and head.endswith(b"\r\n\r\n")
            assert head.count(b"content-length: 7") == 1, head
            writer.close()


# What a peer would say if it had not run the request.
PROBLEM = (
    b'{"type":"","title":"","status":%d,"code":"TK-7003","detail":"",'
    b'"ran":"no","request_id":""}'
)
PROBLEM_TYPE = "Content-Type: application/problem+json"


def problem_script(status: int, *extra: str):
    """Return a script that runs the request and answers with a problem document."""

    async def script(engine, request, writer) -> None:
        body = PROBLEM % status
        await write_response(
            writer, request, status, body, extra=(PROBLEM_TYPE, *extra)
        )

    return script


def without_backend_of_problems(start):
    """Return a start of responses as in builds that don't name all backends."""

    async def old_start(reply, status, headers):
        if (b"content-type", b"application/problem+json") in headers:
            reply._backend = None
        await start(reply, status, headers)

    return old_start


_send_backend_error = RelayRunner._send_backend_error


async def pass_on_any_status(runner, run, backend_error) -> None:
    """Answer a forwarded request as builds that pass on each status do."""
    if not run.forwarded:
        await _send_backend_error(runner, run, backend_error)
        return
    head = backend_error.head
    await run.reply.start(head.status, head.headers)
    await run.reply.write(backend_error.body)
    await run.reply.finish()


async def check_forwarded_promises_nothing(status: int) -> None:
    async with cut_relay(*[problem_script(status)] * 3) as (relay, _):
        options = {"method": "POST", "body": b"b"}
        reply = await relay.call("/reserve/x", request_id="f", **options)
        assert len(received_by(relay, "f")) == 1, status
        assert_promises_nothing(reply, status)


async def check_problem_is_delivered(status: int, *extra: str) -> None:
    async with cut_relay(*[problem_script(status, *extra)] * 3) as (relay, cut):
        options = {"method": "POST", "body": b"b"}
        forwarded = await relay.call("/reserve/x", request_id="f", **options)
        assert len(received_by(relay, "f")) == 1, status
        cut.mode = ""
        direct = await relay.call("/reserve/x", node=1, request_id="d", **options)
        assert forwarded.status == direct.status == status, forwarded
        assert forwarded.body == direct.body == PROBLEM % status
        assert not any(name.startswith("x-forward") for name in forwarded.headers)


async def check_problem_promises_nothing(status: int) -> None:
    """Check that no caller gets a "not run" that the engine has not stated."""
    async with cut_relay(*[problem_script(status)] * 3) as (relay, cut):
        options = {"method": "POST", "body": b"b"}
        forwarded = await relay.call("/reserve/x", request_id="f", **options)
        cut.mode = ""
        direct = await relay.call("/reserve/x", node=1, request_id="d", **options)
        for request_id, reply in (("f", forwarded), ("d", direct)):
            assert len(received_by(relay, request_id)) == 1, status
            assert_promises_nothing(reply, status)
            assert not any(name.startswith("x-forward") for name in reply.headers)


async def test_a_booking_answered_with_409_by_way_of_a_peer_runs_once():
    # Review case 1: the booking ran three times and was answered 503, "ran": "no".
    for status in (400, 403, 404, 409, 422, 500):
        await check_problem_is_delivered(status)
    for status in (429, 503):
        await check_problem_promises_nothing(status)


async def test_headers_of_an_engine_do_not_pass_for_those_of_a_peer():
    await check_problem_is_delivered(
        409, 'X-Forward-Backend: ["i-9", 1]', "X-Forward-Own-Response: 1:00"
    )


async def test_a_problem_document_from_a_peer_of_an_older_build_runs_once():
    reply_class = _forward_intake._ForwardReply
    old_start = without_backend_of_problems(reply_class.start)
    with unittest.mock.patch.object(reply_class, "start", old_start):
        for status in (403, 409):
            await check_problem_is_delivered(status)
        with unittest.mock.patch.object(
            RelayRunner, "_send_backend_error", pass_on_any_status
        ):
            for status in (408, 429, 503):
                await check_forwarded_promises_nothing(status)


async def test_a_promise_that_an_older_build_passes_on_reaches_the_caller():
    # Builds up to 9881247 pass on each status of a backend server.
    with unittest.mock.patch.object(
        RelayRunner, "_send_backend_error", pass_on_any_status
    ):
        for status in (408, 429, 503):
            await check_forwarded_promises_nothing(status)


async def test_only_a_signed_refusal_of_a_peer_means_not_run():
    unsigned = _forward_intake.AsgiReply.send_own
    for older_build, status in ((False, 502), (True, 503)):
        async with cut_relay(*[respond_with_id] * 2, node_count=2) as (relay, _):
            if older_build:
                peers = relay.node.state.peers
                known = peers.get(relay.nodes[1].settings.node_id)
                peers.put(attrs.evolve(known, signs_own_responses=False))
            with (
                unittest.mock.patch.object(_forward_intake, "MAX_OPEN", 0),
                unittest.mock.patch.object(
                    _forward_intake._ForwardReply, "send_own", unsigned
                ),
            ):
                reply = await relay.call("/reserve/x", method="POST", body=b"b")
            assert reply.status == status, reply
            assert (b'"ran":"no"' in reply.body) == older_build


async def test_only_the_service_that_is_out_of_reach_is_forwarded():
    async def script(engine, request, writer) -> None:
        chat = request.target.startswith("/chat")
        respond = stream_script(2) if chat else respond_with_id
        await respond(engine, request, writer)

    async with cut_relay(*[script] * 6) as (relay, cut):
        for number in range(3):
            engine = relay.engines[number]
            entry = engine.store_entry("models", sequence=2)
            relay.store.write(f"servers/{engine.engine_id}", entry)
        tables = [node.state.backends for node in relay.nodes]
        await relay.until(
            lambda: all(t.get("i-2").server.service == "models" for t in tables)
        )
        cut.only = {engine.address for engine in relay.engines[:3]}
        for n in range(6):
            assert (await relay.call("/lookup/x", request_id=f"l{n}")).status == 200
        assert not any(map(forwards, peers_of(relay)))
        for n in range(6):
            reply = await relay.call("/chat/x", request_id=f"c{n}", headers=CHAT)
            assert reply.status == 200
        assert sum(map(forwards, peers_of(relay))) == 6


async def test_a_stopping_peer_refuses_what_is_forwarded_and_another_one_serves_it():
    async with cut_relay(*[respond_with_id] * 3) as (relay, _):
        relay.nodes[1].state.stopping = True
        replies = [await relay.call("/lookup/x", request_id=f"r{n}") for n in range(8)]
        assert [reply.status for reply in replies] == [200] * 8
        assert not forwards(relay.nodes[1]) and forwards(relay.nodes[2]) == 8


async def test_a_stream_is_forwarded_piece_by_piece():
    arrived = asyncio.Event()

    async def script(engine, request, writer) -> None:
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(1, EVENTS + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            # The next event is sent only when the caller has this one.
            await arrived.wait()
            arrived.clear()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async with cut_relay(*[script] * 3, service="models") as (relay, _):
        host, _, port = relay.node.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["GET /chat/x HTTP/1.1", "Host: service.example", *CHAT]
        lines += ["Tanagerkeel-Attempt-Id: s1", "Authorization: Token key-of-acme"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for number in range(1, EVENTS + 1):
                await reader.readuntil(event(number))
                arrived.set()
            await reader.readuntil(b"0\r\n\r\n")
        writer.close()


async def test_a_broken_off_forwarded_stream_does_not_look_complete():
    async with cut_relay(
        *[stream_script(EVENTS, stop_after=2)] * 2, service="models"
    ) as (relay, _):
        reply = await relay.call("/chat/x", headers=CHAT)
        assert not reply.complete
        whole = b"".join(event(n) for n in range(1, EVENTS + 1))
        assert whole.startswith(reply.body)


async def test_a_stream_goes_on_elsewhere_when_its_peer_is_lost():
    async with cut_relay(*[slow_stream] * 4, service="models") as (relay, _):
        pending = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        await relay.until(
            lambda: any(node._runner.open_requests for node in peers_of(relay))
        )
        await asyncio.sleep(0.15)
        (peer,) = [node for node in peers_of(relay) if node._runner.open_requests]
        for connection in list(peer._servers[1]._server.server_state.connections):
            connection.transport.abort()
        reply = await pending
        assert reply.complete
        assert reply.body == b"".join(event(n) for n in range(1, EVENTS + 1))


async def test_an_unsafe_request_whose_peer_is_lost_is_neither_repeated_nor_denied():
    async def never(engine, request, writer) -> None:
        await asyncio.sleep(10)

    async with cut_relay(*[never] * 3) as (relay, _):
        pending = asyncio.create_task(
            relay.call("/reserve/x", method="POST", body=b"b")
        )
        await relay.until(lambda: relay.received_count() == 1)
        (peer,) = [node for node in peers_of(relay) if node._runner.open_requests]
        for connection in list(peer._servers[1]._server.server_state.connections):
            connection.transport.abort()
        reply = await pending
        assert reply.status == 502 and b'"ran":"unknown"' in reply.body
        assert relay.received_count() == 1


async def test_a_caller_who_leaves_ends_the_work_at_the_engine():
    async def never(engine, request, writer) -> None:
        await asyncio.sleep(10)

    async with cut_relay(*[never] * 3) as (relay, _):
        pending = asyncio.create_task(relay.call("/lookup/x"))
        await relay.until(lambda: relay.received_count() == 1)
        closed = sum(e.closed_connections for e in relay.engines)
        pending.cancel()
        engine = received_by(relay, "r1")[0]
        loop = asyncio.get_running_loop()
        began = loop.time()
        await relay.until(
            lambda: not any(node._runner.open_requests for node in relay.nodes)
        )
        assert loop.time() - began < GONE_BOUND_S
        assert engine.closed_connections >= closed


async def test_a_request_is_forwarded_once_and_not_in_a_loop():
    async with (
        cut_relay(*[respond_with_id] * 4) as (relay, _),
        contextlib.AsyncExitStack() as stack,
    ):
        cuts = [Cut(relay, node=n, mode="refuse") for n in (0, 1, 2)]
        stack.enter_context(in_force(*cuts))
        reply = await relay.call("/lookup/x")
        assert reply.status == 503 and b'"ran":"no"' in reply.body
        assert float(reply.headers["retry-after"]) > 0
        assert not relay.received_count()
        # Once all know that none reaches an engine, a refusal is immediate.
        await relay.until(lambda: not relay.node.state.peers_that_reach("booking"))
        assert await relay.readiness_status() == 503
        attempts = sum(cut.attempts for cut in cuts)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await relay.call("/lookup/x", request_id="r2")).status == 503
        assert loop.time() - began < 0.1
        assert sum(cut.attempts for cut in cuts) - attempts <= 6


async def test_direct_sends_are_back_a_second_after_the_cut():
    async def slow(engine, request, writer) -> None:
        await asyncio.sleep(0.1)
        await respond_with_id(engine, request, writer)

    async with cut_relay(*[slow] * 6, mode="hang") as (relay, cut):
        for n in range(4):
            await relay.call("/lookup/x", request_id=f"r{n}")
        state = relay.node.state
        await relay.until(lambda: state.unreachable_services())
        cut.mode = ""
        await asyncio.sleep(1.0)
        assert not state.unreachable_services()
        now = state.clock.monotonic()
        assert all(record.backoff_until_s <= now for record in state.backends)
        peers_ran = sum(forwards(node) for node in peers_of(relay))
        replies = await asyncio.gather(
            *(relay.call("/lookup/x", request_id=f"d{n}") for n in range(12))
        )
        assert {reply.status for reply in replies} == {200}
        assert sum(forwards(node) for node in peers_of(relay)) == peers_ran
        assert len({reply.body for reply in replies}) > 3


async def test_a_forged_repeated_or_broken_message_is_refused_by_name():
    async with cut_relay(*[respond_with_id] * 2, node_count=2) as (relay, _):
        address = relay.nodes[1].settings.forward_listen
        path = "/v1/forward/relay"
        for header, reason in (
            ("", b"malformed"),
            ('{"key_id":1,"sender":"x"}', b"malformed"),
            (
                '{"key_id":1,"sender":"node-1","session":1,"to_session":1,'
                f'"sequence":1,"tag":"{"0" * 32}"}}',
                b"unknown_key",
            ),
        ):
            reply = await call(
                address,
                path,
                method="POST",
                body=b"x",
                headers=(f"X-Forward-Signature: {header}",),
            )
            assert reply.status == 403 and reason in reply.body, reply
        assert (await call(address, "/other")).status == 404
        assert not relay.received_count()


async def test_what_peers_forward_is_bounded_in_bytes_and_number():
    async with cut_relay(*[respond_with_id] * 2, node_count=2) as (relay, _):
        address = relay.nodes[1].settings.forward_listen
        options = {"method": "POST", "headers": ("X-Forward-Signature: {}",)}
        huge = b"x" * (65_536 + _forward_intake.MAX_ENVELOPE_BYTES + 1)
        reply = await call(address, "/v1/forward/relay", body=huge, **options)
        assert reply.status == 0
        with unittest.mock.patch.object(_forward_intake, "MAX_OPEN", 0):
            reply = await call(address, "/v1/forward/relay", body=b"x", **options)
            assert reply.status == 503 and b'"TK-7003"' in reply.body
            assert b'"ran":"no"' in reply.body
            assert (await relay.call("/lookup/x")).status == 503
        assert (await relay.call("/lookup/x", request_id="r2")).status == 200


async def test_a_leaving_engine_that_a_peer_found_gets_nothing_after_the_cut():
    async with cut_relay(*[respond_with_id] * 2) as (relay, cut):
        leaving = relay.engines[0]
        leaving.leaving = True
        for n in range(20):
            await relay.call("/lookup/x", request_id=f"r{n}")
            if leaving.received:
                break
        received = len(leaving.received)
        assert received
        cut.mode = ""
        await relay.until(lambda: not relay.node.state.unreachable_services())
        for n in range(10):
            reply = await relay.call("/lookup/x", request_id=f"d{n}")
            assert reply.body == b"i-1"
        assert len(leaving.received) == received


async def test_a_request_that_engines_refuse_draws_on_one_retry_budget():
    async with cut_relay(*[shed_request] * 4) as (relay, _):
        for n in range(20):
            reply = await relay.call("/lookup/x", request_id=f"r{n}")
            assert reply.status == 503 and b'"ran":"no"' in reply.body
        # Two attempts each at most, as the route says, over both nodes.
        assert relay.received_count() <= 40
        assert not relay.node.state.used_retry_extra()


async def test_one_engine_that_is_down_is_no_reason_to_forward():
    async with running_relay(*[respond_with_id] * 4, node_count=2) as relay:
        await hear_peers(relay)
        relay.engines[0].crash()
        for n in range(20):
            reply = await relay.call("/lookup/x", request_id=f"r{n}")
            assert reply.status == 200
        assert not forwards(relay.nodes[1])


def peers_of(relay: Relay) -> list:
    """Return the nodes that are not cut off."""
    return relay.nodes[1:]


def forwards(node) -> int:
    """Return how many requests were forwarded to a node."""
    return node._servers[1]._application._application.received


def load_tests(loader, tests, pattern):
    return collect(globals())
