"""What clients may hold of a process, and who is turned away beyond that."""

import asyncio
import contextlib
import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from tanagerkeel.gateways import client_protocol
from tanagerkeel.gateways.client_limits import (
    ConnectionLimit,
    MemoryBudget,
    ProcessLimits,
    TurnedAway,
)
from tanagerkeel.gateways.http_protocol import HeaderPolicy
from tanagerkeel.gateways.http_server import HttpServer
from tests.support import collect

MAX_BODY_BYTES = 1_000
# Longer than a test's exchange takes; beyond it something hangs.
WAIT_S = 10.0
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"


def test_the_one_who_holds_most_without_finishing_is_turned_away():
    budget = MemoryBudget(100)
    budget.hold("finished", 60, finished=True)
    budget.hold("small", 10, finished=False)
    budget.hold("large", 30, finished=False)
    assert budget.excess_holder is None
    budget.hold("next", 1, finished=False)
    assert budget.excess_holder == "large"
    budget.release("large")
    assert (budget.excess_holder, budget.total) == (None, 71)


def test_nobody_is_turned_away_whose_request_is_complete():
    budget = MemoryBudget(100)
    budget.hold("finished", 150, finished=True)
    assert budget.excess_holder is None


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 80), st.booleans()), max_size=40
    )
)
def test_a_budget_that_is_enforced_is_kept_by_those_who_have_not_finished(steps):
    budget = MemoryBudget(100)
    held = {}
    for client, count, finished in steps:
        held[client] = (count, finished)
        budget.hold(client, count, finished)
        while (excess := budget.excess_holder) is not None:
            budget.release(excess)
            del held[excess]
        assert budget.total == sum(count for count, _ in held.values())
        unfinished = [count for count, done in held.values() if not done]
        assert budget.total <= 100 or not unfinished


def test_the_address_with_most_waiting_connections_loses_the_oldest_one():
    limit = ConnectionLimit(4)
    for client, address in (("a1", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")):
        assert limit.open(client, address) is None
    assert limit.open("a2", "a") == "b1"
    limit.close("b1")
    limit.set_waiting("b2", False)
    limit.set_waiting("b3", False)
    assert limit.open("c1", "c") == "a1"


def test_a_connection_that_is_served_is_never_closed_for_a_new_one():
    limit = ConnectionLimit(1)
    limit.open("served", "a")
    limit.set_waiting("served", False)
    assert limit.open("new", "a") == "new"


def test_the_limits_of_the_smallest_machines_leave_room_for_ordinary_clients():
    # 300 MB and 4,100 descriptors; bodies of up to 4 MB.
    limits = ProcessLimits(300, 4_100)
    assert limits.connections(0.625) > 2_000
    assert limits.budget().max_bytes > 16 * 4_194_304


async def _echo(scope, receive, send):
    """Answer with the path and the length of the body."""
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
        size += len(event.get("body", b""))
        if not event.get("more_body"):
            break
    body = f"{scope['path']} {size};".encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


@contextlib.asynccontextmanager
async def serving(**options):
    """Serve on loopback; yield the port and the causes for which clients went."""
    causes = []
    server = HttpServer(
        _echo,
        "127.0.0.1",
        0,
        HeaderPolicy(max_body_bytes=MAX_BODY_BYTES),
        on_turned_away=causes.append,
        **options,
    )
    await server.start()
    try:
        async with asyncio.timeout(WAIT_S):
            yield int(server.address.rpartition(":")[2]), causes
    finally:
        await server.stop(0.0)


async def exchange(port, data, end_of_stream=True):
    """Send bytes; return all that comes back until the connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if end_of_stream:
        writer.write(POST + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
    try:
        return await reader.read()
    finally:
        writer.close()


async def test_requests_sent_ahead_are_all_answered_in_order():
    async with serving() as (port, causes):
        answers = await exchange(port, b"".join(GET % n for n in range(2_000)))
    paths = [part.rpartition(b"\r\n\r\n")[2] for part in answers.split(b";")[:-1]]
    assert paths == [b"/%d 0" % n for n in range(2_000)] + [b"/ 0"]
    assert not causes


async def test_bodies_among_requests_sent_ahead_are_not_taken_for_requests():
    request = POST + b"Content-Length: 900\r\n\r\n" + (GET % 1 * 40)[:900]
    chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    chunked += b"384\r\n" + (GET % 2 * 40)[:900] + b"\r\n0\r\n\r\n"
    async with serving() as (port, _):
        answers = await exchange(port, (request + chunked + GET % 3) * 30)
    assert answers.count(b"/ 900;") == 60
    assert answers.count(b"/3 0;") == 30
    assert answers.count(b"HTTP/1.1 200") == 91


async def test_an_announced_body_over_the_limit_is_refused_and_not_asked_for():
    # 100 Continue was sent, and 4 MB were taken before the refusal.
    head = POST + b"Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n"
    async with serving() as (port, causes):
        answer = await exchange(port, head, end_of_stream=False)
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert b"100 Continue" not in answer
        assert causes == [TurnedAway.BODY_ANNOUNCED]
        whole = POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 1_000
        assert b"/ 1000;" in await exchange(port, whole)


async def test_a_body_that_does_not_arrive_in_time_is_refused_as_not_run():
    with unittest.mock.patch.object(client_protocol, "BODY_TIMEOUT_S", 0.1):
        async with serving() as (port, causes):
            head = POST + b"Content-Length: 10\r\n\r\nx"
            answer = await exchange(port, head, end_of_stream=False)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert causes == [TurnedAway.BODY_TIMEOUT]


async def test_a_small_request_is_served_while_large_ones_fill_the_budget():
    async with serving(memory=MemoryBudget(20_000)) as (port, causes):
        head = POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 900
        hogs = [
            asyncio.create_task(exchange(port, head, end_of_stream=False))
            for _ in range(12)
        ]
        while len(causes) < 4:
            await asyncio.sleep(0.01)
        last = b"GET /7 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        assert b"/7 0;" in await exchange(port, last, end_of_stream=False)
        refused = [task for task in hogs if task.done()]
        assert refused
        assert all(task.result().startswith(b"HTTP/1.1 503 ") for task in refused)
        for task in hogs:
            task.cancel()
    assert set(causes) == {TurnedAway.MEMORY}


async def test_a_client_that_reads_nothing_of_a_response_is_disconnected():
    async def large(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"x" * 20_000_000})

    causes = []
    with unittest.mock.patch.object(client_protocol, "UNREAD_TIMEOUT_S", 0.1):
        server = HttpServer(large, "127.0.0.1", 0, on_turned_away=causes.append)
        await server.start()
        port = int(server.address.rpartition(":")[2])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET % 1)
        async with asyncio.timeout(WAIT_S):
            while not causes:
                await asyncio.sleep(0.01)
        writer.close()
        await server.stop(0.0)
    assert causes == [TurnedAway.UNREAD]


async def test_the_oldest_idle_connection_makes_room_for_a_new_caller():
    async with serving(max_connections=3) as (port, causes):
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        await asyncio.sleep(0.05)
        assert b"/1 0;" in await exchange(port, GET % 1)
        assert await idle[0][0].read() == b""
        assert causes == [TurnedAway.CONNECTIONS]
        for _, writer in idle:
            writer.close()


def load_tests(loader, tests, pattern):
    return collect(globals())
