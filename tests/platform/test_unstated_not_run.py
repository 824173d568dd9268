"""
Backend servers answer with statuses that promise "not run" without stating it.

Covers the rules REFUSED and MIXED: 408, 421, 429 and 503 promise a caller that its
request has not run and never will. Only a backend server that states so may make this
promise for a request that must not be repeated.
"""

import asyncio
import json

from panunumpa import PlatformBackendCodec
from tanagerkeel.events import LogEvent
from tanagerkeel.gateways.exchange import RawHead
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    SEAL_HEADER,
    Engine,
    ReceivedRequest,
    Script,
    assert_promises_nothing,
    chunk,
    close_connection,
    configuration,
    event,
    reset_connection,
    respond_with_id,
    response_head,
    route,
    running_relay,
    shed_request,
    write_response,
)
from tests.platform.test_forwarding_to_peers import cut_relay, received_by
from tests.platform.test_logs import CapturedLog
from tests.support import collect

NOT_RUN_HEADER = "Tanagerkeel-Not-Executed: 1"
# Statuses that promise "not run". 421 itself states it.
UNSTATED_STATUSES = (408, 429, 503)
# Statuses that promise nothing.
OTHER_STATUSES = (400, 404, 409, 500, 502, 504)
BOOKING = {"method": "POST", "body": b"seat 12"}
CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
STREAM = {"method": "POST", "body": b"prompt", "headers": CHAT}
# Streams that can't be resumed.
SINGLE_STREAMS = configuration(
    routes=[route("chat", "stream", "models", targetGapMs=250, canResume=False)]
)


