"""Configurations: validation, text form, and submission when replies are lost."""

import asyncio
import contextlib

import aiohttp
import attrs

from tanagerkeel.cli._submission import Submitter
from tanagerkeel.clock import SystemClock
from tanagerkeel.configuration import (
    Catalog,
    ConfigurationHolder,
    FailureDomain,
    Market,
    decode_document,
    diff,
    encode_document,
    normalise,
    parse,
    render,
    validate,
)
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.platform import HttpPlatformGateway
from tanagerkeel.standins import PlatformStandIn
from tanagerkeel.standins._example import EXAMPLE_KEY, example_configuration
from tanagerkeel.standins._faults import PlatformFaults
from tests.fixtures import serving
from tests.support import collect

VALID = example_configuration(["127.0.0.1:9001", "127.0.0.1:9002"])


def _with_market(configuration, name):
    markets = (*configuration.markets, Market(name, "region-1"))
    return attrs.evolve(configuration, markets=markets)


@contextlib.asynccontextmanager
async def _two_operators():
    platform = PlatformStandIn()
    async with (
        serving(platform.app()) as address,
        aiohttp.ClientSession() as session,
    ):
        gateway = HttpPlatformGateway(session, address)
        operators = [Submitter(gateway, SystemClock(), timeout_s=5) for _ in range(2)]
        yield platform, *operators


def test_every_violation_has_its_path():
    account, server = VALID.client_accounts[0], VALID.backend_servers[0]
    broken = attrs.evolve(
        VALID,
        client_accounts=(
            attrs.evolve(account, market="nowhere", weight=float("nan")),
            attrs.evolve(account, name="Agency 2", models=("unheard-of",)),
        ),
        backend_servers=(
            attrs.evolve(server, address="host:80", failure_domain="x", cold_limit=0),
            attrs.evolve(server, models=(), memory_tokens=0),
        ),
    )
    paths = {violation.path for violation in validate(broken)}
    assert paths >= {
        "client_accounts[0].market",
        "client_accounts[0].weight",
        "client_accounts[1].name",
        "client_accounts[1].models[0]",
        "client_accounts[0].key_digests[0]",
        "backend_servers[0].address",
        "backend_servers[0].failure_domain",
        "backend_servers[0].cold_limit",
        "backend_servers[0].name",
        "backend_servers[1].models",
        "backend_servers[1].memory_tokens",
    }
    assert validate(VALID) == ()


def test_rendered_text_does_not_depend_on_item_order():
    servers = tuple(reversed(VALID.backend_servers))
    reordered = attrs.evolve(VALID, backend_servers=servers)
    assert render(reordered) == render(VALID)
    assert diff(reordered, VALID) == ()
    assert parse(render(VALID)) == VALID


def test_diff_lists_added_removed_and_changed_values():
    changed = _with_market(VALID, "galas")
    domain = attrs.evolve(changed.failure_domains[0], out=True)
    changed = attrs.evolve(
        changed, failure_domains=(domain, FailureDomain("new", "r")), models=()
    )
    assert [str(d) for d in diff(VALID, changed)] == [
        "+ markets/galas",
        "- models/petition-summary",
        "~ failure_domains/cebu-1/out: false -> true",
        "+ failure_domains/new",
    ]


def test_bearer_key_is_looked_up_by_its_digest():
    catalog = Catalog(1, VALID)
    assert catalog.account_of_key(EXAMPLE_KEY).name == "agency-1"
    assert catalog.account_of_key("another") is None
    assert EXAMPLE_KEY not in render(VALID)


def test_holder_never_goes_back():
    holder = ConfigurationHolder()
    changes = holder.subscribe()
    assert holder.adopt(7, VALID)
    assert not holder.adopt(7, _with_market(VALID, "same"))
    assert not holder.adopt(3, _with_market(VALID, "older"))
    assert holder.adopt(9, _with_market(VALID, "newer"))
    assert holder.revision == 9
    # A slow subscriber gets only the newest configuration.
    assert changes.get_nowait().revision == 9
    assert changes.empty()


async def test_of_two_operators_at_once_one_wins_and_the_other_is_told():
    async with _two_operators() as (_, first, second):
        await first.submit(VALID)
        outcomes = await asyncio.gather(
            first.submit(_with_market(VALID, "one"), 1),
            second.submit(_with_market(VALID, "two"), 1),
            return_exceptions=True,
        )
        errors = [o for o in outcomes if isinstance(o, TanagerkeelError)]
        assert len(errors) == 1
        assert errors[0].result is ResultCode.CONFIGURATION_CONFLICT
        _, accepted = await first.current()
        winners = {m.name for m in accepted.markets} & {"one", "two"}
        assert len(winners) == 1


async def test_lost_reply_is_resolved_by_reading_back():
    async with _two_operators() as (platform, first, _):
        await first.submit(VALID)
        await platform.set_faults(PlatformFaults(lost_replies=1))
        accepted = await first.submit(_with_market(VALID, "lost"))
        assert not accepted.superseded
        revision, configuration = await first.current()
        assert revision == accepted.revision
        # The stored document is sorted by item name.
        assert {m.name for m in configuration.markets} == {"lost", "oath-ceremonies"}
        assert platform.calls["put"] == 3


async def test_superseded_submission_with_a_lost_reply_is_reported_as_accepted():
    """The later document's history shows that the first submission took effect."""
    async with _two_operators() as (platform, first, second):
        await first.submit(VALID)
        await platform.set_faults(PlatformFaults(lost_replies=1))
        first_submission = asyncio.create_task(
            first.submit(_with_market(VALID, "lost"))
        )
        while platform.faults.lost_replies:
            await asyncio.sleep(0.001)
        later = await second.submit(_with_market(VALID, "later"))
        accepted = await first_submission
        assert accepted.superseded
        assert accepted.revision == later.revision


async def test_concurrent_edits_are_all_kept():
    async with _two_operators() as (_, first, second):
        await first.submit(VALID)
        await asyncio.gather(
            first.edit(lambda c: _with_market(c, "one")),
            second.edit(lambda c: _with_market(c, "two")),
        )
        _, accepted = await first.current()
        names = {market.name for market in accepted.markets}
        assert names >= {"one", "two"}


async def test_outage_is_reported_as_unavailable_not_as_unknown():
    async with aiohttp.ClientSession() as session:
        gateway = HttpPlatformGateway(session, "127.0.0.1:1")
        submitter = Submitter(gateway, SystemClock(), timeout_s=0)
        try:
            await submitter.submit(VALID)
        except TanagerkeelError as error:
            assert error.result is ResultCode.PLATFORM_UNAVAILABLE
        else:
            raise AssertionError("submission was accepted without a platform")


def test_largest_document_survives_encoding():
    account, server = VALID.client_accounts[0], VALID.backend_servers[0]
    accounts = tuple(
        attrs.evolve(account, name=f"account-{n}", key_digests=(f"{n:064x}",))
        for n in range(940)
    )
    servers = tuple(
        attrs.evolve(server, name=f"e-{n}", address=f"10.0.{n // 250}.{n % 250}:80")
        for n in range(1_000)
    )
    large = attrs.evolve(VALID, client_accounts=accounts, backend_servers=servers)
    assert validate(large) == ()
    assert decode_document(encode_document(large)) == normalise(large)


def load_tests(loader, tests, pattern):
    return collect(globals())
