"""The parts of ``bench.requests`` on latency, completion, fairness and overload."""

import asyncio
import contextlib
import itertools
import time

import attrs

from bench._driving import Outcomes, drive, make_request, send_request
from bench._request_setup import (
    ACCOUNTS,
    LENGTH_CLASSES,
    PROFILE,
    TIME_SCALE,
    TIMING,
    format_codes,
    rated_tokens_per_s,
    running_system,
)
from bench._systems import System
from bench._tables import Table
from bench._workloads import CONSORTIUM, PAILLES, Arrival, Shape, arrivals
from tanagerkeel.requests import LengthClass

__all__ = ["completion", "fairness", "first_token", "overload"]


# Twice as long as a node remembers the usage of accounts on other nodes.
FAIRNESS_S = 20.0


async def first_token(seed: int) -> tuple[Table, ...]:
    """Measure the time to the first token by length class, for both deployments."""
    return tuple(
        [await _first_token_of(shape, seed) for shape in (PAILLES, CONSORTIUM)]
    )


async def _first_token_of(shape: Shape, seed: int) -> Table:
    duration_s = 24.0
    mixed = arrivals(shape, rated_tokens_per_s(), duration_s, seed)
    short = tuple(a for a in mixed if a.prompt_tokens <= 8_000)
    table = Table(
        f"{shape.name}: time to first token (modelled s), {len(mixed)} requests, "
        f"seed {seed}, {TIME_SCALE:g} modelled s a second; targets: 0.99 s and 65 ms "
        "at p95 for short requests, slowdown 1.2",
        (
            "system",
            "load",
            "class",
            "sent",
            "finished",
            "p50",
            "p95",
            "p99",
            "between tokens p95 ms",
            "slowdown of p95",
        ),
    )
    for name in ("ours", "naive"):
        alone_s = None
        for load, workload in (("short alone", short), ("mixed", mixed)):
            async with running_system(name) as system:
                outcomes = await drive(system, workload, TIMING, seed)
            for length_class in LENGTH_CLASSES:
                if not outcomes.sent[length_class]:
                    continue
                p95_s = outcomes.first_token_s(length_class, 95)
                is_short = length_class is LengthClass.SHORT
                alone_s = alone_s or p95_s
                table.add(
                    name,
                    load,
                    length_class.value,
                    outcomes.sent[length_class],
                    outcomes.finished[length_class],
                    outcomes.first_token_s(length_class, 50),
                    p95_s,
                    outcomes.first_token_s(length_class, 99),
                    outcomes.between_tokens_ms(95) if is_short else "",
                    p95_s / alone_s if is_short else "",
                )
    return table


async def completion(seed: int) -> tuple[Table, ...]:
    """Measure how many long requests finish, with and without engine deaths."""
    duration_s = 80.0
    workload = arrivals(CONSORTIUM, rated_tokens_per_s(), duration_s, seed)
    table = Table(
        f"Consortium: requests over 8,000 tokens that finish in time, seed {seed}; "
        "targets: 0.99 without faults, 0.97 with one engine death a modelled minute",
        ("system", "deaths", "sent", "finished", "share", "wrong", "codes", "late"),
    )
    for name, with_deaths in itertools.product(("ours", "naive"), (False, True)):
        async with running_system(name) as system:
            deaths = asyncio.create_task(_crash_engines(system, with_deaths))
            outcomes = await drive(system, workload, TIMING, seed)
            deaths.cancel()
        sent = outcomes.sent[LengthClass.LONG] + outcomes.sent[LengthClass.GANG]
        done = outcomes.finished[LengthClass.LONG] + outcomes.finished[LengthClass.GANG]
        table.add(
            name,
            "one a minute" if with_deaths else "none",
            sent,
            done,
            done / sent,
            outcomes.wrong,
            format_codes(outcomes),
            sum(outcomes.late.values()),
        )
    return (table,)


async def _crash_engines(system: System, with_deaths: bool) -> None:
    interval_s = 60.0 / TIME_SCALE
    for address in itertools.cycle(system.addresses[::7]):
        # The first crash comes after half a modelled minute.
        await asyncio.sleep(interval_s / 2)
        if not with_deaths:
            return
        with contextlib.suppress(Exception):
            await system.client.post(f"http://{address}/crash")
        await asyncio.sleep(interval_s / 2)


async def fairness(seed: int) -> tuple[Table, ...]:
    """Measure how evenly accounts are served that always have requests waiting."""
    table = Table(
        f"Served tokens of 4 backlogged client accounts of equal weight, one sending "
        f"6 times as much, 4 engines, seed {seed}; target: smallest over largest 0.9",
        ("system", "smallest", "largest", "smallest over largest", "codes"),
    )
    for name in ("ours", "naive"):
        async with running_system(name, 4) as system:
            outcomes = await _backlogged(system, seed)
        served = [outcomes.tokens_by_account[a] for a in ACCOUNTS[:4]]
        table.add(
            name,
            min(served),
            max(served),
            min(served) / max(1, max(served)),
            format_codes(outcomes),
        )
    return (table,)


async def _backlogged(system: System, seed: int) -> Outcomes:
    outcomes = Outcomes()
    numbers = itertools.count()
    until_s = time.monotonic() + FAIRNESS_S

    async def send_repeatedly(account: str) -> None:
        while time.monotonic() < until_s:
            number = next(numbers)
            arrival = Arrival(number, 0.0, account, 4_000, 20)
            request = make_request(arrival, TIMING, seed, deadline_s=120.0)
            entry = system.entries[number % len(system.entries)]
            await send_request(entry, request, TIMING, outcomes)

    senders = [(a, n) for a, n in zip(ACCOUNTS, (180, 30, 30, 30), strict=False)]
    tasks = [
        asyncio.create_task(send_repeatedly(a)) for a, n in senders for _ in range(n)
    ]
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    return outcomes


async def overload(seed: int) -> tuple[Table, ...]:
    """Measure goodput at 1, 2 and 5 times 0.8 of the engines' prefill rate."""
    engines = 3
    table = Table(
        f"Short requests with a deadline of 10 modelled s on {engines} engines at "
        f"multiples of 0.8 of their prefill rate, seed {seed}; target: goodput at 5 "
        "times at least 0.9 of that at once",
        (
            "system",
            "load",
            "sent",
            "finished",
            "refused as not run",
            "late",
            "sent in, modelled s",
            "goodput, tokens a modelled s",
            "of that at 1",
        ),
    )
    duration_s = 24.0
    shape = Shape("short", (attrs.evolve(PAILLES.kinds[0], answer_tokens=20),))
    for name in ("ours", "naive"):
        base = None
        for factor in (1, 2, 5):
            rate = 0.8 * factor * engines * PROFILE.prefill_rate
            workload = arrivals(shape, rate, duration_s, seed)
            async with running_system(name, engines) as system:
                outcomes = await drive(system, workload, TIMING, seed, 10.0)
            goodput = outcomes.sending_tokens / outcomes.sending_s
            base = base or goodput
            table.add(
                name,
                factor,
                sum(outcomes.sent.values()),
                sum(outcomes.finished.values()),
                sum(outcomes.refused.values()),
                sum(outcomes.late.values()),
                outcomes.sending_s,
                goodput,
                goodput / base,
            )
    return (table,)
