"""Model requests over HTTP, from the caller to one engine stand-in and back."""

import json

from tanagerkeel.standins import answer_text
from tests.fixtures import running_system
from tests.support import collect

PROMPT = "When is the next oath date?"
MODEL = "petition-summary"


def _request_body(**fields):
    messages = [{"role": "user", "content": PROMPT}]
    return {"model": MODEL, "messages": messages, "max_tokens": 8} | fields


def _expected_answer() -> str:
    return answer_text(f"<|user|>{PROMPT}\n", 8)


async def test_whole_answer():
    async with running_system() as system:
        url = system.url("/v1/chat/completions")
        async with system.client.post(url, json=_request_body()) as response:
            assert response.status == 200
            answer = await response.json()
    assert answer["choices"][0]["message"]["content"] == _expected_answer()
    assert answer["usage"]["completion_tokens"] == 8


async def test_streamed_answer():
    async with running_system() as system:
        url = system.url("/v1/chat/completions")
        async with system.client.post(url, json=_request_body(stream=True)) as response:
            assert response.status == 200
            events = (await response.text()).strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
    texts = [chunk["choices"][0]["delta"].get("content", "") for chunk in chunks]
    assert "".join(texts) == _expected_answer()


async def test_unknown_key_is_refused_as_not_run():
    async with running_system() as system:
        url = system.url("/v1/chat/completions")
        headers = {"Authorization": "Bearer wrong", "X-Request-Id": "r-1"}
        async with system.client.post(
            url, json=_request_body(), headers=headers
        ) as response:
            assert response.status == 401
            problem = json.loads(await response.text())
    assert problem["code"] == "TK-1002"
    assert problem["ran"] == "no"
    assert problem["request_id"] == "r-1"


async def test_malformed_body_names_the_path():
    async with running_system() as system:
        url = system.url("/v1/chat/completions")
        async with system.client.post(url, json={"model": 3}) as response:
            problem = json.loads(await response.text())
    assert problem["code"] == "TK-1001"
    assert "$.model" in problem["detail"]


def load_tests(loader, tests, pattern):
    return collect(globals())
