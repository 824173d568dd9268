"""
A node starts while the store has returned from a copy older than a revocation.

See ``claim.txt``. Both runs restart the node; with ``TROUBLE=0`` the store is not away.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit_3 import (  # noqa: E402
    BOUNDS,
    STABLE_WINDOW_S,
    Engine,
    Node,
    Record,
    configuration,
    route,
    run_case,
    running,
    running_store,
)

ZONES = {"z-a": "r-1", "z-b": "r-1", "z-c": "r-1"}
KEPT_KEY, REVOKED_KEY = "kept0000", "revoked0"
# From the acknowledged revocation to the stop of the node, which takes about 3 s.
STOP_AFTER_S = 3.5
# How long the store is away, and how long the operator takes then to write again.
AWAY_S = 1.0
REWRITE_S = 1.5
REQUEST_INTERVAL_S = 0.05
# How long after the store's return requests with the revoked key are sent.
OBSERVED_S = 4.0


def version(number: int, keys: list[str]) -> dict:
    """Return a configuration whose only client account has these keys."""
    routes = [route("book", "unsafe", "booking", maxAttempts=1, public=False)]
    accounts = [{"name": "acme", "apiKeys": keys}]
    return configuration(number, routes, ["booking"], accounts)


async def send_with_key(node: Node, key: str, request_id: str) -> None:
    """Send a request with a key to a node."""
    await node.request(
        request_id,
        "a.example",
        "/book/seat",
        headers={"Authorization": f"Token {key}"},
        body=b"seat",
    )


async def case(record: Record, folder: str, trouble: bool) -> bool:
    """Return whether a request with the revoked key ran later than the bound."""
    async with running_store() as store:
        engines = [
            Engine("127.0.0.1", store, record, "booking", zone, work_s=0.045)
            for zone in ZONES
        ]
        nodes = [
            Node(f"front-{zone}-1", zone, ZONES, store, record, folder)
            for zone in ZONES
        ]
        store.write("op/config", version(7, [KEPT_KEY, REVOKED_KEY]))
        async with running(nodes, engines):
            await asyncio.sleep(STABLE_WINDOW_S)
            for number, node in enumerate(nodes):
                await send_with_key(node, REVOKED_KEY, f"before{number}")
            copy = store.copy()
            store.write("op/config", version(9, [KEPT_KEY]))
            acknowledged_s = time.monotonic()
            record.write("the revocation is acknowledged")
            await asyncio.sleep(STOP_AFTER_S)
            node = nodes[0]
            await node.stop()
            start = asyncio.create_task(node.start())
            if trouble:
                store.abort()
                record.write("the store is away")
                await asyncio.sleep(AWAY_S)
                await store.come_back(copy)
                record.write("the store is back, from the copy")
            returned_s = time.monotonic()
            sent_s = await observe(nodes, trouble, store, returned_s, record)
            await start
        return judge(record, engines, sent_s, acknowledged_s)


async def observe(
    nodes: list[Node], trouble: bool, store: object, returned_s: float, record: Record
) -> dict[str, float]:
    """
    Send requests with the revoked key to all nodes; write the configuration again.

    :returns: when each request was sent, by its id.
    """
    sent_s: dict[str, float] = {}
    written = not trouble
    async with asyncio.TaskGroup() as requests:
        while (now := time.monotonic()) < returned_s + OBSERVED_S:
            if not written and now >= returned_s + REWRITE_S:
                written = True
                store.write("op/config", version(9, [KEPT_KEY]))
                record.write("the operator has written the configuration again")
            for node in nodes:
                request_id = f"late{len(sent_s):04d}"
                sent_s[request_id] = time.monotonic()
                requests.create_task(send_with_key(node, REVOKED_KEY, request_id))
            await asyncio.sleep(REQUEST_INTERVAL_S)
    return sent_s


def judge(
    record: Record,
    engines: list[Engine],
    sent_s: dict[str, float],
    acknowledged_s: float,
) -> bool:
    """Return whether the rule was broken, from what the engines ran."""
    bound_s = BOUNDS["revokeMs"] / 1_000
    ran = {request_id for engine in engines for _, request_id, _ in engine.arrivals}
    late = {
        request_id: at_s - acknowledged_s
        for request_id, at_s in sent_s.items()
        if request_id in ran and at_s - acknowledged_s > bound_s
    }
    record.conclude(
        f"{len(sent_s)} requests with the revoked key were sent; {len(late)} that were "
        f"sent later than {bound_s:.0f} s after its revocation ran"
    )
    if late:
        record.conclude(
            f"they were sent {min(late.values()):.2f} to {max(late.values()):.2f} s "
            "after it"
        )
    return bool(late)


if __name__ == "__main__":
    run_case(HERE, case)
