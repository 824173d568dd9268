"""Keys, prompts and requests are not disclosed to logs or other client accounts."""

import contextlib
import json

import attrs
import eliot

from tanagerkeel import codec
from tanagerkeel.configuration import ClientAccount, hash_key, service_pool
from tanagerkeel.standins import ServiceStandIn
from tanagerkeel.standins._example import EXAMPLE_KEY
from tests.fixtures import running_system, serving_standin, until
from tests.support import collect

SECRET_PROMPT = "the family name is Villanueva-Ocampo"
OTHER_KEY = "key-of-a-rival"


@contextlib.contextmanager
def _captured_log():
    lines = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def _body():
    messages = [{"role": "user", "content": SECRET_PROMPT}]
    return {"model": "petition-summary", "messages": messages, "max_tokens": 3}


async def _add_other_account(system, *service_addresses):
    configuration = system.node.catalog().configuration
    other = ClientAccount(
        "rival", "oath-ceremonies", (hash_key(OTHER_KEY),), services=("booking",)
    )
    (domain,), (service,) = configuration.failure_domains, configuration.services
    document = attrs.evolve(
        configuration,
        client_accounts=(*configuration.client_accounts, other),
        backend_servers=(
            *configuration.backend_servers,
            *service_pool("booking", domain, service_addresses, service),
        ),
    )
    await system.platform.put("configuration", codec.encode(document))
    await until(lambda: "rival" in system.node.catalog().accounts)


async def test_no_key_or_prompt_in_logs_traces_metrics_or_explanations():
    with _captured_log() as lines:
        async with running_system(trace_log=True) as system:
            url = system.url("/v1/chat/completions")
            headers = {"X-Request-Id": "r-1"}
            async with system.client.post(url, json=_body(), headers=headers) as reply:
                assert reply.status == 200
                answer = (await reply.json())["choices"][0]["message"]["content"]
            wrong = {"Authorization": "Bearer wrong-key-9137"}
            async with system.client.post(url, json=_body(), headers=wrong) as reply:
                assert reply.status == 401
            explanation = system.node.explain("r-1")
            metrics = system.node.metrics().decode()
    logged = json.dumps(lines, default=repr)
    assert "span_ended" in logged
    for text in (logged, explanation, metrics):
        for secret in (EXAMPLE_KEY, "wrong-key-9137", SECRET_PROMPT, answer):
            assert secret not in text


async def test_account_without_the_model_cannot_tell_that_it_exists():
    async with running_system() as system:
        await _add_other_account(system)
        url = system.url("/v1/chat/completions")
        headers = {"Authorization": f"Bearer {OTHER_KEY}"}
        problems = []
        for model in ("petition-summary", "no-such-model"):
            body = _body() | {"model": model}
            async with system.client.post(url, json=body, headers=headers) as reply:
                problem = json.loads(await reply.text())
            problems.append((reply.status, problem["code"], problem["detail"]))
        async with system.client.get(
            system.url("/v1/models"), headers=headers
        ) as reply:
            listed = (await reply.json())["data"]
    assert problems[0] == problems[1]
    assert listed == []


async def test_idempotency_keys_of_different_accounts_are_separate():
    service = ServiceStandIn()
    async with running_system() as system, serving_standin(service) as address:
        await _add_other_account(system, address)
        url = system.url("/v1/services/booking/reserve")
        answers = []
        for key in (EXAMPLE_KEY, OTHER_KEY):
            headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "seat-12"}
            async with system.client.post(url, data=b"12", headers=headers) as reply:
                answers.append((reply.status, await reply.read()))
    assert [status for status, _ in answers] == [200, 200]
    # Each account's call ran; neither got the stored response of the other.
    assert answers[0] != answers[1]
    assert service.executions_by_body == {b"12": 2}
    assert len(service.executions_by_key) == 2


async def test_operators_paths_are_not_served_on_the_callers_port():
    async with running_system() as system:
        for path in ("/metrics", "/status", "/explain/r-1", "/livez", "/readyz"):
            async with system.client.get(system.url(path)) as reply:
                assert reply.status == 404, path


def load_tests(loader, tests, pattern):
    return collect(globals())
