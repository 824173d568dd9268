"""Log lines lead from a failed request to its cause, and their rate is bounded."""

import asyncio
import json
import os

import eliot

from tanagerkeel.events import LogEvent, log
from tanagerkeel.log_output import LogOutput
from tanagerkeel.relay._store_contact import CUT_S
from tests.platform.fixtures import (
    reset_connection,
    respond_with_id,
    running_relay,
    shed_request,
    write_response,
)
from tests.support import collect


class CapturedLog:
    """The log messages that are written inside a ``with`` block."""

    def __enter__(self):
        self.messages = []
        eliot.add_destinations(self.messages.append)
        return self

    def __exit__(self, *_):
        eliot.remove_destination(self.messages.append)

    def lines_of(self, request_id):
        return [m for m in self.messages if m.get("request") == request_id]

    def events_of(self, request_id):
        return [m["event"] for m in self.lines_of(request_id)]


async def test_a_refused_request_leads_to_the_unreachable_platform():
    from tanagerkeel.relay_entry import RelayBounds

    bounds = RelayBounds(revoke_ms=1_000, grace_s=3.0)
    with CapturedLog() as captured:
        async with running_relay(respond_with_id, bounds=bounds) as relay:
            relay.store.down = True
            await relay.until(lambda: not relay.node.state.confirmed)
            assert (await relay.call("/lookup/x", request_id="q1")).status == 503
    (line,) = captured.lines_of("q1")
    assert line["event"] == LogEvent.RELAY_REFUSED
    assert "last confirmed" in line["reason"]
    lost = [m for m in captured.messages if m["event"] == LogEvent.PLATFORM_UNREACHABLE]
    assert lost[0]["reason"] == "status 503"
    assert lost[0]["timestamp"] < line["timestamp"]


async def test_a_request_with_status_502_leads_to_the_engine_and_its_failure():
    async def breaking(engine, request, writer):
        reset_connection(writer)

    with CapturedLog() as captured:
        async with running_relay(breaking) as relay:
            reply = await relay.call(
                "/reserve/x", request_id="q2", method="POST", body=b"seat"
            )
            assert reply.status == 502
    placed, failed, refused = captured.lines_of("q2")
    assert placed["event"] == LogEvent.RELAY_PLACED
    assert {"version", "confirmed_age_s", "news_age_s", "candidates"} <= set(placed)
    assert failed["event"] == LogEvent.RELAY_ATTEMPT_FAILED
    assert (failed["backend"], failed["mishap"]) == ("i-0", "broken")
    assert refused["sends"] == 1


async def test_a_late_request_leads_to_the_engine_that_refused_it_first():
    with CapturedLog() as captured:
        async with running_relay(shed_request, respond_with_id) as relay:
            for n in range(6):
                reply = await relay.call("/lookup/x", request_id=f"q{n}")
                assert reply.status == 200
    request_ids = [f"q{n}" for n in range(6)]
    late = next(
        q for q in request_ids if LogEvent.RELAY_ATTEMPT_FAILED in captured.events_of(q)
    )
    by_event = {m["event"]: m for m in captured.lines_of(late)}
    assert by_event[LogEvent.RELAY_ATTEMPT_FAILED]["mishap"] == "shed"
    done = by_event[LogEvent.RELAY_FINISHED]
    assert done["sends"] == 2 and done["objective_ms"] == 300


async def test_the_log_does_not_tell_whether_a_server_with_503_stated_not_run():
    # One line said "error" for every status, whatever the server had stated.
    async def answer(engine, request, writer):
        status = int(request.target.rpartition("/")[2])
        await write_response(writer, request, status)

    with CapturedLog() as captured:
        async with running_relay(answer) as relay:
            for status in (500, 503):
                options = {"method": "POST", "body": b"seat"}
                await relay.call(
                    f"/reserve/{status}", request_id=f"q{status}", **options
                )
    for status, stated in ((500, True), (503, False)):
        lines = {m["event"]: m for m in captured.lines_of(f"q{status}")}
        reason = lines[LogEvent.RELAY_ATTEMPT_FAILED]["reason"]
        assert f"status {status}" in reason
        assert ("not stated" in reason) != stated


async def test_a_request_leads_to_what_was_believed_of_its_engine():
    with CapturedLog() as captured:
        async with running_relay(respond_with_id) as relay:
            assert (await relay.call("/lookup/x", request_id="q1")).status == 200
            relay.store.down = True
            await relay.until(lambda: relay.node.state.backends.store_unreachable)
            # One failed call after which the next succeeds would be a cut watch.
            await asyncio.sleep(CUT_S)
            relay.store.delete("servers/i-0")
            relay.store.down = False
            backends = relay.node.state.backends
            await relay.until(lambda: backends.missing_count() == 1)
            relay.engines[0].leaving = True
            assert (await relay.call("/lookup/x", request_id="q2")).status == 200
    first, second = (captured.lines_of(q)[0] for q in ("q1", "q2"))
    assert first["entry_missing_s"] is None and first["entry_age_s"] >= 0
    assert second["entry_missing_s"] >= 0
    by_event = {m["event"]: m for m in captured.messages}
    learnt = by_event[LogEvent.BACKEND_LEARNT]
    assert (learnt["revision"], learnt["born"]) == (
        second["entry_revision"],
        second["born"],
    )
    assert learnt["source"] == "listing"
    missing = by_event[LogEvent.BACKEND_ENTRY_MISSING]
    assert (missing["backend"], missing["source"]) == ("i-0", "watch")
    assert missing["revision"] == second["entry_revision"]
    assert missing["store_unreachable"]
    leaving = by_event[LogEvent.BACKEND_LEAVING]
    assert (leaving["request"], leaving["peer"]) == ("q2", None)


def _start_log_output(lines_per_s):
    reader, writer = os.pipe()
    output = LogOutput(lines_per_s, writer)
    output.start(asyncio.get_running_loop())
    return reader, writer, output


async def test_a_flood_of_one_event_is_bounded_and_another_event_is_kept():
    reader, writer, output = _start_log_output(50)
    try:
        for n in range(1_000):
            log(LogEvent.RELAY_PLACED, request=f"r{n}")
        log(LogEvent.BACKEND_GONE, backend="e1")
        await asyncio.sleep(0)
        lines = os.read(reader, 1_000_000).splitlines()
    finally:
        output.stop()
        os.close(reader)
        os.close(writer)
    events = [json.loads(line)["event"] for line in lines]
    assert len(events) <= 2 * 50
    assert events[-1] == LogEvent.BACKEND_GONE
    assert output.dropped == 1_001 - len(events)


async def test_a_full_log_pipe_drops_lines_without_blocking():
    reader, writer, output = _start_log_output(1_000_000)
    try:
        loop = asyncio.get_running_loop()
        started = loop.time()
        for n in range(5_000):
            log(LogEvent.RELAY_PLACED, request=f"r{n}", padding="x" * 200)
        assert loop.time() - started < 2.0
        assert output.dropped > 0
        first = os.read(reader, 65_536)
        await asyncio.sleep(0.05)
        assert first.startswith(b"{") and os.read(reader, 65_536)
    finally:
        output.stop()
        os.close(reader)
        os.close(writer)


def load_tests(loader, tests, pattern):
    return collect(globals())