def answer_after_run(status: int, framing: str = "length", *extra: str) -> Script:
    """Return a script that runs the request and answers with a status."""

    async def script(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        body = b"ran, and then failed"
        match framing:
            case "length":
                await write_response(writer, request, status, body, extra=extra)
            case "chunks":
                headers = (*extra, "Transfer-Encoding: chunked")
                writer.write(response_head(request, status, extra=headers))
                writer.write(chunk(body) + b"0\r\n\r\n")
                await writer.drain()
            case "close":
                writer.write(response_head(request, status, extra=extra) + body)
                await writer.drain()
                close_connection(writer)

    return script


async def test_a_booking_that_ran_and_got_503_is_answered_as_not_run():
    # Review case 7: the caller believed the 503 and made the reservation twice.
    for status in UNSTATED_STATUSES:
        for framing in ("length", "chunks", "close"):
            async with running_relay(answer_after_run(status, framing)) as relay:
                reply = await relay.call("/reserve/x", **BOOKING)
                assert_promises_nothing(reply, (status, framing))
                assert relay.received_count() == 1


async def test_a_stream_that_ran_and_got_503_is_answered_as_not_run():
    # A stream that can't be resumed must not run twice either.
    for status in UNSTATED_STATUSES:
        for framing in ("length", "chunks", "close"):
            script = answer_after_run(status, framing)
            async with running_relay(
                script, service="models", document=SINGLE_STREAMS
            ) as relay:
                reply = await relay.call("/chat/x", **STREAM)
                assert_promises_nothing(reply, (status, framing))
                assert relay.received_count() == 1


async def test_a_hold_off_after_a_run_is_answered_as_not_run():
    # Retry-After asks for a pause and doesn't state that the request has not run.
    script = answer_after_run(503, "length", "Retry-After: 1")
    async with running_relay(script) as relay:
        assert_promises_nothing(await relay.call("/reserve/x", **BOOKING), "hold-off")


async def test_a_booking_that_ran_and_got_503_by_way_of_a_peer_is_answered_as_not_run():
    for status in UNSTATED_STATUSES:
        async with cut_relay(*[answer_after_run(status)] * 3) as (relay, _):
            reply = await relay.call("/reserve/x", request_id="f", **BOOKING)
            assert_promises_nothing(reply, status)
            assert len(received_by(relay, "f")) == 1


async def test_an_answer_that_promises_nothing_is_not_passed_on_unchanged():
    for status in OTHER_STATUSES:
        async with running_relay(answer_after_run(status)) as relay:
            reply = await relay.call("/reserve/x", **BOOKING)
            assert (reply.status, reply.body) == (status, b"ran, and then failed")
            assert SEAL_HEADER in reply.headers
            assert relay.received_count() == 1


async def test_a_lookup_that_got_429_or_408_is_not_sent_to_another_server():
    for status in UNSTATED_STATUSES:
        async with running_relay(answer_after_run(status), respond_with_id) as relay:
            for n in range(6):
                reply = await relay.call("/lookup/x", request_id=f"r{n}")
                assert (reply.status, reply.body) == (200, b"i-1"), status


async def test_a_lookup_that_each_server_fails_loses_the_servers_own_answer():
    # It may be repeated, and Retry-After says when that helps.
    for status in UNSTATED_STATUSES:
        script = answer_after_run(status, "length", "Retry-After: 2")
        async with running_relay(script, script) as relay:
            reply = await relay.call("/lookup/x")
            assert (reply.status, reply.body) == (status, b"ran, and then failed")
            assert SEAL_HEADER in reply.headers
            assert reply.headers["retry-after"] == "2"
            assert relay.received_count() == 2


async def test_a_resumed_stream_answered_with_503_looks_complete():
    async def broken_off(engine, request, writer) -> None:
        if "last-event-id" in request.headers:
            await answer_after_run(503)(engine, request, writer)
            return
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        writer.write(chunk(event(1)))
        await writer.drain()
        reset_connection(writer)

    async with running_relay(broken_off, broken_off, service="models") as relay:
        reply = await relay.call("/chat/x", **STREAM)
        assert (reply.status, reply.complete) == (200, False)
        assert reply.body == event(1)


async def test_a_refusal_after_a_lost_attempt_promises_not_run():
    # The first attempt may have run, whatever the second one states.
    async def lost(engine, request, writer) -> None:
        reset_connection(writer)

    async with running_relay(lost, shed_request) as relay:
        for n in range(4):
            reply = await relay.call("/lookup/x", request_id=f"r{n}")
            ran = json.loads(reply.body)["ran"]
            assert (reply.status, ran) in ((502, "unknown"), (503, "no")), reply
            if any(r.request_id == f"r{n}" for r in relay.engines[0].received):
                assert reply.status == 502, reply


async def test_a_header_that_says_nothing_of_the_request_counts_as_not_run():
    async def trailer(engine, request, writer) -> None:
        headers = ("Transfer-Encoding: chunked", "Trailer: Tanagerkeel-Not-Executed")
        writer.write(response_head(request, 503, extra=headers))
        writer.write(chunk(b"ran") + f"0\r\n{NOT_RUN_HEADER}\r\n\r\n".encode())
        await writer.drain()

    async def interim(engine, request, writer) -> None:
        writer.write(f"HTTP/1.1 102 Processing\r\n{NOT_RUN_HEADER}\r\n\r\n".encode())
        await write_response(writer, request, 503, b"ran")

    async def other_id(engine, request, writer) -> None:
        extra = (NOT_RUN_HEADER,)
        await write_response(
            writer, request, 503, b"full", request_id="another", extra=extra
        )

    for script in (trailer, interim, other_id):
        async with running_relay(script) as relay:
            reply = await relay.call("/reserve/x", **BOOKING)
            assert_promises_nothing(reply, script.__name__)
            assert relay.received_count() == 1


def test_a_statement_in_another_spelling_is_not_read():
    name = b"tanagerkeel-NOT-executed"
    for headers in ([(name, b"")], [(name, b"1"), (name, b"0")], [(name, b"0")]):
        head = PlatformBackendCodec().decode(RawHead(503, tuple(headers)))
        assert head.not_run, headers


async def test_a_stated_refusal_is_taken_for_a_failure():
    for status in (429, 503):
        script = answer_after_run(status, "length", NOT_RUN_HEADER)
        async with running_relay(script) as relay:
            reply = await relay.call("/reserve/x", **BOOKING)
            assert (reply.status, json.loads(reply.body)["ran"]) == (503, "no")


async def test_the_log_does_not_name_the_status_that_was_replaced():
    for status in UNSTATED_STATUSES:
        with CapturedLog() as captured:
            async with running_relay(answer_after_run(status)) as relay:
                await relay.call("/reserve/x", request_id="q1", **BOOKING)
        lines = {line["event"]: line for line in captured.lines_of("q1")}
        for number in (LogEvent.RELAY_ATTEMPT_FAILED, LogEvent.RELAY_REFUSED):
            reason = lines[number]["reason"]
            assert f"status {status}" in reason, reason
            assert "not stated" in reason, reason
        assert lines[LogEvent.RELAY_REFUSED]["code"] == "TK-3001"


def load_tests(loader, tests, pattern):
    return collect(globals())
