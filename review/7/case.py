"""One of seven servers answers part of its requests with 503 after it ran them."""

import asyncio
import contextlib
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from kit_2 import (
    BROKEN,
    HELD,
    WITH_TROUBLE,
    Node,
    Record,
    Request,
    Server,
    Store,
    call,
    configuration,
    plain_service,
    request_headers,
    respond,
    route,
    run_case,
)

SERVICE = "wuno96b"
ZONES = ("mu-north", "mu-centre", "mu-south")
# One of seven servers is the share 0.14 of the site file.
SERVERS = 7
FAILING_SERVER = "i-0"
FAILING_SHARE = 0.45
FAILING_FROM_S = 2.0
FAILING_FOR_S = 6.5
LENGTH_S = 10.0
PER_S = 20
PROMISES = (408, 421, 429, 503)


class Case:
    """The servers, the nodes and the clients of the case."""

    def __init__(self, record: Record, store: Store) -> None:
        self.record = record
        self.began_s = float("inf")
        self.refused_though_run = 0
        self.made_again = 0
        self.nodes: list[Node] = []
        self.servers = [
            Server(record, store, f"i-{n}", SERVICE, ZONES[n % 3], self.serve)
            for n in range(SERVERS)
        ]

    def fails(self, server: Server) -> bool:
        """Return whether a server fails the request that it has just run."""
        since_s = self.record.now() - self.began_s - FAILING_FROM_S
        in_time = 0.0 <= since_s < FAILING_FOR_S
        failing = WITH_TROUBLE and server.server_id == FAILING_SERVER and in_time
        return failing and random.random() < FAILING_SHARE

    async def serve(
        self, server: Server, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a reservation and answer it."""
        server.ran(request, request.target)
        await asyncio.sleep(0.05)
        if self.fails(server):
            self.record.line(f"server {server.server_id}, {request.request_id}: 503")
            await respond(writer, request, 503, b"booked, but no mail was sent")
        else:
            await respond(writer, request)
        return True

    async def reserve(self, number: int) -> None:
        """Make a reservation; as the pages say, repeat it only after a promise."""
        runs = 0
        for attempt in range(2):
            request_id = f"r{number}-{attempt}"
            node = self.nodes[(number + attempt) % len(self.nodes)]
            answer = await call(
                node.front, "POST", f"/puxa/{number}", request_headers(request_id), b"1"
            )
            ran = sum(server.runs[request_id] for server in self.servers)
            runs += ran
            if answer.status != 200:
                self.record.line(f"client gets for {request_id}: {answer}")
            if answer.status not in PROMISES:
                break
            if ran:
                self.refused_though_run += 1
                self.record.line(f"REFUSED: {request_id}: {answer.status}, but it ran")
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.1)))
        if runs > 1:
            self.made_again += 1
            self.record.line(f"reservation {number} was made {runs} times")


async def main(record: Record, folder: str, stack: contextlib.AsyncExitStack) -> int:
    """Send the reservations and count promises that are not true."""
    random.seed(7)
    store = Store(record)
    await store.start()
    case = Case(record, store)
    for server in case.servers:
        await server.start()
    routes = [route("deposit", "/puxa/", "unsafe", SERVICE)]
    store.write("op/config", configuration(7, routes, [plain_service(SERVICE)]))
    case.nodes = [Node(record, store, folder, f"front-{z}-1", z) for z in ZONES]
    for node in case.nodes:
        stack.push_async_callback(node.stop)
        await node.start()
    for node in case.nodes:
        await node.wait_ready()

    case.began_s = record.now()
    tasks = []
    for number in range(int(LENGTH_S * PER_S)):
        tasks.append(asyncio.create_task(case.reserve(number)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    record.line(
        f"{len(tasks)} reservations, {case.refused_though_run} refused with a promise "
        f"though they had run, {case.made_again} made again for that reason"
    )
    return BROKEN if case.refused_though_run else HELD


run_case(main, pathlib.Path(__file__).parent)
