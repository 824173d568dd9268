"""The callers' HTTP interface: accepted, rejected and misbehaving requests."""

import asyncio
import contextlib
import json
from unittest import mock

import aiohttp
import attrs

from tanagerkeel.clock import ManualClock
from tanagerkeel.configuration import Catalog
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.gateways import cooperative, http_protocol
from tanagerkeel.gateways.callers import _parsing as parsing
from tanagerkeel.gateways.callers import header_policy, make_callers_app
from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.gateways.services import ServiceReply
from tanagerkeel.requests import AnswerEnd, TokenChunk
from tanagerkeel.standins import EngineProfile
from tanagerkeel.standins._example import EXAMPLE_KEY, example_configuration
from tests.fixtures import running_system, until
from tests.support import collect

MODEL = "petition-summary"
CHAT_PATH = "/v1/chat/completions"
AUTHORIZATION = {"Authorization": f"Bearer {EXAMPLE_KEY}"}
MAX_BODY_BYTES = 100_000
MAX_HEADER_BYTES = 2_000


async def complete_answer(request):
    yield TokenChunk("a", 0, ' "one"')
    yield TokenChunk("a", 1, " two\n")
    yield AnswerEnd("a", 2, "stop")


@attrs.define
class Handler:
    """A ``RequestHandler`` that records requests and answers with a given function."""

    answer_function: object = complete_answer
    requests: list = attrs.field(factory=list)
    closed_answers: int = 0

    def catalog(self):
        return Catalog(1, example_configuration(["127.0.0.1:1"]))

    async def answer(self, request):
        self.requests.append(request)
        try:
            async for chunk in self.answer_function(request):
                yield chunk
        finally:
            self.closed_answers += 1

    async def call(self, request):
        self.requests.append(request)
        return ServiceReply(201, request.body, "text/plain")


@attrs.frozen
class Harness:
    """A server of the callers' interface, and a client that is authorized to use it."""

    handler: Handler
    clock: ManualClock
    client: aiohttp.ClientSession
    address: str

    def post(self, body, path=CHAT_PATH, **headers):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.client.post(
            f"http://{self.address}{path}", data=data, headers=headers
        )

    async def connect(self):
        host, port = self.address.split(":")
        return await asyncio.open_connection(host, int(port))


@contextlib.asynccontextmanager
async def running_harness(answer_function=complete_answer):
    handler = Handler(answer_function)
    clock = ManualClock()
    app = make_callers_app(handler, clock, MAX_BODY_BYTES)
    server = HttpServer(app, "127.0.0.1", 0, header_policy(MAX_HEADER_BYTES))
    await server.start()
    try:
        async with aiohttp.ClientSession(headers=AUTHORIZATION) as client:
            yield Harness(handler, clock, client, server.address)
    finally:
        await server.stop(grace_s=0)


def chat(content="Hello", **fields):
    messages = [{"role": "user", "content": content}]
    return {"model": MODEL, "messages": messages} | fields


async def assert_problem(response, code, status):
    """Check that a response is a problem document, and return it."""
    problem = json.loads(await response.read())
    assert response.status == status, problem
    assert response.content_type == "application/problem+json"
    assert problem["code"] == code
    assert problem["status"] == status
    assert response.headers["X-Request-Id"] == problem["request_id"]
    return problem


def raw_head(*lines):
    """Return a request's head, without the end of the last line."""
    head = (f"POST {CHAT_PATH} HTTP/1.1", "Host: x", *lines)
    return "\r\n".join(head).encode()


