"""A key is taken away in the seconds after an outage of the store, again and again."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness

NODES = (10, 11, 12, 13, 14, 15)
ZONES = ("zone-a", "zone-b", "zone-c")
ENGINES = 6
CYCLES = 8
OUTAGE_S = 4.0
# When the store serves each node again, in seconds after its return; and until when the
# engines have registered again.
SERVED_S = (0.0, 0.2, 0.4, 0.6, 0.8, 1.0)
REGISTERED_S = 0.3
# When the operator writes versions after the return, in seconds; the last one takes a
# key away.
WRITTEN_S = tuple(0.3 + 0.08 * index for index in range(11))
# A key that was taken away is accepted for this time at most.
REVOKE_S = 5.0
MARGIN_S = 0.1


async def scenario(fleet: harness.Fleet, record: harness.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    rng = random.Random(1)
    await fleet.start_store()
    for number in range(ENGINES):
        zone = ZONES[number % len(ZONES)]
        await fleet.add_engine(
            20 + number, f"i-{number}", "booking", zone, harness.whole_answer
        )
    operator = Operator(fleet.store)
    operator.write("key-0")
    fronts = []
    for index, number in enumerate(NODES):
        front = harness.StoreFront(fleet.host(100 + index), 8223, fleet.store)
        await fleet.start_server(front)
        fronts.append(front)
        zone = ZONES[index % len(ZONES)]
        await fleet.start_node(number, f"front-{number}", zone, front.address)
    await fleet.until_ready(*NODES)
    await asyncio.sleep(4.0)
    statuses = await ask(fleet, record, "key-0", "before")
    if set(statuses.values()) != {200}:
        raise RuntimeError("a key in force was not accepted")
    for cycle in range(CYCLES):
        if trouble:
            record.line("outage    the store answers nothing; leases run out")
            for front in fronts:
                front.go_down()
        await asyncio.sleep(OUTAGE_S)
        returned_s = record.now_s
        returning = []
        if trouble:
            record.line("return    the store answers; entries come back")
            fleet.store.end_all_leases()
            returning = [
                *(
                    register(fleet, e, rng.uniform(0, REGISTERED_S))
                    for e in fleet.engines
                ),
                *map(serve_again, fronts, rng.sample(SERVED_S, len(SERVED_S))),
            ]
        returning = asyncio.gather(*returning)
        for written_s in WRITTEN_S:
            await asyncio.sleep(max(0.0, returned_s + written_s - record.now_s))
            last = written_s == WRITTEN_S[-1]
            accepted_s = operator.write(f"key-{cycle + 1 if last else cycle}")
        record.line(f"accepted  version {operator.version} takes key-{cycle} away")
        await returning
        await asyncio.sleep(accepted_s + REVOKE_S + MARGIN_S - record.now_s)
        await ask(fleet, record, f"key-{cycle}", f"after-{cycle}")
    ran = sorted(i for i in harness.count_runs(fleet.engines) if i.startswith("after"))
    record.line(f"CONFIG    sent over 5 s after the key was taken away, and ran: {ran}")
    return not ran


async def register(
    fleet: harness.Fleet, engine: harness.Engine, delay_s: float
) -> None:
    """Register an engine whose entry has lapsed."""
    fleet.store.delete(f"servers/{engine.engine_id}")
    await asyncio.sleep(delay_s)
    fleet.store.write(f"servers/{engine.engine_id}", engine.entry())


async def serve_again(front: harness.StoreFront, delay_s: float) -> None:
    """Let the store serve a node again."""
    await asyncio.sleep(delay_s)
    front.come_back()


async def ask(
    fleet: harness.Fleet, record: harness.Record, key: str, name: str
) -> dict[str, int]:
    """Send one request with a key to each node; return the statuses by request id."""
    statuses = {}
    for number in NODES:
        address = f"{fleet.host(number)}:{harness.FRONT_PORT}"
        caller = harness.Caller(address, record, key)
        request_id = f"{name}-{number}"
        statuses[request_id], _, _ = await caller.send(request_id, "GET", "/lookup/1")
        caller.close()
    return statuses


class Operator:
    """Writes one version of the configuration after the other; each adds a route."""

    def __init__(self, store: harness.Store) -> None:
        self._store = store
        self._added = []
        self.version = 1

    def write(self, key: str) -> float:
        """Write the next version; return when it was accepted."""
        self.version += 2
        self._added = [*self._added[-7:], f"route-{self.version}"]
        routes = [
            harness.route(name, "safe", "booking") for name in ("lookup", *self._added)
        ]
        document = harness.configuration(self.version, routes, ["booking"])
        document["tenants"][0]["apiKeys"].append(key)
        return self._store.write("op/config", document)


if __name__ == "__main__":
    harness.main(scenario)
