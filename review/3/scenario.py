"""An entry in the store can't be read, and a new configuration follows."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness

# Bytes that are no JSON: an entry that breaks off inside of lists.
UNREADABLE = b'{"service":' + b"[" * 1_200
NODES = (10, 11, 12)
SECONDS = 12.0


async def scenario(fleet: harness.Fleet, record: harness.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await fleet.start_store()
    await fleet.add_engine(20, "i-old", "booking", "zone-a", harness.whole_answer)
    new = await fleet.add_engine(21, "i-new", "desk", "zone-b", harness.whole_answer)
    fleet.store.write("op/config", document(3, "booking"))
    for number, zone in zip(NODES, ("zone-a", "zone-b", "zone-c"), strict=True):
        await fleet.start_node(number, f"front-{number}", zone)
    await fleet.until_ready(*NODES)
    await asyncio.sleep(4.0)
    if trouble:
        record.line("written   servers/i-other by another writer, not readable")
        fleet.store.write("servers/i-other", UNREADABLE)
    await asyncio.sleep(1.0)
    acknowledged_s = fleet.store.write("op/config", document(5, "desk"))
    record.line("accepted  version 5: the routes go to the service desk")
    sent_s = {}
    unserved = []
    until_s = record.now_s + SECONDS
    count = 0
    while record.now_s < until_s:
        number = NODES[count % len(NODES)]
        caller = harness.Caller(f"{fleet.host(number)}:{harness.FRONT_PORT}", record)
        kind = "lookup" if count % 2 else "detail"
        request_id = f"{kind}-{count}"
        sent_s[request_id] = record.now_s
        status, _, _ = await caller.send(request_id, "GET", f"/{kind}/{count}")
        caller.close()
        if status != 200:
            unserved.append(request_id)
        count += 1
        await asyncio.sleep(0.1)
    bound_s = acknowledged_s + harness.CONFIG_S
    by_old = [
        request_id
        for engine in fleet.engines
        if engine.engine_id == "i-old"
        for _, request_id in engine.runs
        if sent_s[request_id] > bound_s
    ]
    if not trouble and not new.runs:
        raise RuntimeError("the new service ran nothing")
    ready = [number for number in NODES if await fleet.is_ready(number)]
    record.line(
        f"CONFIG    sent over 2 s after version 5, run by the old one: {by_old}"
    )
    with_key = [i for i in unserved if i.startswith("detail")]
    record.line(f"beside it {len(with_key)} of {count // 2} with a key were not served")
    record.line(f"beside it ready at the end: {ready} of {NODES}")
    return not by_old


def document(version: int, service: str) -> dict:
    """Return a version of the configuration."""
    routes = [
        # Needs no key.
        harness.route("lookup", "safe", service, public=True),
        harness.route("detail", "safe", service),
    ]
    return harness.configuration(version, routes, ["booking", "desk"])


if __name__ == "__main__":
    harness.main(scenario)
