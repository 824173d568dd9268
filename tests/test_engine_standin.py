"""Tests of the stand-in engine: batching, memory, cache, cold start, orders."""

import asyncio

import attrs

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.engines import (
    BackendFailed,
    BackendRefused,
    CacheEventKind,
    EngineOrder,
    GangSegment,
    Reservation,
)
from tanagerkeel.requests import BLOCK_CHARACTERS, TokenChunk, block_hashes
from tanagerkeel.standins import EngineFaults, EngineProfile, answer_text
from tanagerkeel.standins._engine_pace import PrefillQueue
from tests.fixtures import until
from tests.fixtures_engines import FAST_ENGINE, make_call, running_engines
from tests.support import collect

LONG_PROMPT = "x" * (3 * BLOCK_CHARACTERS)


async def expect_failure(awaitable, kind):
    try:
        await awaitable
    except kind as error:
        return error
    raise AssertionError(f"no {kind.__name__}")


async def test_urgent_prefill_overtakes_at_the_next_step():
    clock = ManualClock()

    async def open_gate():
        pass

    queue = PrefillQueue(clock, lambda: 1_000.0, open_gate)
    ended = []

    async def run(name, tokens, priority):
        await queue.run(tokens, priority)
        ended.append(name)

    tasks = [asyncio.create_task(run("long", 100_000, 5))]
    await asyncio.sleep(0)
    tasks.append(asyncio.create_task(run("short", 1_000, 0)))
    cancelled = asyncio.create_task(run("cancelled", 50_000, 1))
    await asyncio.sleep(0)
    cancelled.cancel()
    elapsed_s = 0
    while len(ended) < 2:
        clock.advance(0.064)
        elapsed_s += 0.064
        for _ in range(5):
            await asyncio.sleep(0)
    assert ended == ["short", "long"]
    # 101,000 tokens at 1,000 a second: the cancelled job took no time.
    assert 101 <= elapsed_s <= 105


async def test_engine_refuses_calls_beyond_its_memory_and_frees_it_on_close():
    profile = attrs.evolve(FAST_ENGINE, memory_tokens=1_000, decode_rate=1.0)
    async with running_engines(profile) as e:
        chunks = e.gateway.generate(e.address, make_call("x" * 2_000, max_tokens=100))
        await anext(chunks)
        assert e.engine.load_report().memory_used_tokens == 600
        refused = await e.receive(make_call("x" * 2_000, attempt_id="a-2"))
        assert isinstance(refused.failure, BackendRefused)
        assert refused.failure.reason == "memory"
        await chunks.aclose()
        await until(lambda: e.engine.load_report().memory_used_tokens == 0)
        await until(lambda: e.engine.running == 0)
        assert (
            await e.receive(make_call("x" * 2_000, attempt_id="a-3"))
        ).failure is None


async def test_cancel_aborts_the_stream_and_frees_memory():
    async with running_engines(attrs.evolve(FAST_ENGINE, decode_rate=0.1)) as e:
        chunks = e.gateway.generate(e.address, make_call())
        await anext(chunks)
        await e.gateway.cancel(e.address, "a-1")
        await expect_failure(anext(chunks), BackendFailed)
        assert e.engine.memory.used_tokens == 0
        await e.gateway.cancel(e.address, "a-1")


async def test_cached_prefix_is_not_prefilled_again_nor_shared_between_accounts():
    async with running_engines() as e:
        await e.receive(make_call(LONG_PROMPT + "a"))
        first = e.engine.prefilled_tokens
        assert first == 769
        await e.receive(make_call(LONG_PROMPT + "b", attempt_id="a-2"))
        assert e.engine.prefilled_tokens == first + 1
        await e.receive(
            make_call(LONG_PROMPT + "b", attempt_id="a-3", account="agency-2")
        )
        assert e.engine.prefilled_tokens == 2 * first + 1
        assert e.engine.cache.hit_tokens == 768


async def test_cache_is_evicted_for_running_requests():
    async with running_engines(attrs.evolve(FAST_ENGINE, memory_tokens=1_000)) as e:
        await e.receive(make_call(LONG_PROMPT))
        await e.receive(make_call("y" * 2_800, attempt_id="a-2"))
        kinds = [event.kind for event in e.engine.cache_events(0).events]
        assert kinds.count(CacheEventKind.EVICTED) == 2
        # The end of a prefix is evicted before its beginning.
        assert e.engine.cache.match("agency-1", LONG_PROMPT) == 256


