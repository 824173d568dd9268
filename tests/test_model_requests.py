"""
Model requests when engines fail in every way at every stage.

After each request, no permit, stream, reservation or queue entry may be left, and the
answer must be complete or the error must say correctly whether work was executed.
"""

import asyncio
import contextlib
import random

from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.requests import LengthClass
from tests.fixtures import until
from tests.fixtures_requests import (
    ScriptedEngines,
    expected_answer,
    make_harness,
    make_request,
    record_load_reports,
)
from tests.support import collect

# Behaviours of a scripted engine that fail an attempt: it crashes, breaks the
# connection, sends a wrong stream, refuses, or accepts no connection.
FAULTS = (
    "die-before",
    "die",
    "die-after",
    "break",
    "crossed",
    "gap",
    "repeat",
    "short",
    "refuse",
    "unreachable",
)


async def _observed_harness(count=3, **options):
    harness = make_harness(ScriptedEngines(count), **options)
    await record_load_reports(harness)
    return harness


def _script(harness, *behaviours):
    for engine in harness.engines.engines:
        engine.script.extend(behaviours)


async def test_each_fault_is_made_good_on_another_engine():
    for fault in FAULTS:
        harness = await _observed_harness()
        request = make_request()
        harness.engines.engines[1].script.append(fault)
        assert await harness.answer(request) == expected_answer(request), fault
        attempts = sum(len(e.calls) for e in harness.engines.engines)
        assert attempts == (1 if fault in ("refuse", "unreachable") else 2), fault
        await harness.assert_nothing_held()


async def test_a_resumed_answer_goes_on_where_it_broke_off():
    harness = await _observed_harness()
    harness.engines.engines[1].script.append("die")
    request = make_request(max_tokens=9)
    answer = await harness.answer(request)
    resumed = [c for e in harness.engines.engines for c in e.calls if c.resume_tokens]
    assert [call.resume_tokens for call in resumed] == [4]
    assert answer.startswith(resumed[0].resume_text)
    assert "resum" not in answer
    explanation = harness.context.explanations.explain(request.request_id)
    assert "chose engine-1" in explanation and "failed, " in explanation
    assert "finished after 2 attempts and 9 tokens" in explanation


async def test_not_run_is_said_only_when_it_is_true():
    for fault, ran in (
        ("refuse", Ran.NO),
        ("break", Ran.UNKNOWN),
        ("gap", Ran.UNKNOWN),
    ):
        harness = await _observed_harness()
        _script(harness, *[fault] * 10)
        error = await harness.answer_error(make_request())
        assert error is not None and error.ran is ran, (fault, error)
        await harness.assert_nothing_held()


async def test_a_fault_that_stays_ends_after_bounded_attempts():
    harness = await _observed_harness()
    _script(harness, *["crossed"] * 10)
    error = await harness.answer_error(make_request())
    assert error.result is ResultCode.STREAM_BROKEN
    assert sum(len(e.calls) for e in harness.engines.engines) == 4
    await harness.assert_nothing_held()


async def test_retries_stay_within_the_budget_of_their_model():
    harness = await _observed_harness()
    _script(harness, *["break"] * 400)
    errors = await asyncio.gather(
        *(harness.answer_error(make_request()) for _ in range(40))
    )
    assert all(e.ran is Ran.UNKNOWN for e in errors)
    assert any(e.result is ResultCode.RETRIES_EXHAUSTED for e in errors)
    calls = sum(len(e.calls) for e in harness.engines.engines)
    assert calls <= 40 + 5
    await harness.assert_nothing_held()


async def test_the_deadline_ends_a_request_at_every_stage():
    hanging = await _observed_harness()
    _script(hanging, *["hang"] * 5)
    error = await hanging.answer_error(make_request(deadline_s=0.2))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.UNKNOWN)
    assert "middle of the answer" in error.detail
    assert hanging.engines.cancelled
    await hanging.assert_nothing_held()

    silent = await _observed_harness()
    _script(silent, *["hang"] * 5)
    error = await silent.answer_error(make_request(deadline_s=0.2, max_tokens=1))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.UNKNOWN)
    assert "before the first token" in error.detail
    await silent.assert_nothing_held()

    full = await _observed_harness(max_streams=1)
    full.engines.engines[1].script.append("hang")
    first = asyncio.create_task(full.answer_error(make_request(deadline_s=2.0)))
    await until(lambda: full.context.admission.streams == 1)
    error = await full.answer_error(make_request(deadline_s=0.2))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.NO)
    assert (await first).result is ResultCode.DEADLINE_EXCEEDED
    await full.assert_nothing_held()

    cold = make_harness(ScriptedEngines())
    cold.permits.limit = 0
    error = await cold.answer_error(make_request(deadline_s=0.2))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.NO)
    await cold.assert_nothing_held()


async def test_without_a_permit_nothing_is_dispatched():
    harness = make_harness(ScriptedEngines(2))
    harness.permits.limit = 0
    error = await harness.answer_error(make_request())
    assert (error.result, error.ran) == (ResultCode.NO_PERMIT, Ran.NO)
    assert not any(e.calls for e in harness.engines.engines)
    harness.permits.limit = 1
    errors = await asyncio.gather(
        *(harness.answer_error(make_request()) for _ in range(10))
    )
    assert errors == [None] * 10
    assert harness.permits.max_held == 1
    await harness.assert_nothing_held()


