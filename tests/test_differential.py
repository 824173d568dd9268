"""
Tests that compare tanagerkeel with bench's naive version over HTTP.

Both serve the same seeded workload; "ours" is tanagerkeel.
"""

import asyncio
import contextlib

import attrs
from bench._driving import Timing, make_request
from bench._systems import naive_system, our_system
from bench._workloads import Kind, Shape, arrivals

from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.requests import LengthClass, TokenChunk
from tanagerkeel.standins import EngineFaults, EngineProfile, EngineStandIn, answer_text
from tests.fixtures import serving_standin
from tests.support import collect

PROFILE = EngineProfile(
    prefill_rate=100_000.0, decode_rate=500.0, memory_tokens=60_000, restart_s=60.0
)
SHAPE = Shape("small", (Kind(0.8, 100, 2_000, 8), Kind(0.2, 9_000, 20_000, 12)))
TIMING = Timing(1.0, dict.fromkeys(LengthClass, 8.0), PROFILE.memory_tokens)
ACCOUNTS = tuple(f"agency-{n}" for n in range(10))
SEED = 3
AT_ONCE = 10


@contextlib.asynccontextmanager
async def _systems(count=5):
    """Yield pairs of engines and system: tanagerkeel first, then the naive version."""
    async with contextlib.AsyncExitStack() as stack:
        systems = []
        for open_system in (
            lambda a: our_system(a, PROFILE, ACCOUNTS, node_count=1),
            naive_system,
        ):
            engines = [EngineStandIn(PROFILE) for _ in range(count)]
            addresses = tuple(
                [await stack.enter_async_context(serving_standin(e)) for e in engines]
            )
            system = await stack.enter_async_context(open_system(addresses))
            systems.append((engines, system))
        yield systems


async def _answers(system, workload, at_once=AT_ONCE):
    """
    Return each request's answer, or the error that its caller got.

    Requests are sent in groups of ``at_once``.
    """

    async def answer_one(arrival):
        request = make_request(arrival, TIMING, SEED)
        texts = []
        try:
            async with contextlib.aclosing(system.entries[0](request)) as chunks:
                async for chunk in chunks:
                    if isinstance(chunk, TokenChunk):
                        texts.append(chunk.text)
        except TanagerkeelError as error:
            return error
        assert "".join(texts) == answer_text(request.prompt, request.max_tokens)
        return "".join(texts)

    answers = []
    for start in range(0, len(workload), at_once):
        group = map(answer_one, workload[start : start + at_once])
        answers += await asyncio.gather(*group)
    return answers


def _workload(count=60):
    return arrivals(SHAPE, 50_000.0, 1_000.0, SEED)[:count]


async def test_without_faults_both_give_the_same_answers():
    workload = _workload()
    async with _systems() as systems:
        ours, naive = [await _answers(system, workload) for _, system in systems]
    assert ours == naive
    assert all(isinstance(answer, str) for answer in ours)


FAULTS = (
    EngineFaults(gaps=1, crossed_answers=1),
    EngineFaults(repeats=1, cut_short=1),
    EngineFaults(crash_after_tokens=2, crashes=1),
    EngineFaults(),
    EngineFaults(),
)


async def test_with_faults_finished_answers_are_the_same_and_ours_are_more():
    await _check_with_faults(AT_ONCE)


async def test_with_faults_and_all_requests_at_once_all_of_ours_finish():
    await _check_with_faults(len(_workload()))


async def _check_with_faults(at_once):
    workload = _workload()
    results = []
    async with _systems() as systems:
        for engines, system in systems:
            for engine, fault in zip(engines, FAULTS, strict=True):
                await engine.set_faults(attrs.evolve(fault))
            results.append(await _answers(system, workload, at_once))
    ours, naive = results
    both = [
        (a, b) for a, b in zip(ours, naive, strict=True) if str in (type(a), type(b))
    ]
    assert all(a == b for a, b in both if type(a) is type(b) is str)
    finished = [sum(isinstance(a, str) for a in answers) for answers in results]
    assert finished[0] == len(workload) > finished[1]


async def test_a_poison_request_crashes_only_two_of_our_engines():
    async with _systems() as systems:
        engines, system = systems[0]
        for engine in engines:
            await engine.set_faults(EngineFaults(poison_marker="seeded-poison"))
        workload = [attrs.evolve(_workload(1)[0], text="seeded-poison")] * 5
        codes = []
        for arrival in workload:
            [error] = await _answers(system, [arrival])
            codes.append(error.result)
    assert set(codes) == {ResultCode.QUARANTINED}
    assert sum(engine.crashes for engine in engines) == 2


def load_tests(loader, tests, pattern):
    return collect(globals())
