"""The demonstration: prompts, a booking, an engine crash, and a table of results."""

import asyncio
import http
import json
import time
import uuid
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs
import typer

from tanagerkeel.cli._demo_system import (
    ENGINE_NAMES,
    LOOPBACK_HOST,
    DemoPorts,
    DemoSystem,
)
from tanagerkeel.standins import EngineStandIn, answer_text
from tanagerkeel.standins._example import EXAMPLE_KEY, EXAMPLE_MODEL

__all__ = ["run_demo"]

SHORT_PROMPT = "When is the next oath date in Cebu?"
LONG_PROMPT = (
    "Summarise this petition. " + "The applicant states that she lives here. " * 2_000
)
# Longer than the memory of one engine, ENGINE_MEMORY_TOKENS.
MULTI_ENGINE_PROMPT = (
    "Review this dossier. " + "Exhibit: a letter of support. " * 13_000
)
MAX_SHOWN_CHARACTERS = 24
CONCURRENT_REQUESTS = 6
CRASH_AFTER_TOKENS = 10
REPEAT_DELAY_S = 0.5
DONE_DATA = "[DONE]"
format_prompt = "<|user|>{}\n".format


@attrs.define
class DemoResult:
    """
    Result of one request.

    :param title: description of the request in the table.
    :param request_id: sent in ``X-Request-Id``, to look up the explanation by.
    :param status: HTTP status.
    :param text: the answer or confirmation; empty when the request was refused.
    :param outcome: description of the outcome in the table.
    :param as_expected: whether the outcome and the answer are the expected ones.
    :param first_token_ms: time to the first token, in milliseconds.
    :param total_ms: time to the end of the answer, in milliseconds.
    """

    title: str
    request_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    status: int = 0
    text: str = ""
    outcome: str = ""
    as_expected: bool = False
    first_token_ms: float = 0.0
    total_ms: float = 0.0


@attrs.frozen
class _DemoCaller:
    """Sends requests to the demonstration system and checks the answers."""

    system: DemoSystem
    client: aiohttp.ClientSession

    async def send_prompt(
        self,
        title: str,
        content: str,
        max_tokens: int = 16,
        on_token: Callable[[int], None] = lambda _: None,
    ) -> DemoResult:
        result = DemoResult(title)
        started = time.perf_counter()
        body = {
            "model": EXAMPLE_MODEL,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": content}],
        }
        url = f"http://{self.system.node.callers_address}/v1/chat/completions"
        headers = {"X-Request-Id": result.request_id}
        async with self.client.post(url, json=body, headers=headers) as response:
            result.status = response.status
            if response.status != http.HTTPStatus.OK:
                problem = json.loads(await response.read())
                result.outcome = _describe_problem(problem)
                return result
            count = 0
            async for data in _events(response):
                if data == DONE_DATA:
                    result.outcome = "whole"
                elif text := _token_text(data):
                    count += 1
                    result.first_token_ms = result.first_token_ms or _elapsed_ms(
                        started
                    )
                    result.text += text
                    on_token(count)
        result.total_ms = _elapsed_ms(started)
        expected = answer_text(format_prompt(content), max_tokens)
        result.as_expected = result.outcome == "whole" and result.text == expected
        if not result.as_expected:
            result.outcome = result.outcome.replace("whole", "wrong") or "broken off"
        return result

    async def send_booking(self, title: str) -> DemoResult:
        result = DemoResult(title)
        started = time.perf_counter()
        address = self.system.node.callers_address
        url = f"http://{address}/v1/services/booking/reserve"
        headers = {"Idempotency-Key": "seat-12"}
        async with self.client.post(url, data=b"seat 12", headers=headers) as response:
            result.status = response.status
            document = json.loads(await response.read())
        result.total_ms = _elapsed_ms(started)
        if result.status != http.HTTPStatus.OK:
            result.outcome = _describe_problem(document)
            return result
        runs = self.system.service.executions_by_body[b"seat 12"]
        result.text = f"confirmation {document['confirmation']}"
        result.as_expected = runs == 1
        result.outcome = f"ran {runs} time{'' if runs == 1 else 's'}"
        return result


