"""The way of a model request when engines fail in every way at every stage."""

import asyncio
import contextlib
import random

from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.requests import LengthClass
from tests.fixtures import until
from tests.fixtures_requests import (
    ScriptedEngines,
    expected_answer,
    make_bench,
    make_request,
    observe,
)
from tests.support import collect

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


async def _bench(count=3, **options):
    bench = make_bench(ScriptedEngines(count), **options)
    await observe(bench)
    return bench


def _script(bench, *words):
    for engine in bench.engines.engines:
        engine.script.extend(words)


async def test_each_fault_is_made_good_on_another_engine():
    for fault in FAULTS:
        bench = await _bench()
        request = make_request()
        bench.engines.engines[1].script.append(fault)
        assert await bench.answer(request) == expected_answer(request), fault
        attempts = sum(len(e.calls) for e in bench.engines.engines)
        assert attempts == (1 if fault in ("refuse", "unreachable") else 2), fault
        await bench.assert_nothing_held()


async def test_a_resumed_answer_goes_on_where_it_broke_off():
    bench = await _bench()
    bench.engines.engines[1].script.append("die")
    request = make_request(max_tokens=9)
    answer = await bench.answer(request)
    resumed = [c for e in bench.engines.engines for c in e.calls if c.resume_tokens]
    assert [call.resume_tokens for call in resumed] == [4]
    assert answer.startswith(resumed[0].resume_text)
    assert "resum" not in answer
    explanation = bench.context.explanations.explain(request.request_id)
    assert "chose engine-1" in explanation and "failed, " in explanation
    assert "finished after 2 attempts and 9 tokens" in explanation


async def test_not_run_is_said_only_when_it_is_true():
    for fault, ran in (
        ("refuse", Ran.NO),
        ("break", Ran.UNKNOWN),
        ("gap", Ran.UNKNOWN),
    ):
        bench = await _bench()
        _script(bench, *[fault] * 10)
        error = await bench.code_of(make_request())
        assert error is not None and error.ran is ran, (fault, error)
        await bench.assert_nothing_held()


async def test_a_fault_that_stays_ends_after_bounded_attempts():
    bench = await _bench()
    _script(bench, *["crossed"] * 10)
    error = await bench.code_of(make_request())
    assert error.result is ResultCode.STREAM_BROKEN
    assert sum(len(e.calls) for e in bench.engines.engines) == 4
    await bench.assert_nothing_held()


async def test_retries_stay_within_the_budget_of_their_pool():
    bench = await _bench()
    _script(bench, *["break"] * 400)
    errors = await asyncio.gather(*(bench.code_of(make_request()) for _ in range(40)))
    assert all(e.ran is Ran.UNKNOWN for e in errors)
    assert any(e.result is ResultCode.RETRIES_EXHAUSTED for e in errors)
    calls = sum(len(e.calls) for e in bench.engines.engines)
    assert calls <= 40 + 5
    await bench.assert_nothing_held()


async def test_the_deadline_ends_a_request_at_every_stage():
    hanging = await _bench()
    _script(hanging, *["hang"] * 5)
    error = await hanging.code_of(make_request(deadline_s=0.2))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.UNKNOWN)
    assert "middle of the answer" in error.detail
    assert hanging.engines.cancelled
    await hanging.assert_nothing_held()

    silent = await _bench()
    _script(silent, *["hang"] * 5)
    error = await silent.code_of(make_request(deadline_s=0.2, max_tokens=1))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.UNKNOWN)
    assert "before the first token" in error.detail
    await silent.assert_nothing_held()

    full = await _bench(max_streams=1)
    full.engines.engines[1].script.append("hang")
    first = asyncio.create_task(full.code_of(make_request(deadline_s=0.5)))
    await until(lambda: full.context.admission.streams == 1)
    error = await full.code_of(make_request(deadline_s=0.2))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.NO)
    assert (await first).result is ResultCode.DEADLINE_EXCEEDED
    await full.assert_nothing_held()

    cold = make_bench(ScriptedEngines())
    cold.permits.limit = 0
    error = await cold.code_of(make_request(deadline_s=0.2))
    assert (error.result, error.ran) == (ResultCode.DEADLINE_EXCEEDED, Ran.NO)
    await cold.assert_nothing_held()


async def test_without_a_permit_nothing_is_dispatched():
    bench = make_bench(ScriptedEngines(2))
    bench.permits.limit = 0
    error = await bench.code_of(make_request())
    assert (error.result, error.ran) == (ResultCode.NO_PERMIT, Ran.NO)
    assert not any(e.calls for e in bench.engines.engines)
    bench.permits.limit = 1
    errors = await asyncio.gather(*(bench.code_of(make_request()) for _ in range(10)))
    assert errors == [None] * 10
    assert bench.permits.most == 1
    await bench.assert_nothing_held()


async def test_a_caller_that_goes_away_frees_everything():
    for cut in ("close", "cancel"):
        bench = await _bench()
        _script(bench, *["hang"] * 5)
        request = make_request()
        reached = asyncio.Event()

        async def read(bench=bench, request=request, reached=reached, cut=cut):
            async with contextlib.aclosing(bench.runner.answer(request)) as chunks:
                async for _ in chunks:
                    reached.set()
                    if cut == "close":
                        return

        task = asyncio.create_task(read())
        await reached.wait()
        if cut == "cancel":
            task.cancel()
        await asyncio.wait((task,))
        await bench.assert_nothing_held()
        assert len(bench.engines.cancelled) == 1