async def test_a_caller_that_goes_away_frees_everything():
    for cut in ("close", "cancel"):
        harness = await _observed_harness()
        _script(harness, *["hang"] * 5)
        request = make_request()
        reached = asyncio.Event()

        async def read(harness=harness, request=request, reached=reached, cut=cut):
            async with contextlib.aclosing(harness.runner.answer(request)) as chunks:
                async for _ in chunks:
                    reached.set()
                    if cut == "close":
                        return

        task = asyncio.create_task(read())
        await reached.wait()
        if cut == "cancel":
            task.cancel()
        await asyncio.wait((task,))
        await harness.assert_nothing_held()
        assert len(harness.engines.cancelled) == 1


async def test_a_slow_caller_holds_the_engine_but_not_the_deadline():
    harness = await _observed_harness()
    request = make_request(max_tokens=500, deadline_s=0.3)
    chunks = harness.runner.answer(request)
    await anext(chunks)
    await asyncio.sleep(0.4)
    # The request ended at its deadline, though its caller had stopped reading.
    await harness.assert_nothing_held()
    with contextlib.suppress(Exception):
        async for _ in chunks:
            pass


async def test_a_poison_request_crashes_two_engines_and_fails_no_other_request():
    harness = await _observed_harness(8)
    for engine in harness.engines.engines:
        engine.poison_marker = "POISON"
        engine.pause_s = 0.01
    other_requests = [
        asyncio.create_task(
            harness.answer_error(make_request(f"petition {n}", max_tokens=30))
        )
        for n in range(16)
    ]
    await until(lambda: sum(len(e.streams) for e in harness.engines.engines) == 16)
    errors = [await harness.answer_error(make_request("POISON")) for _ in range(6)]
    assert {e.result for e in errors} == {ResultCode.QUARANTINED}
    assert errors[0].ran is Ran.UNKNOWN and errors[-1].ran is Ran.NO
    assert sum(e.crash_count for e in harness.engines.engines) == 2
    assert await asyncio.gather(*other_requests) == [None] * 16
    await harness.assert_nothing_held()


async def test_a_partition_makes_no_request_a_suspect():
    harness = await _observed_harness(4)
    for engine in harness.engines.engines[:3]:
        engine.script.append("partition")
    request = make_request()
    assert await harness.answer_error(request) is None
    assert not harness.context.quarantine.suspected(request.fingerprint)
    assert not harness.context.quarantine.take_updates(0.0)
    await harness.assert_nothing_held()


async def test_a_gang_answers_and_frees_its_memory():
    harness = await _observed_harness(3)
    request = make_request("x" * 9_600, length_class=LengthClass.GANG)
    assert await harness.answer_error(request) is None
    await harness.assert_nothing_held()


async def test_a_gang_that_was_prefilled_is_never_called_not_run():
    harness = await _observed_harness(3)
    for engine in harness.engines.engines:
        engine.script.extend(["ok", "refuse"] * 20)
    request = make_request("x" * 9_600, length_class=LengthClass.GANG)
    error = await harness.answer_error(request)
    assert error is not None and error.ran is Ran.UNKNOWN
    await harness.assert_nothing_held()


async def test_nodes_that_reserve_at_once_are_all_served():
    engines = ScriptedEngines(3)
    nodes = [make_harness(engines, seed=n, node_id=f"node-{n}") for n in range(3)]
    for node in nodes:
        await record_load_reports(node)
    prompts = [f"{n}" + "x" * 9_500 for n in range(9)]
    errors = await asyncio.gather(
        *(
            nodes[n % 3].answer_error(
                make_request(prompt, length_class=LengthClass.GANG)
            )
            for n, prompt in enumerate(prompts)
        )
    )
    assert errors == [None] * 9
    for node in nodes:
        await node.assert_nothing_held()


async def test_a_node_that_dies_while_it_reserves_blocks_nobody_else():
    engines = ScriptedEngines(3)
    dying, living = make_harness(engines, seed=1), make_harness(engines, seed=2)
    await record_load_reports(dying)
    await record_load_reports(living)
    engines.engines[1].script.append("die")
    request = make_request("x" * 9_600, length_class=LengthClass.GANG)
    task = asyncio.create_task(dying.answer_error(request))
    await until(lambda: any(e.reservations for e in engines.engines))
    task.cancel()
    await asyncio.wait((task,))
    other = make_request("y" * 9_600, length_class=LengthClass.GANG)
    assert await living.answer_error(other) is None
    await living.assert_nothing_held()
    await dying.assert_nothing_held()


async def test_all_faults_at_once_leave_nothing_behind():
    source = random.Random(7)
    harness = await _observed_harness(6, max_streams=12)
    harness.permits.limit = 4
    behaviours = (*FAULTS, "hang", *["ok"] * 20)
    for engine in harness.engines.engines:
        engine.script.extend(source.choice(behaviours) for _ in range(60))
        engine.pause_s = 0.001

    async def one(number):
        gang = number % 10 == 0
        request = make_request(
            f"{number}" + "x" * (9_500 if gang else 50),
            account=f"agency-{number % 5}",
            deadline_s=source.uniform(1.0, 4.0),
            length_class=LengthClass.GANG if gang else LengthClass.SHORT,
        )
        task = asyncio.create_task(harness.answer_error(request))
        if source.random() < 0.2:
            await asyncio.sleep(source.uniform(0, 0.5))
            task.cancel()
        await asyncio.wait((task,))
        return "gone" if task.cancelled() else task.result()

    outcomes = await asyncio.gather(*(one(n) for n in range(150)))
    assert "gone" in outcomes
    # ``answer_error`` fails on a wrong chunk, so None stands for a correct answer.
    assert outcomes.count(None) > 20
    assert all(
        o in (None, "gone") or o.result is not ResultCode.INTERNAL for o in outcomes
    )
    await harness.assert_nothing_held()


def load_tests(loader, tests, pattern):
    return collect(globals())