async def test_cache_events_are_late_and_have_gaps():
    clock = ManualClock()
    faults = EngineFaults(cache_event_lag_ms=2_000, cache_event_loss=2)
    async with running_engines(FAST_ENGINE, clock=clock, faults=faults) as e:
        e.engine.store("agency-1", LONG_PROMPT)
        assert (await e.gateway.cache_events(e.address, 0)).events == ()
        clock.advance(2)
        batch = await e.gateway.cache_events(e.address, 0)
        assert batch.incarnation == e.engine.incarnation
        assert [event.sequence for event in batch.events] == [1, 3]
        blocks = block_hashes("agency-1", LONG_PROMPT)
        assert [event.block for event in batch.events] == [blocks[0], blocks[2]]
        assert len((await e.gateway.cache_events(e.address, 1)).events) == 1


async def test_cold_engine_crashes_above_its_limit_and_restarts():
    cold = attrs.evolve(FAST_ENGINE, starts_cold=True, cold_limit=2, decode_rate=0.1)
    async with running_engines(cold) as e:
        before = e.engine.incarnation
        calls = [make_call(attempt_id=f"a-{n}") for n in range(3)]
        received = await asyncio.gather(*map(e.receive, calls))
        assert all(isinstance(r.failure, BackendFailed) for r in received)
        assert e.engine.crashes == 1
        await until(lambda: not e.engine.down)
        assert e.engine.incarnation != before
        assert e.engine.memory.used_tokens == 0
        report = await e.gateway.load_report(e.address)
        assert report.warm_level < 1
        assert report.incarnation == e.engine.incarnation


async def test_cold_engine_warms_up_by_time_and_by_prefilled_tokens():
    clock = ManualClock()
    profile = EngineProfile(warm_up_s=10, warm_up_tokens=1_000)
    async with running_engines(profile, clock=clock) as e:
        assert e.engine.load_report().warm_level == 1
        warm_rate = e.engine.prefill_rate
        e.engine.become_cold()
        assert e.engine.load_report().warm_level == 0
        assert e.engine.prefill_rate == warm_rate / 2
        clock.advance(5)
        assert e.engine.load_report().warm_level == 0.5
        e.engine.warmth.record_prefill(500)
        assert not e.engine.warmth.is_cold


async def test_decoding_slows_down_beyond_the_batch():
    profile = attrs.evolve(FAST_ENGINE, decode_batch=2, decode_rate=0.1)
    async with running_engines(profile) as e:
        rates = []
        streams = []
        for number in range(4):
            streams.append(
                e.gateway.generate(e.address, make_call(attempt_id=f"a-{number}"))
            )
            await anext(streams[-1])
            rates.append((await e.gateway.load_report(e.address)).decode_rate)
        assert rates == [5.0, 5.0, 5.0 / 1.5, 2.5]
        for stream in streams:
            await stream.aclose()
        await until(lambda: e.engine.decode_rate == 5.0)


async def test_load_reports_lag():
    clock = ManualClock()
    async with running_engines(
        FAST_ENGINE, clock=clock, faults=EngineFaults(load_lag_ms=3_000)
    ) as e:
        assert e.engine.load_report().memory_used_tokens == 0
        clock.advance(10)
        await e.gateway.reserve(
            e.address, Reservation("s-1", "r-1", "node-1", 500, 60_000)
        )
        e.engine.load_report()
        clock.advance(2.9)
        old = e.engine.load_report()
        assert (old.memory_used_tokens, old.age_ms) == (0, 3_000)
        clock.advance(0.2)
        assert e.engine.load_report().memory_used_tokens == 500


async def test_gang_answers_the_whole_prompt():
    small = attrs.evolve(FAST_ENGINE, memory_tokens=1_100)
    async with running_engines(small, small, small) as e:
        segments = ["a" * 4_000, "b" * 4_000, "c" * 3_999]
        prompt = "".join(segments)
        refused = await e.receive(make_call(prompt))
        assert refused.failure.reason == "memory"
        for index, segment in enumerate(segments):
            reservation = Reservation(f"s-{index}", "r-1", "node-1", 1_010, 60_000)
            await e.gateway.reserve(e.addresses[index], reservation)
            await e.gateway.prefill(
                e.addresses[index], f"s-{index}", "agency-1", segment
            )
        gang = tuple(GangSegment(e.addresses[n], f"s-{n}") for n in range(2))
        call = make_call(segments[2], gang=gang, reservation_id="s-2")
        received = await e.receive(call, index=2)
        assert received.failure is None
        assert received.text == answer_text(prompt, 8)
        # The last segment was prefilled only once, into its reservation.
        assert e.engines[2].prefilled_tokens == 1_000
        # The engine frees the memory once the connection has taken the last line.
        await until(lambda: e.engines[2].memory.used_tokens == 0)
        assert [engine.memory.used_tokens for engine in e.engines] == [1_010, 1_010, 0]
        await e.gateway.free(e.addresses[0], "s-0")
        assert e.engines[0].memory.used_tokens == 0
        again = await e.receive(attrs.evolve(call, reservation_id=""), index=2)
        assert again.failure.reason == "segment"


