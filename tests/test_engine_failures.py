"""Failures between an engine and its gateway: crashes, wrong and lost chunks."""

import asyncio

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.gateways.engines import BackendFailed, HttpEngineGateway
from tanagerkeel.requests import StreamMismatch
from tanagerkeel.standins import EngineFaults, answer_text
from tests.fixtures import serving, until
from tests.fixtures_engines import FAST_ENGINE, make_call, receive, running_engines
from tests.support import collect

PROMPT = make_call().prompt


async def test_resume_after_a_crash_neither_repeats_nor_loses_a_token():
    for after in (0, 1, 3, 8):
        async with running_engines(FAST_ENGINE, FAST_ENGINE) as e:
            await e.engine.set_faults(EngineFaults(crash_after_tokens=after))
            broken = await e.receive(make_call())
            assert isinstance(broken.failure, BackendFailed), after
            assert broken.failure.sent
            assert broken.tokens == after
            resumed = make_call(
                attempt_id="a-2", resume_tokens=after, resume_text=broken.text
            )
            rest = await e.receive(resumed, index=1)
            assert rest.failure is None
            assert broken.text + rest.text == answer_text(PROMPT, 8)
            assert e.engine.memory.used_tokens == 0


async def test_resume_with_a_different_text_is_refused():
    async with running_engines() as e:
        call = make_call(resume_tokens=2, resume_text=" 1 2")
        assert isinstance((await e.receive(call)).failure, BackendFailed)


async def test_crash_after_the_last_token_leaves_the_answer_whole():
    async with running_engines() as e:
        await e.engine.set_faults(EngineFaults(crash_after_last=True))
        received = await e.receive(make_call())
        assert received.failure is None
        assert received.text == answer_text(PROMPT, 8)
        await until(lambda: e.engine.crashes == 1 and not e.engine.down)


async def test_poison_prompt_crashes_the_engine_and_the_streams_on_it():
    slow = attrs.evolve(FAST_ENGINE, decode_rate=0.1)
    async with running_engines(slow) as e:
        await e.engine.set_faults(EngineFaults(poison_marker="\u2620"))
        concurrent = e.gateway.generate(e.address, make_call())
        await anext(concurrent)
        for crashes in (1, 2):
            poison = make_call("so \u2620 it is", attempt_id=f"p-{crashes}")
            assert isinstance((await e.receive(poison)).failure, BackendFailed)
            assert e.engine.crashes == crashes
            await until(lambda: not e.engine.down)
        try:
            await anext(concurrent)
        except BackendFailed:
            return
        raise AssertionError("the concurrent stream survived the crash")


async def test_crashed_engine_refuses_connections_and_restarts_on_its_port():
    slow_restart = attrs.evolve(FAST_ENGINE, restart_s=0.3)
    async with running_engines(slow_restart) as e:
        e.engine.crash()
        # There is no pooled connection, so a refused request certainly wasn't sent.
        received = await e.receive(make_call())
        assert isinstance(received.failure, BackendFailed)
        assert not received.failure.sent
        await until(lambda: not e.engine.down)
        assert (await e.receive(make_call())).failure is None


async def test_closed_pooled_connection_is_not_told_as_not_sent():
    """
    A request on a pooled connection that the server closes may have been sent.

    The server here closes the connection after it has received the second request.
    """
    seen = []

    async def on_connection(reader, writer):
        while data := await reader.read(65_536):
            seen.append(data)
            if len(seen) > 1:
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server, aiohttp.ClientSession() as client:
        gateway = HttpEngineGateway(client)
        address = f"{host}:{port}"
        await receive(gateway, address, make_call())
        broken = await receive(gateway, address, make_call())
    assert len(seen) == 2
    assert isinstance(broken.failure, BackendFailed)
    assert broken.failure.sent


async def test_wrong_streams_are_never_whole():
    for fault in ("crossed_answers", "gaps", "repeats", "cut_short"):
        async with running_engines() as e:
            await e.engine.set_faults(EngineFaults(**{fault: 1}))
            received = await e.receive(make_call())
            assert isinstance(received.failure, StreamMismatch), fault
            assert answer_text(PROMPT, 8).startswith(received.text)
            assert (await e.receive(make_call(attempt_id="a-2"))).failure is None


async def test_late_chunks_and_a_pause_only_delay():
    async with running_engines() as e:
        faults = EngineFaults(late_ms=5, pause_ms=100, prefill_factor=3.0)
        await e.engine.set_faults(faults)
        started = e.engine.clock.monotonic()
        received = await e.receive(make_call())
        assert received.text == answer_text(PROMPT, 8)
        assert e.engine.clock.monotonic() - started >= 0.1


async def test_malformed_lines_are_failures():
    lines = (
        b"not json\n",
        b'T{"attempt_id":"a-1","index":0}\n',
        b'T{"attempt_id":"a-1","index":0,"text":"x"}',
        b"T" + b"x" * 10_000_000 + b"\n",
        b"\xff\n",
        b"\n",
    )
    for line in lines:

        async def application(scope, receive_event, send, line=line):
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": line})

        async with serving(application) as address, aiohttp.ClientSession() as client:
            received = await receive(HttpEngineGateway(client), address, make_call())
        assert isinstance(received.failure, BackendFailed), line[:20]


async def test_trace_context_is_passed_on():
    traceparent = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"
    seen = []

    async def application(scope, receive_event, send):
        seen.append(dict(scope["headers"]).get(b"traceparent"))
        await send({"type": "http.response.start", "status": 503, "headers": []})
        await send({"type": "http.response.body", "body": b"overloaded"})

    async with serving(application) as address, aiohttp.ClientSession() as client:
        gateway = HttpEngineGateway(client)
        for call in (make_call(traceparent=traceparent), make_call()):
            refused = await receive(gateway, address, call)
            assert refused.failure.reason == "overloaded"
    assert seen == [traceparent.encode(), None]


async def test_call_past_its_deadline_is_not_sent():
    async with running_engines() as e:
        received = await e.receive(make_call(remaining_ms=0))
        assert isinstance(received.failure, BackendFailed)
        assert not received.failure.sent
        assert e.engine.prefilled_tokens == 0


async def test_faults_are_set_over_http():
    async with running_engines() as e:
        url = f"http://{e.address}/faults"
        faults = EngineFaults(crash_after_tokens=2)
        async with e.client.put(url, data=codec.encode(faults)) as response:
            assert response.status == 200
        async with e.client.get(url) as response:
            assert codec.decode(await response.read(), EngineFaults) == faults
        assert (await e.receive(make_call())).tokens == 2


def load_tests(loader, tests, pattern):
    return collect(globals())