async def read_response(reader):
    """Return status, headers and body of a response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if line)
    headers = {name.lower(): value for name, value in headers.items()}
    body = await reader.readexactly(int(headers["content-length"]))
    return int(lines[0].split()[1]), headers, body


async def test_malformed_bodies_are_refused_with_a_problem_document():
    bodies = (
        b"",
        b"[]",
        b"{",
        b"\xff\xfe",
        b"[" * 50_000,
        chat(n=2),
        chat(max_tokens=0),
        chat(max_tokens="8"),
        chat(stream="yes"),
        chat(None),
        chat([{"type": "image_url", "text": "x"}]),
        chat("\ud800"),
        chat() | {"messages": []},
        chat() | {"messages": [{"content": "x"}]},
    )
    async with running_harness() as h:
        for body in bodies:
            async with h.post(body, **{"X-Request-Id": "r-7"}) as response:
                problem = await assert_problem(response, "TK-1001", 400)
            assert problem["ran"] == "no"
            assert problem["request_id"] == "r-7"
            assert problem["detail"]
        assert not h.handler.requests


async def test_refusals_by_header_path_and_method():
    cases = (
        ({"Authorization": "Bearer wrong"}, CHAT_PATH, "TK-1002", 401),
        ({"Authorization": f"Basic {EXAMPLE_KEY}"}, CHAT_PATH, "TK-1002", 401),
        ({"X-Deadline-Ms": "soon"}, CHAT_PATH, "TK-1007", 400),
        ({"X-Deadline-Ms": "0"}, CHAT_PATH, "TK-1007", 400),
        ({"X-Deadline-Ms": "-5"}, CHAT_PATH, "TK-1007", 400),
        ({"X-Deadline-Ms": "99999999999"}, CHAT_PATH, "TK-1007", 400),
        ({"X-Request-Id": "two words"}, CHAT_PATH, "TK-1008", 400),
        ({"X-Request-Id": "x" * 129}, CHAT_PATH, "TK-1008", 400),
        ({}, "/v1/nothing", "TK-1011", 404),
        ({}, "/v1/models", "TK-1012", 405),
        ({}, "/v1/services/booking/unknown", "TK-1004", 404),
    )
    async with running_harness() as h:
        for headers, path, code, status in cases:
            async with h.post(chat(), path, **headers) as response:
                assert (await assert_problem(response, code, status))["ran"] == "no"
        async with h.post(chat() | {"model": "other"}) as response:
            await assert_problem(response, "TK-1003", 404)
        assert not h.handler.requests


async def test_operators_get_problem_documents_too():
    async with running_system(engine_count=1) as system:
        operators = f"http://{system.node.operators_address}"
        for path, code, status in (
            ("/explain/nobody", "TK-5004", 404),
            ("/nothing", "TK-1011", 404),
        ):
            async with system.client.get(operators + path) as response:
                await assert_problem(response, code, status)
        async with system.client.post(f"{operators}/status") as response:
            await assert_problem(response, "TK-1012", 405)


async def test_body_over_the_limit_is_refused_while_it_arrives():
    size = 3_000_000
    head = raw_head(f"Authorization: Bearer {EXAMPLE_KEY}", "X-Request-Id: r-8")
    announced = head + f"\r\nContent-Length: {size}\r\n\r\n".encode()
    chunked = head + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    part = b"x" * 50_000
    async with running_harness() as h:
        for start, unit, last in (
            (announced, part, b""),
            (chunked, b"%x\r\n%s\r\n" % (len(part), part), b"0\r\n\r\n"),
        ):
            reader, writer = await h.connect()
            writer.write(start)
            for _ in range(size // len(part)):
                writer.write(unit)
                await writer.drain()
            writer.write(last)
            status, headers, body = await read_response(reader)
            assert status == 413
            assert headers["x-request-id"] == "r-8"
            assert json.loads(body)["code"] == "TK-1006"
            # The rest of the body must not be parsed as the next request.
            writer.write(raw_head("Content-Length: 0").replace(b"POST", b"GET"))
            writer.write(b"\r\n\r\n")
            status, _, body = await read_response(reader)
            assert (status, json.loads(body)["code"]) == (405, "TK-1012")
            writer.close()


async def test_headers_over_the_limit_are_refused():
    many = [f"X-Filler-{n}: {'x' * 50}" for n in range(100)]
    async with running_harness() as h:
        for lines in (many, ["X-Endless: " + "x" * 500_000]):
            reader, writer = await h.connect()
            writer.write(raw_head("X-Request-Id: r-9", *lines) + b"\r\n")
            if lines is many:
                writer.write(b"\r\n")
            status, headers, body = await read_response(reader)
            assert status == 431
            assert headers["x-request-id"] == "r-9"
            assert json.loads(body)["code"] == "TK-1009"
            assert await reader.read() == b""
            writer.close()
        reader, writer = await h.connect()
        writer.write(b"not HTTP at all\r\n\r\n")
        status, _, body = await read_response(reader)
        assert (status, json.loads(body)["code"]) == (400, "TK-1013")
        writer.close()
        assert not h.handler.requests


async def test_body_that_does_not_arrive_times_out():
    head = raw_head(f"Authorization: Bearer {EXAMPLE_KEY}", "Content-Length: 9")
    with mock.patch.object(parsing, "BODY_TIMEOUT_S", 0.05):
        async with running_harness() as h:
            reader, writer = await h.connect()
            writer.write(head + b"\r\n\r\n{")
            status, _, body = await read_response(reader)
            assert (status, json.loads(body)["code"]) == (408, "TK-1014")
            writer.close()


async def test_connection_without_a_request_is_closed():
    with mock.patch.object(http_protocol, "HEADER_TIMEOUT_S", 0.05):
        async with running_harness() as h:
            for start in (b"", raw_head("X-Slow: 1")):
                reader, writer = await h.connect()
                writer.write(start)
                assert await reader.read() == b""
                writer.close()
            # The timeout ends with the headers: a body may arrive later than that.
            body = json.dumps(chat()).encode()
            reader, writer = await h.connect()
            authorization = f"Authorization: Bearer {EXAMPLE_KEY}"
            length = f"Content-Length: {len(body)}"
            writer.write(raw_head(authorization, length) + b"\r\n\r\n")
            await asyncio.sleep(0.15)
            writer.write(body)
            status, _, _ = await read_response(reader)
            assert status == 200
            writer.close()


async def test_content_in_parts_is_the_same_prompt():
    parts = [{"type": "text", "text": "Hel"}, {"type": "text", "text": "lo"}]
    async with running_harness() as h:
        for content in ("Hello", parts):
            async with h.post(chat(content, max_completion_tokens=5)) as response:
                assert response.status == 200
    first, second = h.handler.requests
    assert first.prompt == second.prompt == "<|user|>Hello\n"
    assert first.fingerprint == second.fingerprint
    assert second.max_tokens == 5


async def test_long_prompt_gets_the_same_hashes_as_a_short_one():
    text = "é" * 12_000
    with mock.patch.object(cooperative, "MAX_UNPAUSED_SIZE", 10):
        async with running_harness() as h:
            async with h.post(chat(text)) as response:
                assert response.status == 200
    (request,) = h.handler.requests
    prompt = f"<|user|>{text}\n"
    account = "agency-1"
    assert request.fingerprint == parsing.fingerprint(account, MODEL, prompt)
    blocks = parsing.block_hashes(account, prompt, parsing.MAX_AFFINITY_BLOCKS)
    assert request.blocks == blocks
    assert len(blocks) == 11


async def test_deadline_counts_from_the_headers():
    async with running_harness() as h:
        async with h.post(chat(), **{"X-Deadline-Ms": "1500"}) as response:
            assert response.status == 200
        (request,) = h.handler.requests
        assert request.deadline_s == h.clock.monotonic() + 1.5


async def test_stream_ends_with_usage_and_done():
    async with running_harness() as h:
        body = chat(stream=True, stream_options={"include_usage": True})
        async with h.post(body, **{"X-Request-Id": "r-1"}) as response:
            assert response.content_type == "text/event-stream"
            assert response.headers["X-Request-Id"] == "r-1"
            events = (await response.text()).split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    documents = [json.loads(event.removeprefix("data: ")) for event in events[:-2]]
    deltas = [d["choices"][0]["delta"] for d in documents[:-1]]
    assert deltas == [
        {"role": "assistant", "content": ' "one"'},
        {"content": " two\n"},
        {},
    ]
    assert documents[-2]["choices"][0]["finish_reason"] == "stop"
    assert documents[-1]["usage"]["completion_tokens"] == 2
    assert {d["id"] for d in documents} == {"r-1"}


async def test_stream_that_fails_ends_with_an_error_event_and_without_done():
    async def fails_after_first_token(request):
        yield TokenChunk("a", 0, "x")
        raise TanagerkeelError(ResultCode.STREAM_BROKEN, "engine", Ran.UNKNOWN)

    async def raises_unexpectedly(request):
        yield TokenChunk("a", 0, "x")
        raise ZeroDivisionError

    async def stops_without_end(request):
        yield TokenChunk("a", 0, "x")

    cases = (
        (fails_after_first_token, "TK-3003"),
        (raises_unexpectedly, "TK-9001"),
        (stops_without_end, "TK-9001"),
    )
    for answer_function, code in cases:
        async with running_harness(answer_function) as h:
            async with h.post(chat(stream=True)) as response:
                text = await response.text()
            assert "[DONE]" not in text
            last = text.strip().split("\n\n")[-1]
            assert last.startswith("event: error\ndata: ")
            problem = json.loads(last.removeprefix("event: error\ndata: "))
            assert (problem["code"], problem["ran"]) == (code, "unknown")
            async with h.post(chat()) as response:
                document = json.loads(await response.read())
            assert document["code"] == code
            await until(lambda h=h: h.handler.closed_answers == 2)


async def test_refusal_has_a_retry_after_header():
    async def overloaded(request):
        raise TanagerkeelError(ResultCode.OVERLOADED, retry_after_s=1.2)
        yield

    async with running_harness(overloaded) as h:
        for stream in (False, True):
            async with h.post(chat(stream=stream)) as response:
                await assert_problem(response, "TK-2003", 503)
                assert response.headers["Retry-After"] == "2"


async def test_caller_that_stops_reading_pauses_the_answer_until_its_deadline():
    sent = 0

    async def flood(request):
        nonlocal sent
        while True:
            sent += 1
            yield TokenChunk("a", sent - 1, "x" * 10_000)

    async with running_harness(flood) as h:
        reader, writer = await h.connect()
        body = json.dumps(chat(stream=True)).encode()
        head = raw_head(
            f"Authorization: Bearer {EXAMPLE_KEY}",
            "X-Deadline-Ms: 5000",
            f"Content-Length: {len(body)}",
        )
        writer.write(head + b"\r\n\r\n" + body)
        before = -1
        while sent != before or not sent:
            before = sent
            await asyncio.sleep(0.1)
        # Only what the socket buffers of both sides hold has been sent.
        assert sent < 3_000
        assert h.handler.closed_answers == 0
        h.clock.advance(6.1)
        await until(lambda: h.handler.closed_answers == 1)
        received = b""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(1_000_000):
                received = received[-100:] + part
        assert b"[DONE]" not in received
        writer.close()


async def test_caller_that_goes_away_frees_the_engine():
    slow = EngineProfile(decode_rate=1.0)
    for stream in (True, False):
        async with running_system(engine_count=1, profile=slow) as system:
            (engine,) = system.engines
            url = system.url(CHAT_PATH)
            body = chat(max_tokens=500, stream=stream)
            pending = asyncio.create_task(
                system.client.post(url, json=body).__aenter__()
            )
            await until(lambda e=engine: e.running == 1)
            assert engine.memory.used_tokens > 500
            if stream:
                (await pending).close()
            else:
                pending.cancel()
            await until(lambda e=engine: e.running == 0)
            assert engine.memory.used_tokens == 0


async def test_plain_service_passes_through():
    async with running_harness() as h:
        path = "/v1/services/booking/reserve"
        headers = {"Idempotency-Key": "k-1", "X-Request-Id": "r-1"}
        async with h.post(b"\x00\xff", path, **headers) as response:
            assert response.status == 201
            assert await response.read() == b"\x00\xff"
            assert response.headers["X-Request-Id"] == "r-1"
        async with h.post(b"x" * (MAX_BODY_BYTES + 1), path, **headers) as response:
            await assert_problem(response, "TK-1006", 413)
        url = f"http://{h.address}/v1/models"
        async with h.client.get(url) as response:
            assert (await response.json())["data"] == [{"id": MODEL, "object": "model"}]
    (request,) = h.handler.requests
    assert request.idempotency_key == "k-1"


async def test_idle_servers_wake_the_event_loop_ten_times_a_second():
    async def app(scope, receive, send):
        raise AssertionError("no request was sent")

    loop = asyncio.get_running_loop()
    server = HttpServer(app, "127.0.0.1", 0)
    await server.start()
    try:
        await asyncio.sleep(0.05)
        with mock.patch.object(loop, "call_at", wraps=loop.call_at) as timers:
            await asyncio.sleep(0.6)
        # The only timer is that of the wait itself.
        assert timers.call_count == 1
    finally:
        await server.stop()


def load_tests(loader, tests, pattern):
    return collect(globals())