async def test_reservations_expire_are_renewed_and_are_refused():
    clock = ManualClock()
    async with running_engines(
        attrs.evolve(FAST_ENGINE, memory_tokens=1_000), clock=clock
    ) as e:
        reservation = Reservation("s-1", "r-1", "node-1", 800, 1_000)
        await e.gateway.reserve(e.address, reservation)
        other = attrs.evolve(reservation, reservation_id="s-2")
        error = await expect_failure(
            e.gateway.reserve(e.address, other), BackendRefused
        )
        assert error.reason == "memory"
        clock.advance(0.9)
        await e.gateway.reserve(e.address, reservation)
        clock.advance(0.9)
        (held,) = await e.gateway.allocations(e.address)
        assert (held.kind, held.owner, held.request_id) == (
            "reservation",
            "node-1",
            "r-1",
        )
        assert held.remaining_ms == 100
        clock.advance(0.2)
        assert await e.gateway.allocations(e.address) == ()
        late = e.gateway.prefill(e.address, "s-1", "agency-1", "x")
        assert (await expect_failure(late, BackendRefused)).reason == "reservation"


async def test_engine_ends_a_stream_that_nobody_reads_at_its_deadline():
    async with running_engines(attrs.evolve(FAST_ENGINE, decode_rate=1.0)) as e:
        call = make_call(max_tokens=1_000, remaining_ms=200)
        url = f"http://{e.address}/v1/generate"
        async with e.client.post(url, data=codec.encode(call)):
            assert e.engine.memory.used_tokens
            await until(lambda: e.engine.memory.used_tokens == 0)
            # Freeing it aborts the connection, which ends the stream.
            await until(lambda: e.engine.running == 0)


async def test_memory_that_an_engine_keeps_is_listed_and_can_be_freed():
    faults = EngineFaults(keeps_memory=True, ignores_deadlines=True)
    profile = attrs.evolve(FAST_ENGINE, decode_rate=1.0)
    async with running_engines(profile, faults=faults) as e:
        chunks = e.gateway.generate(e.address, make_call(remaining_ms=300))
        await anext(chunks)
        await chunks.aclose()
        await until(lambda: e.engine.running == 0)
        await until(lambda: e.engine.memory.list_allocations()[0].remaining_ms < 0)
        (held,) = await e.gateway.allocations(e.address)
        await e.gateway.free(e.address, held.allocation_id)
        assert await e.gateway.allocations(e.address) == ()


async def test_exported_cache_saves_the_prefill_on_another_engine():
    slow = attrs.evolve(FAST_ENGINE, decode_rate=0.1)
    async with running_engines(slow, FAST_ENGINE) as e:
        chunks = e.gateway.generate(e.address, make_call(LONG_PROMPT))
        first = await anext(chunks)
        assert isinstance(first, TokenChunk)
        export_id = await e.gateway.export_cache(e.address, "a-1", "node-1", 60_000)
        kinds = {a.kind for a in await e.gateway.allocations(e.address)}
        assert kinds == {"stream", "export"}
        await chunks.aclose()
        await e.gateway.import_cache(e.addresses[1], e.address, export_id)
        resumed = make_call(
            LONG_PROMPT, attempt_id="a-2", resume_tokens=1, resume_text=first.text
        )
        received = await e.receive(resumed, index=1)
        assert first.text + received.text == answer_text(LONG_PROMPT, 8)
        assert e.engines[1].prefilled_tokens < 5
        await e.gateway.free(e.address, export_id)
        gone = e.gateway.import_cache(e.addresses[1], e.address, export_id)
        await expect_failure(gone, BackendRefused)


async def test_fencing_is_checked_or_ignored():
    async with running_engines(FAST_ENGINE) as e:
        newer = await e.gateway.send_order(e.address, EngineOrder(7, "2", ("tagalog",)))
        assert newer.accepted
        assert e.engine.load_report().version == "1"
        await until(lambda: e.engine.load_report().version == "2")
        older = await e.gateway.send_order(e.address, EngineOrder(6, "1"))
        assert not older.accepted
        assert older.fencing == 7
        await e.engine.set_faults(EngineFaults(ignores_fencing=True))
        assert (await e.gateway.send_order(e.address, EngineOrder(6, "1"))).accepted
        await until(lambda: e.engine.load_report().version == "1")


def load_tests(loader, tests, pattern):
    return collect(globals())
