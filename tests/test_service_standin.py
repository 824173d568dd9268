"""Tests of the stand-in plain service and of how the gateway reports failures."""

import contextlib

import aiohttp
import attrs

from tanagerkeel.gateways.engines import BackendFailed, BackendRefused
from tanagerkeel.gateways.services import HttpServiceGateway, ServiceCall
from tanagerkeel.standins import ServiceFaults, ServiceStandIn
from tests.fixtures import serving_standin
from tests.support import collect

CALL = ServiceCall(
    attempt_id="a-1",
    request_id="r-1",
    operation="reserve",
    body=b"seat 12",
    content_type="text/plain",
    idempotency_key="k-1",
    remaining_ms=5_000,
)


@contextlib.asynccontextmanager
async def serving(faults=ServiceFaults()):  # noqa: B008 - the default is frozen
    service = ServiceStandIn(faults=faults)
    async with (
        serving_standin(service) as address,
        aiohttp.ClientSession() as client,
    ):
        yield service, HttpServiceGateway(client), address


async def expect_failure(awaitable):
    try:
        await awaitable
    except (BackendFailed, BackendRefused) as error:
        return error
    raise AssertionError("no failure")


async def test_each_call_is_executed_unless_the_service_deduplicates():
    async with serving() as (service, gateway, address):
        await gateway.call(address, CALL)
        reply = await gateway.call(address, attrs.evolve(CALL, attempt_id="a-2"))
        assert reply.status == 200
        assert service.executions_by_key["k-1"] == 2
        assert service.executions_by_body[b"seat 12"] == 2
        await service.set_faults(ServiceFaults(deduplicates=True))
        again = await gateway.call(address, attrs.evolve(CALL, attempt_id="a-3"))
        assert again == reply
        assert service.executions_by_key["k-1"] == 2


async def test_lost_reply_ran_and_is_reported_as_sent():
    async with serving(ServiceFaults(lost_replies=1)) as (service, gateway, address):
        error = await expect_failure(gateway.call(address, CALL))
        assert isinstance(error, BackendFailed)
        assert error.sent
        assert service.executions_by_key["k-1"] == 1


async def test_refusal_did_not_run():
    async with serving(ServiceFaults(refusals=1)) as (service, gateway, address):
        error = await expect_failure(gateway.call(address, CALL))
        assert isinstance(error, BackendRefused)
        assert error.reason == "overloaded"
        assert service.executions_by_key["k-1"] == 0


async def test_reply_with_another_attempts_id_is_a_failure():
    async with serving(ServiceFaults(crossed_replies=1)) as (_, gateway, address):
        error = await expect_failure(gateway.call(address, CALL))
        assert isinstance(error, BackendFailed)
        assert error.sent


async def test_refusal_with_another_attempts_id_is_not_taken_as_not_run():
    faults = ServiceFaults(refusals=1, crossed_replies=1)
    async with serving(faults) as (_, gateway, address):
        error = await expect_failure(gateway.call(address, CALL))
        assert isinstance(error, BackendFailed)
        assert error.sent


async def test_call_to_a_crashed_service_is_reported_as_not_sent():
    async with serving() as (service, gateway, address):
        await gateway.call(address, CALL)
        await service.crash()
        error = await expect_failure(gateway.call(address, CALL))
        assert isinstance(error, BackendFailed)
        assert not error.sent
        await service.restart()
        assert (await gateway.call(address, CALL)).status == 200
        assert service.executions_by_key["k-1"] == 2


def load_tests(loader, tests, pattern):
    return collect(globals())