async def test_a_slow_caller_holds_the_engine_but_not_the_deadline():
    bench = await _bench()
    request = make_request(max_tokens=500, deadline_s=0.3)
    chunks = bench.runner.answer(request)
    await anext(chunks)
    await asyncio.sleep(0.4)
    # The request ended in time, though its caller had not read on.
    await bench.assert_nothing_held()
    with contextlib.suppress(Exception):
        async for _ in chunks:
            pass


async def test_a_poison_request_costs_two_engines_and_no_bystander():
    bench = await _bench(8)
    for engine in bench.engines.engines:
        engine.poison = "POISON"
        engine.pause_s = 0.01
    bystanders = [
        asyncio.create_task(bench.code_of(make_request(f"petition {n}", max_tokens=30)))
        for n in range(16)
    ]
    await until(lambda: sum(len(e.streams) for e in bench.engines.engines) == 16)
    errors = [await bench.code_of(make_request("POISON")) for _ in range(6)]
    assert {e.result for e in errors} == {ResultCode.QUARANTINED}
    assert errors[0].ran is Ran.UNKNOWN and errors[-1].ran is Ran.NO
    assert sum(e.deaths for e in bench.engines.engines) == 2
    assert await asyncio.gather(*bystanders) == [None] * 16
    await bench.assert_nothing_held()


async def test_a_partition_blames_no_request():
    bench = await _bench(4)
    for engine in bench.engines.engines[:3]:
        engine.script.append("partition")
    request = make_request()
    assert await bench.code_of(request) is None
    assert not bench.context.quarantine.suspected(request.fingerprint)
    assert not bench.context.quarantine.take_updates(0.0)
    await bench.assert_nothing_held()


async def test_a_gang_answers_and_gives_its_memory_back():
    bench = await _bench(3)
    request = make_request("x" * 9_600, length_class=LengthClass.GANG)
    assert await bench.code_of(request) is None
    await bench.assert_nothing_held()


async def test_a_gang_that_was_prefilled_is_never_called_not_run():
    bench = await _bench(3)
    for engine in bench.engines.engines:
        engine.script.extend(["ok", "refuse"] * 20)
    request = make_request("x" * 9_600, length_class=LengthClass.GANG)
    error = await bench.code_of(request)
    assert error is not None and error.ran is Ran.UNKNOWN
    await bench.assert_nothing_held()


async def test_nodes_that_reserve_at_once_all_get_their_turn():
    engines = ScriptedEngines(3)
    nodes = [make_bench(engines, seed=n, node_id=f"node-{n}") for n in range(3)]
    for node in nodes:
        await observe(node)
    prompts = [f"{n}" + "x" * 9_500 for n in range(9)]
    errors = await asyncio.gather(
        *(
            nodes[n % 3].code_of(make_request(prompt, length_class=LengthClass.GANG))
            for n, prompt in enumerate(prompts)
        )
    )
    assert errors == [None] * 9
    for node in nodes:
        await node.assert_nothing_held()


async def test_a_node_that_dies_while_it_reserves_blocks_nobody_else():
    engines = ScriptedEngines(3)
    dying, living = make_bench(engines, seed=1), make_bench(engines, seed=2)
    await observe(dying)
    await observe(living)
    engines.engines[1].script.append("die")
    request = make_request("x" * 9_600, length_class=LengthClass.GANG)
    task = asyncio.create_task(dying.code_of(request))
    await until(lambda: any(e.reservations for e in engines.engines))
    task.cancel()
    await asyncio.wait((task,))
    other = make_request("y" * 9_600, length_class=LengthClass.GANG)
    assert await living.code_of(other) is None
    await living.assert_nothing_held()
    await dying.assert_nothing_held()


async def test_all_faults_at_once_leave_nothing_behind():
    source = random.Random(7)
    bench = await _bench(6, max_streams=12)
    bench.permits.limit = 4
    words = (*FAULTS, "hang", *["ok"] * 20)
    for engine in bench.engines.engines:
        engine.script.extend(source.choice(words) for _ in range(60))
        engine.pause_s = 0.001

    async def one(number):
        gang = number % 10 == 0
        request = make_request(
            f"{number}" + "x" * (9_500 if gang else 50),
            account=f"agency-{number % 5}",
            deadline_s=source.uniform(1.0, 4.0),
            length_class=LengthClass.GANG if gang else LengthClass.SHORT,
        )
        task = asyncio.create_task(bench.code_of(request))
        if source.random() < 0.2:
            await asyncio.sleep(source.uniform(0, 0.5))
            task.cancel()
        await asyncio.wait((task,))
        return "gone" if task.cancelled() else task.result()

    outcomes = await asyncio.gather(*(one(n) for n in range(150)))
    assert "gone" in outcomes
    # A chunk that doesn't belong fails the answer's check within ``code_of``.
    assert outcomes.count(None) > 20
    assert all(
        o in (None, "gone") or o.result is not ResultCode.INTERNAL for o in outcomes
    )
    await bench.assert_nothing_held()


def load_tests(loader, tests, pattern):
    return collect(globals())
