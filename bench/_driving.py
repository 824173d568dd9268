"""Open-loop load generator that measures what callers of a system see."""

import asyncio
import collections
import contextlib
import time
import uuid

import attrs
from hdrh.histogram import HdrHistogram

from bench._systems import MODEL, AnswerFunction, System
from bench._workloads import Arrival, make_prompt
from tanagerkeel.errors import TanagerkeelError
from tanagerkeel.requests import (
    AnswerEnd,
    LengthClass,
    ModelRequest,
    TokenChunk,
    block_hashes,
    fingerprint,
)
from tanagerkeel.standins import answer_text

__all__ = ["Outcomes", "Timing", "drive", "make_request"]

US_PER_S = 1_000_000
MAX_LATENCY_US = 3_600 * US_PER_S
SIGNIFICANT_FIGURES = 3
SHORT_MAX_TOKENS = 8_000
# Leading blocks of a prompt that are hashed for prefix affinity.
AFFINITY_BLOCKS = 64


@attrs.frozen
class Timing:
    """
    How modelled time relates to wall-clock time, and limits of requests.

    A run takes ``1 / scale`` of the time that it models.

    :param scale: modelled seconds per wall-clock second.
    :param deadlines_s: deadline by length class, in modelled seconds.
    :param memory_tokens: memory of an engine, in tokens; longer prompts need a gang.
    """

    scale: float
    deadlines_s: dict[LengthClass, float]
    memory_tokens: int


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)


@attrs.define
class Outcomes:
    """
    Measurements of one run from the callers' side, in modelled time.

    :param first_token: times to the first token in µs, by length class.
    :param between_tokens: times between tokens in µs.
    :param sent: requests sent, by length class.
    :param finished: requests that got their whole answer in time, by length class.
    :param refused: requests that failed with the guarantee that they did not run.
    :param late: requests that reached their deadline without an answer or error.
    :param wrong: answers with the wrong text.
    :param codes: failed requests by result code.
    :param tokens_by_account: prompt and output tokens of finished requests.
    :param finished_tokens: their sum over all accounts.
    """

    first_token: dict[LengthClass, HdrHistogram] = attrs.field(
        factory=lambda: collections.defaultdict(_histogram)
    )
    between_tokens: HdrHistogram = attrs.field(factory=_histogram)
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    finished: collections.Counter = attrs.field(factory=collections.Counter)
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    late: collections.Counter = attrs.field(factory=collections.Counter)
    wrong: int = 0
    codes: collections.Counter = attrs.field(factory=collections.Counter)
    tokens_by_account: collections.Counter = attrs.field(factory=collections.Counter)
    finished_tokens: int = 0
    # Modelled time over which requests were sent, and the tokens (prompt and output)
    # of requests that finished within it.
    sending_s: float = 0.0
    sending_tokens: int = 0

    def first_token_s(self, length_class: LengthClass, percentile: float) -> float:
        """Return a percentile of the time to the first token, in seconds."""
        histogram = self.first_token[length_class]
        return histogram.get_value_at_percentile(percentile) / US_PER_S

    def between_tokens_ms(self, percentile: float) -> float:
        """Return a percentile of the time between tokens, in milliseconds."""
        return self.between_tokens.get_value_at_percentile(percentile) / 1_000


def make_request(
    arrival: Arrival, timing: Timing, seed: int, deadline_s: float | None = None
) -> ModelRequest:
    """Return the request of an arrival, as the callers' gateway would build it."""
    prompt = make_prompt(arrival, seed)
    length_class = arrival.length_class_of(SHORT_MAX_TOKENS, timing.memory_tokens)
    allowed_s = deadline_s or timing.deadlines_s[length_class]
    now = time.monotonic()
    return ModelRequest(
        request_id=uuid.uuid4().hex,
        account=arrival.account,
        model=MODEL,
        prompt=prompt,
        prompt_tokens=arrival.prompt_tokens,
        max_tokens=arrival.answer_tokens,
        length_class=length_class,
        deadline_s=now + allowed_s / timing.scale,
        received_s=now,
        fingerprint=fingerprint(arrival.account, MODEL, prompt),
        blocks=block_hashes(arrival.account, prompt, AFFINITY_BLOCKS),
    )


async def drive(
    system: System,
    workload: tuple[Arrival, ...],
    timing: Timing,
    seed: int,
    deadline_s: float | None = None,
) -> Outcomes:
    """
    Send each request at its arrival time, without waiting for earlier ones.

    :param system: receives the requests; its entries take turns.
    :param workload: arrivals, ordered by time.
    :param timing: how modelled time relates to wall-clock time.
    :param seed: makes the prompts differ from those of other seeds.
    :param deadline_s: replaces the deadline of the length class, in modelled
        seconds.
    """
    outcomes = Outcomes()
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for arrival in workload:
            due_s = started_s + arrival.at_s / timing.scale
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            request = make_request(arrival, timing, seed, deadline_s)
            entry = system.entries[arrival.number % len(system.entries)]
            group.create_task(send_request(entry, request, timing, outcomes))
        outcomes.sending_s = (time.monotonic() - started_s) * timing.scale
        outcomes.sending_tokens = outcomes.finished_tokens
    return outcomes


async def send_request(
    entry: AnswerFunction, request: ModelRequest, timing: Timing, outcomes: Outcomes
) -> bool:
    """Send one request, record its measurements, and return whether it finished."""
    length_class = request.length_class
    outcomes.sent[length_class] += 1
    try:
        async with asyncio.timeout(request.deadline_s - time.monotonic()):
            text = await _read_answer(entry, request, timing, outcomes)
    except TanagerkeelError as error:
        outcomes.codes[error.result.code] += 1
        if error.ran.value == "no":
            outcomes.refused[length_class] += 1
        return False
    except TimeoutError:
        outcomes.late[length_class] += 1
        return False
    if text != answer_text(request.prompt, request.max_tokens):
        outcomes.wrong += 1
        return False
    outcomes.finished[length_class] += 1
    outcomes.finished_tokens += request.prompt_tokens + request.max_tokens
    served = request.prompt_tokens + request.max_tokens
    outcomes.tokens_by_account[request.account] += served
    return True


async def _read_answer(
    entry: AnswerFunction, request: ModelRequest, timing: Timing, outcomes: Outcomes
) -> str:
    texts = []
    last_s = None
    async with contextlib.aclosing(entry(request)) as chunks:
        async for chunk in chunks:
            now = time.monotonic()
            match chunk:
                case TokenChunk(text=text):
                    texts.append(text)
                case AnswerEnd():
                    continue
            if last_s is None:
                waited_us = (now - request.received_s) * timing.scale * US_PER_S
                outcomes.first_token[request.length_class].record_value(int(waited_us))
            else:
                gap_us = (now - last_s) * timing.scale * US_PER_S
                outcomes.between_tokens.record_value(max(1, int(gap_us)))
            last_s = now
    return "".join(texts)
