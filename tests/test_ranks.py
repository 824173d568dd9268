"""Ranks of client accounts and routes: which requests have one, and in which order."""

import collections

from tanagerkeel.queueing import LOWEST_RANK, CostRules
from tanagerkeel.relay import (
    CallerAccount,
    Rank,
    RelayConfiguration,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

MODELS = ServiceSpec("models", "/health", 8, engine=PROFILE)
DRAFTS = ServiceSpec("drafts", "/health", 8, engine=PROFILE)
BOOKING = ServiceSpec("booking", "/health", 8)


def _route(rank, *services, name=None, public=False):
    name = name or f"route-{rank}"
    return Route(
        name,
        "service.example",
        f"/{name}/",
        RouteKind.STREAM,
        tuple(WeightedService(s) for s in services or ("models",)),
        1_000,
        300,
        priority=rank,
        public=public,
    )


def _account(rank):
    return CallerAccount(f"account-{rank}", (f"key-{rank}",), rank)


def _configuration(route_ranks, account_ranks=(), version=1):
    return RelayConfiguration(
        version,
        tuple(map(_route, route_ranks)),
        (MODELS, BOOKING),
        tuple(map(_account, account_ranks)),
    )


def _ranks(configuration, pairs, service="models"):
    """Return the ranks of pairs of an account's and a route's rank."""
    return [
        configuration.rank_of(service, _route(route), account and _account(*account))
        for account, route in pairs
    ]


def test_the_rank_of_an_account_takes_precedence_over_that_of_a_route():
    configuration = _configuration((0, 1, 2), (0, 3))
    pairs = [((a,), r) for a in (0, 3) for r in (0, 1, 2)]
    positions = [rank.position for rank in _ranks(configuration, pairs)]
    assert positions == sorted(positions) and len(set(positions)) == 6
    steps = [rank.steps for rank in _ranks(configuration, pairs)]
    assert steps == [0, 1, 2, 3, 4, 5]


def test_an_account_without_a_rank_has_that_of_its_route():
    configuration = _configuration((0, 2), (0, 1, None))
    urgent, late = _ranks(configuration, [((None,), 0), ((None,), 2)])
    public, _ = _ranks(configuration, [(None, 0), (None, 2)])
    assert urgent == public == _ranks(configuration, [((0,), 0)])[0]
    assert late.position > _ranks(configuration, [((1,), 2)])[0].position


def test_where_no_account_has_a_rank_each_rank_of_a_route_counts_once():
    # Otherwise a request of rank 1 would weigh a quarter instead of half.
    for accounts in ((), (None,)):
        configuration = _configuration((0, 1, 2), accounts)
        account = (None,) if accounts else None
        ranks = _ranks(configuration, [(account, r) for r in (0, 1, 2)])
        assert ranks == [Rank(0, 0), Rank(1, 1), Rank(2, 2)]
        weights = [CostRules().cost("", 0, rank.steps).weight for rank in ranks]
        assert weights == [1.0, 0.5, 0.25]


def test_the_most_urgent_requests_that_can_occur_lose_no_weight():
    # All accounts have rank 1: no request has rank 0 of both account and route.
    configuration = _configuration((0, 1, 2), (1,))
    ranks = _ranks(configuration, [((1,), r) for r in (0, 1, 2)])
    assert ranks == [Rank(0, 0), Rank(1, 1), Rank(2, 2)]


def test_ranks_outside_0_to_9_count_as_the_nearest():
    configuration = _configuration((-4, 0, 9, 30), (-1, 12))
    first, last = _ranks(configuration, [((-1,), -4), ((12,), 30)])
    assert first == Rank(0, 0) == _ranks(configuration, [((0,), 0)])[0]
    assert last == _ranks(configuration, [((9,), 9)])[0]
    assert 0 < last.position <= LOWEST_RANK


def test_positions_stay_within_0_to_9_with_all_pairs_of_ranks():
    configuration = _configuration(range(10), range(10))
    pairs = [((a,), r) for a in range(10) for r in range(10)]
    positions = [rank.position for rank in _ranks(configuration, pairs)]
    assert positions == sorted(positions)
    assert positions[:10] == list(range(10)) and set(positions[10:]) == {LOWEST_RANK}


def test_without_ranks_or_with_equal_ones_requests_have_none():
    for configuration in (
        _configuration((0, 0, 0)),
        _configuration((4, 4), (1, 1)),
        # Both count as 9.
        _configuration((9, 12)),
        # The ranks of accounts alone ask for no order.
        _configuration((1, 1), (0, 5)),
    ):
        assert configuration.rank_of("models", _route(4), None) is None
        assert configuration.rank_of("models", _route(1), _account(5)) is None


def test_requests_of_plain_and_unknown_services_have_no_rank():
    routes = (_route(0, "booking"), _route(5, "booking"), _route(1), _route(2))
    configuration = RelayConfiguration(1, routes, (MODELS, BOOKING))
    assert configuration.rank_of("booking", routes[0], None) is None
    assert configuration.rank_of("gone", routes[0], None) is None
    assert configuration.rank_of("models", routes[2], None) == Rank(0, 0)


def test_each_service_has_the_ranks_of_its_own_routes():
    routes = (
        _route(1, "models", "drafts"),
        _route(3, "models"),
        _route(1, "drafts", name="second"),
        _route(3, "booking", name="third"),
    )
    configuration = RelayConfiguration(1, routes, (MODELS, DRAFTS, BOOKING))
    assert configuration.rank_of("drafts", routes[0], None) is None
    assert configuration.rank_of("models", routes[0], None).position == 0
    assert configuration.rank_of("models", routes[1], None).position == 1


def test_requests_of_public_routes_are_ordered_with_those_of_accounts():
    public = _route(2, name="public", public=True)
    keyed = _route(0)
    configuration = RelayConfiguration(
        1, (public, keyed), (MODELS,), (_account(1), _account(3))
    )
    ranked = [
        configuration.rank_of("models", keyed, _account(1)),
        configuration.rank_of("models", public, None),
        configuration.rank_of("models", keyed, _account(3)),
    ]
    positions = [rank.position for rank in ranked]
    assert positions == sorted(positions) and len(set(positions)) == 3


def test_an_account_or_route_that_a_newer_version_lacks_goes_last_without_an_error():
    # The rank of a request is asked for once; a newer version may lack its pair.
    configuration = _configuration((0, 1), (0, 1))
    (rank,) = _ranks(configuration, [((7,), 5)])
    assert rank.position == LOWEST_RANK and rank.steps == 12
    assert _ranks(_configuration((0, 0)), [((0,), 1)]) == [None]


def test_a_request_keeps_the_rank_of_the_version_that_it_was_admitted_with():
    old = _configuration((0, 1), version=1)
    new = _configuration((0, 1, 2, 3), version=2)
    (before,) = _ranks(old, [(None, 1)])
    (after,) = _ranks(new, [(None, 3)])
    assert (before.position, after.position) == (1, 3)
    assert _ranks(old, [(None, 1)]) == [before]


class _CountedRoutes(collections.UserList):
    iterations = 0

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()


def test_the_ranks_of_many_routes_are_collected_once_and_in_a_small_table():
    routes = _CountedRoutes(
        _route(n % 10, "models", name=f"route-{n}") for n in range(1_700)
    )
    accounts = tuple(
        CallerAccount(f"account-{n}", (f"key-{n}",), n % 10) for n in range(940)
    )
    configuration = RelayConfiguration(1, routes, (MODELS, BOOKING), accounts)
    collected = routes.iterations
    for account, route in zip(accounts, routes[:940], strict=True):
        assert configuration.rank_of("models", route, account) is not None
    assert routes.iterations == collected
    # Of 1,700 routes and 940 accounts, the pairs of 10 ranks each remain.
    assert sum(map(len, configuration._ranks._positions.values())) <= 110


def load_tests(loader, tests, pattern):
    return collect(globals())