async def run_demo() -> bool:
    """
    Run the demonstration and print the results.

    :returns: whether every request had the expected result.
    """
    async with (
        DemoSystem.running(LOOPBACK_HOST, DemoPorts()) as system,
        aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {EXAMPLE_KEY}"}
        ) as client,
    ):
        typer.echo("3 engines (engine-2 is cold), a booking service, the platform,")
        typer.echo("and an entry node run in this process.\n")
        results = []
        async for result in _run_requests(_DemoCaller(system, client)):
            _print_result(result)
            results.append(result)
        _print_engines(system)
        await _print_explanation(system, client, results[-1])
    unexpected = [result.title for result in results if not result.as_expected]
    typer.echo(
        f"\n{len(results) - len(unexpected)} of {len(results)} requests had the "
        "expected result."
    )
    for title in unexpected:
        typer.echo(f"unexpected result: {title}")
    return not unexpected


async def _run_requests(caller: _DemoCaller) -> AsyncIterator[DemoResult]:
    typer.echo(
        f"{'request':<34}{'HTTP':>5}{'first ms':>10}{'all ms':>8}"
        f"  {'outcome':<22}answer"
    )
    yield await caller.send_prompt("short prompt", SHORT_PROMPT)
    yield await caller.send_prompt("long prompt, 21,000 tokens", LONG_PROMPT)
    yield await caller.send_prompt(
        "97,000 tokens, engines hold 60,000", MULTI_ENGINE_PROMPT
    )
    concurrent = (
        caller.send_prompt(
            f"one of {CONCURRENT_REQUESTS} at once, one engine cold",
            f"{SHORT_PROMPT} {number}",
        )
        for number in range(CONCURRENT_REQUESTS)
    )
    for result in await asyncio.gather(*concurrent):
        yield result
    yield await caller.send_booking("booking, seat 12")
    await asyncio.sleep(REPEAT_DELAY_S)
    yield await caller.send_booking("the same again, same key")
    yield await caller.send_prompt(
        "its engine dies after 10 tokens",
        SHORT_PROMPT,
        max_tokens=40,
        on_token=lambda count: _crash_busiest_engine(caller.system, count),
    )


def _crash_busiest_engine(system: DemoSystem, count: int) -> None:
    if count == CRASH_AFTER_TOKENS:
        busiest: EngineStandIn = max(system.engines, key=lambda e: e.running)
        busiest.crash()


def _print_result(result: DemoResult) -> None:
    shown = result.text.strip()
    if len(shown) > MAX_SHOWN_CHARACTERS:
        shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
    typer.echo(
        f"{result.title:<34}{result.status:>5}{result.first_token_ms:>10.0f}"
        f"{result.total_ms:>8.0f}  {result.outcome:<22}{shown}"
    )


def _print_engines(system: DemoSystem) -> None:
    typer.echo(
        f"\n{'engine':<12}{'prefilled':>10}{'from cache':>12}{'crashes':>9}"
        f"{'warm':>6}{'memory held':>13}"
    )
    for name, engine in zip(ENGINE_NAMES, system.engines, strict=True):
        typer.echo(
            f"{name:<12}{engine.prefilled_tokens:>10}{engine.cache.hit_tokens:>12}"
            f"{engine.crashes:>9}{engine.warmth.level:>6.0%}{engine.memory.used_tokens:>13}"
        )


async def _print_explanation(
    system: DemoSystem, client: aiohttp.ClientSession, result: DemoResult
) -> None:
    address = system.node.operators_address
    async with client.get(f"http://{address}/explain/{result.request_id}") as response:
        text = await response.text()
    typer.echo(
        f"\nThe node's explanation of the last request ({result.title}):\n{text}"
    )


async def _events(response: aiohttp.ClientResponse) -> AsyncIterator[str]:
    async for line in response.content:
        if line.startswith(b"data: "):
            yield line.removeprefix(b"data: ").decode().strip()


def _token_text(data: str) -> str:
    choices = json.loads(data).get("choices")
    return choices[0]["delta"].get("content", "") if choices else ""


def _describe_problem(problem: dict[str, object]) -> str:
    return f"{problem['code']} ran: {problem['ran']}"


def _elapsed_ms(started: float) -> float:
    return (time.perf_counter() - started) * 1_000
