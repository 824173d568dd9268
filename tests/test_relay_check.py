"""Checks of a relay configuration: each finding, and differences without keys."""

import hashlib
import re

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.relay import (
    CallerAccount,
    CallerLimits,
    EngineProfile,
    RelayConfiguration,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from tanagerkeel.relay_check import (
    Added,
    Changed,
    Collection,
    KeysChanged,
    Level,
    Problem,
    Removed,
    compare,
    find_problems,
)
from tests.runner import ROOT
from tests.support import collect

CODE_ROW = re.compile(r"^\| `([a-z-]+)` \| (error|warning) \| (.+) \|$", re.M)
ENGINE = EngineProfile(slots=8, memory_tokens=200_000, mean_prompt_tokens=12_000)
LOOKUP = Route(
    name="lookup",
    host="api.example",
    prefix="/lookup/",
    kind=RouteKind.SAFE,
    services=(WeightedService("booking"),),
    timeout_ms=2_000,
    objective_ms=300,
    max_attempts=3,
)
CHAT = attrs.evolve(
    LOOKUP,
    name="chat",
    prefix="/chat/",
    kind=RouteKind.STREAM,
    services=(WeightedService("models"),),
    gap_objective_ms=250,
    resumable=True,
)
VALID = RelayConfiguration(
    version=7,
    routes=(LOOKUP, CHAT),
    services=(
        ServiceSpec("booking", "/health", 96),
        ServiceSpec("models", "/health", 96, 3.0, 36.0, ENGINE),
    ),
    accounts=(
        CallerAccount("acme", ("key-1", "key-2")),
        CallerAccount("bolt", ("key-3",), 9),
    ),
)


def _found(configuration, in_force=None):
    return [(f.problem, str(f.place)) for f in find_problems(configuration, in_force)]


def _with_route(**fields):
    """Return the valid configuration with another first route."""
    routes = (attrs.evolve(LOOKUP, **fields), CHAT)
    return attrs.evolve(VALID, routes=routes)


def _with_third_route(**fields):
    """Return the valid configuration with one route more."""
    return attrs.evolve(
        VALID, routes=(*VALID.routes, attrs.evolve(LOOKUP, name="third", **fields))
    )


def _with_split(*weights):
    names = ("booking", "models", "booking")
    return _with_route(services=tuple(map(WeightedService, names, weights)))


def _with_models(**fields):
    services = (VALID.services[0], attrs.evolve(VALID.services[1], **fields))
    return attrs.evolve(VALID, services=services)


def _with_account(**fields):
    accounts = (VALID.accounts[0], attrs.evolve(VALID.accounts[1], **fields))
    return attrs.evolve(VALID, accounts=accounts)


def _check_pair(problem, place, positive, negative):
    assert _found(positive) == [(problem, place)]
    assert _found(negative) == []


def test_a_valid_configuration_has_no_findings():
    assert _found(VALID) == []


def test_a_route_to_an_unknown_service_is_an_error():
    services = (WeightedService("booking"), WeightedService("nosuch"))
    assert _found(_with_route(services=services)) == [
        (Problem.UNKNOWN_SERVICE, "routes[0].service[1]")
    ]
    services = (WeightedService("booking"), WeightedService("models"))
    assert _found(_with_route(services=services)) == []


def test_names_are_unique_within_routes_services_and_accounts():
    assert _found(_with_route(name="chat")) == [
        (Problem.DUPLICATE_NAME, "routes[1].name")
    ]
    services = (*VALID.services, VALID.services[0])
    assert _found(attrs.evolve(VALID, services=services)) == [
        (Problem.DUPLICATE_NAME, "services[2].name")
    ]
    assert _found(_with_account(name="acme")) == [
        (Problem.DUPLICATE_NAME, "accounts[1].name")
    ]
    # One name may be used in several lists.
    assert _found(_with_account(name="chat")) == []


def test_of_two_routes_with_one_host_and_prefix_the_later_is_an_error():
    _check_pair(
        Problem.DUPLICATE_PREFIX,
        "routes[2].prefix",
        _with_third_route(host="API.example"),
        _with_third_route(host="other.example"),
    )
    # As the nodes decide: the earlier route gets the requests.
    chosen = _with_third_route(host="API.example").route_for("api.example", "/lookup/x")
    assert chosen.name == "lookup"


def test_a_longer_or_shorter_prefix_on_the_same_host_is_no_finding():
    for prefix in ("/", "/lookup/more/", "/Lookup/"):
        assert _found(_with_third_route(prefix=prefix)) == []


def test_a_prefix_without_a_slash_at_both_ends_is_an_error():
    for prefix in ("lookup/", "/lookup", ""):
        _check_pair(
            Problem.PREFIX_WITHOUT_SLASH,
            "routes[0].prefix",
            _with_route(prefix=prefix),
            _with_route(prefix="/"),
        )


def test_a_host_with_a_port_never_matches():
    positive = _with_route(host="api.example:80")
    _check_pair(
        Problem.HOST_WITH_PORT,
        "routes[0].host",
        positive,
        _with_route(host="API.Example"),
    )
    assert positive.route_for("api.example:80", "/lookup/x") is None


def test_a_split_without_a_positive_weight_is_an_error():
    _check_pair(
        Problem.NO_POSITIVE_WEIGHT,
        "routes[0].services",
        _with_split(0.0, 0.0),
        _with_split(1.0, 2.0),
    )
    assert (Problem.NO_POSITIVE_WEIGHT, "routes[0].services") in _found(_with_split())


def test_a_negative_or_infinite_weight_is_an_error():
    for weight in (-1.0, float("nan"), float("inf")):
        _check_pair(
            Problem.INVALID_WEIGHT,
            "routes[0].weight[1]",
            _with_split(1.0, weight),
            _with_split(1.0, 1e-9),
        )


def test_a_weight_of_zero_beside_others_is_a_warning():
    _check_pair(
        Problem.ZERO_WEIGHT,
        "routes[0].weight[1]",
        _with_split(1.0, 0.0),
        _with_split(1.0, 0.1),
    )


def test_a_version_not_above_the_one_in_force_is_an_error():
    for version in (7, 8):
        in_force = attrs.evolve(VALID, version=version)
        assert _found(VALID, in_force) == [(Problem.VERSION_NOT_ABOVE, "version")]
    assert _found(VALID, attrs.evolve(VALID, version=6)) == []
    assert _found(VALID) == []


def test_a_key_of_two_accounts_is_an_error_that_does_not_show_the_key():
    positive = _with_account(keys=("key-3", "key-2"))
    _check_pair(
        Problem.SHARED_KEY,
        "accounts[1].key[1]",
        positive,
        _with_account(keys=("key-3", "key-3")),
    )
    assert "key-2" not in find_problems(positive)[0].message


def test_an_account_without_keys_is_a_warning():
    for keys in ((), ("",)):
        _check_pair(
            Problem.ACCOUNT_WITHOUT_KEYS,
            "accounts[1].keys",
            _with_account(keys=keys),
            _with_account(keys=("key-3", "")),
        )


def test_a_service_that_no_route_names_is_a_warning():
    services = (*VALID.services, ServiceSpec("spare", "/health", 1))
    positive = attrs.evolve(VALID, services=services)
    assert _found(positive) == [(Problem.UNUSED_SERVICE, "services[2]")]
    route = attrs.evolve(
        LOOKUP, services=(WeightedService("booking"), WeightedService("spare"))
    )
    assert _found(attrs.evolve(positive, routes=(route, CHAT))) == []


def test_objectives_above_the_timeout_are_warnings():
    _check_pair(
        Problem.OBJECTIVE_ABOVE_TIMEOUT,
        "routes[0].objective_ms",
        _with_route(objective_ms=2_001),
        _with_route(objective_ms=2_000),
    )
    _check_pair(
        Problem.PAUSE_ABOVE_TIMEOUT,
        "routes[0].gap_objective_ms",
        _with_route(gap_objective_ms=2_000.5),
        _with_route(gap_objective_ms=2_000),
    )


def test_several_attempts_of_what_may_not_be_repeated_are_a_warning():
    place = "routes[0].max_attempts"
    problem = Problem.ATTEMPTS_NOT_REPEATABLE
    unsafe, stream = RouteKind.UNSAFE, RouteKind.STREAM
    _check_pair(
        problem,
        place,
        _with_route(kind=unsafe, max_attempts=2),
        _with_route(kind=unsafe, max_attempts=1),
    )
    _check_pair(
        problem,
        place,
        _with_route(kind=stream),
        _with_route(kind=stream, resumable=True),
    )


def test_engine_memory_below_a_mean_prompt_is_a_warning():
    _check_pair(
        Problem.MEMORY_BELOW_PROMPT,
        "services[1].engine.memory_tokens",
        _with_models(engine=attrs.evolve(ENGINE, memory_tokens=11_999)),
        _with_models(engine=attrs.evolve(ENGINE, memory_tokens=12_000)),
    )


def test_a_cold_limit_that_leaves_no_node_a_request_is_a_warning():
    # Nodes use 0.6 of the limit, in whole requests a second.
    for per_s in (1.6, 0.01, -1.0, float("nan")):
        _check_pair(
            Problem.COLD_LIMIT_TOO_LOW,
            "services[1].cold_per_s",
            _with_models(cold_per_s=per_s),
            _with_models(cold_per_s=1.7),
        )
    # 0 is no limit.
    assert _found(_with_models(cold_per_s=0.0)) == []


def test_ranks_outside_0_to_9_are_warnings():
    problem = Problem.RANK_OUT_OF_RANGE
    for rank in (-1, 10):
        route, account = _with_route(priority=rank), _with_account(priority=rank)
        _check_pair(problem, "routes[0].priority", route, _with_route(priority=9))
        _check_pair(problem, "accounts[1].priority", account, _with_account(priority=0))


def test_a_header_timeout_above_the_idle_timeout_is_a_warning():
    above = CallerLimits(header_timeout_ms=30_001)
    equal = CallerLimits(header_timeout_ms=30_000)
    _check_pair(
        Problem.HEADER_ABOVE_IDLE_TIMEOUT,
        "limits.header_timeout_ms",
        attrs.evolve(VALID, limits=above),
        attrs.evolve(VALID, limits=equal),
    )


def test_differences_are_listed_by_name_and_field():
    moved = attrs.evolve(
        LOOKUP,
        services=(WeightedService("models", 90.0), WeightedService("booking", 10.5)),
        timeout_ms=3_000,
        priority=2,
    )
    new = attrs.evolve(CHAT, name="new", prefix="/new/")
    changed = attrs.evolve(
        _with_models(engine=attrs.evolve(ENGINE, slots=9)),
        routes=(moved, new),
        limits=CallerLimits(max_body_bytes=5),
    )
    routes, services = Collection.ROUTES, Collection.SERVICES
    assert compare(VALID, changed) == (
        Removed(routes, "chat"),
        Changed(routes, "lookup", "services", "booking", "models 90, booking 10.5"),
        Changed(routes, "lookup", "timeout_ms", 2_000, 3_000),
        Changed(routes, "lookup", "priority", 0, 2),
        Added(routes, "new"),
        Changed(services, "models", "engine.slots", 8, 9),
        Changed(Collection.LIMITS, "", "max_body_bytes", 4_194_304, 5),
    )


def test_an_engine_that_is_added_or_removed_is_listed_by_field():
    plain = _with_models(engine=None)
    slots = [d for d in compare(plain, VALID) if d.field == "engine.slots"]
    assert slots == [Changed(Collection.SERVICES, "models", "engine.slots", None, 8)]
    assert len(compare(VALID, plain)) == len(compare(plain, VALID)) > 1


def test_order_of_entries_and_version_are_no_differences():
    reordered = attrs.evolve(
        VALID, version=8, routes=VALID.routes[::-1], accounts=VALID.accounts[::-1]
    )
    assert compare(VALID, reordered) == ()


def test_changes_of_accounts_and_keys_show_digests_only():
    changed = attrs.evolve(
        VALID,
        accounts=(
            CallerAccount("acme", ("key-2", "key-4"), 3),
            CallerAccount("core", ("key-5",)),
        ),
    )
    differences = compare(VALID, changed)
    digest = {
        key: hashlib.sha256(key.encode()).hexdigest()[:4]
        for key in ("key-1", "key-3", "key-4", "key-5")
    }
    accounts = Collection.ACCOUNTS
    assert differences == (
        Changed(accounts, "acme", "priority", None, 3),
        KeysChanged("acme", (digest["key-4"],), (digest["key-1"],)),
        Removed(accounts, "bolt"),
        KeysChanged("bolt", (), (digest["key-3"],)),
        Added(accounts, "core"),
        KeysChanged("core", (digest["key-5"],), ()),
    )
    assert "key-" not in repr(differences)
    without = attrs.evolve(VALID, accounts=None)
    assert compare(without, VALID)[0] == Changed(
        accounts, "", "keys", "not needed", "needed"
    )


def test_the_table_of_codes_matches_the_code():
    page = (ROOT / "docs/operators/commands.md").read_text()
    table = [(code, level) for code, level, _ in CODE_ROW.findall(page)]
    assert table == [(p.code, p.level) for p in Problem]
    assert len({p.code for p in Problem}) == len(Problem.__members__)
    assert {p.level for p in Problem} == set(Level)


NAMES = st.sampled_from(["a", "b", "C", ""]) | st.text(max_size=3)
NUMBERS = st.integers() | st.floats(allow_nan=False)
WEIGHTS = st.floats() | st.sampled_from([0.0, 1.0])
ROUTES = st.builds(
    Route,
    name=NAMES,
    host=NAMES,
    prefix=NAMES | st.sampled_from(["/", "/a/"]),
    kind=st.sampled_from(RouteKind),
    services=st.lists(st.builds(WeightedService, NAMES, WEIGHTS), max_size=3).map(
        tuple
    ),
    timeout_ms=NUMBERS,
    objective_ms=NUMBERS,
    gap_objective_ms=NUMBERS,
    priority=st.integers(),
    max_attempts=st.integers(),
)
ENGINES = st.builds(
    EngineProfile,
    slots=NUMBERS,
    memory_tokens=NUMBERS,
    mean_prompt_tokens=NUMBERS,
)
SERVICES = st.builds(
    ServiceSpec,
    name=NAMES,
    health_path=NAMES,
    max_connections=NUMBERS,
    cold_s=st.floats(),
    cold_per_s=st.floats(),
    engine=st.none() | ENGINES,
)
ACCOUNTS = st.builds(
    CallerAccount,
    name=NAMES,
    keys=st.lists(NAMES, max_size=3).map(tuple),
    priority=st.none() | st.integers(),
)
LIMITS = st.builds(CallerLimits, NUMBERS, NUMBERS, NUMBERS, NUMBERS)
CONFIGURATIONS = st.builds(
    RelayConfiguration,
    version=st.integers(),
    routes=st.lists(ROUTES, max_size=4).map(tuple),
    services=st.lists(SERVICES, max_size=3).map(tuple),
    accounts=st.none() | st.lists(ACCOUNTS, max_size=3).map(tuple),
    limits=LIMITS,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(CONFIGURATIONS, CONFIGURATIONS)
def test_no_configuration_makes_the_check_or_the_comparison_fail(before, after):
    assert all(finding.message for finding in find_problems(after, before))
    assert compare(after, after) == ()
    # A comparison the other way round lists as many differences.
    assert len(compare(before, after)) == len(compare(after, before))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(CONFIGURATIONS)
def test_a_route_reported_as_never_matching_takes_no_request(configuration):
    never = {Problem.DUPLICATE_PREFIX, Problem.HOST_WITH_PORT}
    for finding in find_problems(configuration):
        if finding.problem in never:
            route = configuration.routes[finding.place.index]
            for host in (route.host, route.host.upper()):
                assert configuration.route_for(host, route.prefix) is not route


def load_tests(loader, tests, pattern):
    return collect(globals())
