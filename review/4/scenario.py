"""The store twice cuts the watches that wait, while an engine's entry goes."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness

NODES = (10, 11, 12)
ZONES = ("zone-a", "zone-b", "zone-c")
CUT_INTERVAL_S = 1.5
CUTS = 2
REMOVED_AFTER_S = 0.3
SECONDS = 12.0


async def scenario(fleet: harness.Fleet, record: harness.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await fleet.start_store()
    for number, zone in enumerate(ZONES):
        await fleet.add_engine(
            20 + number, f"i-{number}", "booking", zone, harness.whole_answer
        )
    leaving = fleet.engines[0]
    document = harness.configuration(
        3, [harness.route("lookup", "safe", "booking")], ["booking"]
    )
    fleet.store.write("op/config", document)
    for number, zone in zip(NODES, ZONES, strict=True):
        await fleet.start_node(number, f"front-{number}", zone)
    await fleet.until_ready(*NODES)
    await asyncio.sleep(6.0)
    cutting = asyncio.create_task(cut(fleet, record)) if trouble else None
    await asyncio.sleep(REMOVED_AFTER_S)
    acknowledged_s = fleet.store.delete(f"servers/{leaving.engine_id}")
    record.line(f"removed   the entry of {leaving.engine_id}, which serves on")
    sent_s = {}
    until_s = record.now_s + SECONDS
    count = 0
    while record.now_s < until_s:
        number = NODES[count % len(NODES)]
        caller = harness.Caller(f"{fleet.host(number)}:{harness.FRONT_PORT}", record)
        request_id = f"r-{count}"
        sent_s[request_id] = record.now_s
        await caller.send(request_id, "GET", f"/lookup/{count}")
        caller.close()
        count += 1
        await asyncio.sleep(0.05)
    if cutting is not None:
        await cutting
    bound_s = acknowledged_s + harness.DRAIN_S
    late = [
        f"{request_id} after {arrived_s - acknowledged_s:.2f} s"
        for arrived_s, request_id in leaving.runs
        if sent_s.get(request_id, 0.0) > bound_s
    ]
    record.line(f"DRAIN     reached the engine over 2 s after its leaving: {late}")
    return not late


async def cut(fleet: harness.Fleet, record: harness.Record) -> None:
    """Cut the waiting watches at intervals."""
    for _ in range(CUTS):
        count = fleet.store.cut_waiting_watches()
        record.line(f"cut       {count} watches that waited; all else is served")
        await asyncio.sleep(CUT_INTERVAL_S)


if __name__ == "__main__":
    harness.main(scenario)
