"""Sends a workload open loop and records the answers."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs

from tanagerkeel.load._arrivals import Arrival, arrivals, prompt_text
from tanagerkeel.load._report import ClassRecorder, LatencyHistogram, LoadReport
from tanagerkeel.load._workload import TimedFault, Workload
from tanagerkeel.standins import answer_text

__all__ = ["run_workload"]

HTTP_OK = 200
PROGRESS_INTERVAL_S = 5.0
CONNECT_TIMEOUT_S = 5.0
UNANSWERED = "no answer"
INCOMPLETE = "incomplete"
DATA_FIELD = b"data: "
ERROR_EVENT_FIELD = b"event: error"
DONE_DATA = b"[DONE]"


class MalformedEvent(Exception):
    """An event of a stream can't be decoded."""


@attrs.define
class _Run:
    """State of a run; ``ended`` counts requests with any outcome."""

    workload: Workload
    session: aiohttp.ClientSession
    started_s: float
    recorders: dict[str, ClassRecorder]
    lateness: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    finished_by_account: dict[str, int] = attrs.field(factory=dict)
    ended: int = 0


async def run_workload(
    workload: Workload, on_progress: Callable[[str], None] | None = None
) -> LoadReport:
    """
    Send a workload and return what was measured.

    Requests are sent at their planned times, however slow the answers are, and
    latencies count from the planned times, so that a delay before sending counts
    too.

    :param workload: requests to send and faults to inject.
    :param on_progress: called with a progress line every few seconds; None for none.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        recorders = {mix.name: ClassRecorder(mix.name) for mix in workload.lengths}
        run = _Run(workload, session, time.monotonic(), recorders)
        tasks = [asyncio.create_task(_inject_fault(run, f)) for f in workload.faults]
        if on_progress is not None:
            tasks.append(asyncio.create_task(_report_progress(run, on_progress)))
        await _send_all(run)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return LoadReport(
        seed=workload.seed,
        duration_s=workload.duration_s,
        rate=workload.rate,
        late_ms=run.lateness.latency(),
        classes=tuple(recorder.report() for recorder in recorders.values()),
        finished_by_account=dict(sorted(run.finished_by_account.items())),
    )


async def _send_all(run: _Run) -> None:
    async with asyncio.TaskGroup() as group:
        for arrival in arrivals(run.workload):
            planned_s = run.started_s + arrival.at_s
            await asyncio.sleep(planned_s - time.monotonic())
            run.lateness.record(max(0.0, time.monotonic() - planned_s))
            group.create_task(_send(run, arrival, planned_s))


async def _send(run: _Run, arrival: Arrival, planned_s: float) -> None:
    recorder = run.recorders[arrival.mix.name]
    recorder.sent += 1
    try:
        outcome = await _stream_answer(run, arrival, planned_s, recorder)
    except (TimeoutError, aiohttp.ClientError):
        outcome = UNANSWERED
    except MalformedEvent:
        outcome = INCOMPLETE
    run.ended += 1
    if outcome:
        recorder.results[outcome] += 1
        return
    recorder.finished += 1
    recorder.whole.record(time.monotonic() - planned_s)
    name = arrival.account.name
    run.finished_by_account[name] = run.finished_by_account.get(name, 0) + 1


async def _stream_answer(
    run: _Run, arrival: Arrival, planned_s: float, recorder: ClassRecorder
) -> str:
    """
    Send a request, read its stream, and record the times of its tokens.

    :returns: an empty string for a complete answer; else a result code, or
        INCOMPLETE when the stream ended early or the error carried no code.
    """
    prompt = prompt_text(arrival, run.workload.seed)
    url = f"http://{arrival.entry}/v1/chat/completions"
    body = {
        "model": run.workload.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": arrival.mix.output_tokens,
        "stream": True,
    }
    async with run.session.post(url, json=body, headers=_headers(arrival)) as response:
        if response.status != HTTP_OK:
            return _result_code(await response.read())
        texts = []
        last_s = planned_s
        async for event in _events(response):
            if event == DONE_DATA:
                _verify(run, recorder, prompt, arrival, "".join(texts))
                return ""
            if event.startswith(ERROR_EVENT_FIELD):
                return _result_code(event.partition(DATA_FIELD)[2])
            text = _event_text(event)
            if text is not None:
                now = time.monotonic()
                timing = recorder.between_tokens if texts else recorder.first_token
                timing.record(now - last_s)
                last_s = now
                texts.append(text)
    return INCOMPLETE


async def _events(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """
    Yield the data of each server-sent event.

    For a named event the ``event:`` and ``data:`` fields precede the data, which
    distinguishes error events from tokens.
    """
    name = b""
    async for line in response.content:
        line = line.rstrip()
        if line.startswith(b"event: "):
            name = line
        elif line.startswith(DATA_FIELD):
            data = line.removeprefix(DATA_FIELD)
            yield name + DATA_FIELD + data if name else data


def _event_text(event: bytes) -> str | None:
    """
    Return the text that an event adds to the answer, None if it adds none.

    :raises MalformedEvent: for example when the stream broke off inside the event.
    """
    try:
        return json.loads(event)["choices"][0]["delta"].get("content")
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        raise MalformedEvent from error


def _verify(
    run: _Run, recorder: ClassRecorder, prompt: str, arrival: Arrival, text: str
) -> None:
    if not run.workload.verify:
        return
    if text != answer_text(f"<|user|>{prompt}\n", arrival.mix.output_tokens):
        recorder.mismatched += 1


def _headers(arrival: Arrival) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {arrival.account.key}"}
    if arrival.mix.deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(arrival.mix.deadline_ms)
    return headers


def _result_code(body: bytes) -> str:
    try:
        return json.loads(body)["code"]
    except (ValueError, KeyError, TypeError):
        return INCOMPLETE


async def _inject_fault(run: _Run, fault: TimedFault) -> None:
    await asyncio.sleep(run.started_s + fault.at_s - time.monotonic())
    url = f"http://{fault.address}/faults"
    async with run.session.put(url, data=fault.faults) as response:
        await response.read()


async def _report_progress(run: _Run, on_progress: Callable[[str], None]) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        sent = sum(recorder.sent for recorder in run.recorders.values())
        elapsed_s = time.monotonic() - run.started_s
        on_progress(f"{elapsed_s:.0f} s: {sent} sent, {run.ended} ended")
