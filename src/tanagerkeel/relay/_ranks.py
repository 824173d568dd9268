"""
How urgent a request is among those of its service, by the operators' ranks.

The rank of a client account takes precedence over the rank of a route: requests are
ordered by the account's rank first, and by the route's among those of equal accounts.

Load pattern: short urgent requests, and long ones of lower rank, share the engines of
one service. Where all routes to a service have one rank, the operators ask for no
order, and its requests have none.
"""

from collections.abc import Iterable

import attrs

from tanagerkeel.queueing import LOWEST_RANK
from tanagerkeel.relay._routes import CallerAccount, Route

__all__ = ["Rank", "RankTable"]


@attrs.frozen
class Rank:
    """
    The rank of a request.

    :param position: its place among the ranks of its service, from 0, the most urgent,
        to ``LOWEST_RANK``.
    :param steps: how many ranks its account and its route together are below the most
        urgent ones.
    """

    position: int
    steps: int


def _clamp(rank: int) -> int:
    return min(LOWEST_RANK, max(0, rank))


def _pair(account_rank: int | None, route_rank: int) -> tuple[int, int]:
    primary = route_rank if account_rank is None else _clamp(account_rank)
    return primary, route_rank


@attrs.frozen
class RankTable:
    """The ranks of one version of the configuration."""

    # Positions of the pairs of an account's and a route's rank, by service.
    _positions: dict[str, dict[tuple[int, int], int]]
    # Whether any client account has a rank.
    _account_ranks: bool

    @classmethod
    def build(
        cls,
        routes: Iterable[Route],
        accounts: Iterable[CallerAccount],
        services: Iterable[str],
    ) -> "RankTable":
        """
        Return the table of a configuration.

        :param routes: all routes.
        :param accounts: the client accounts.
        :param services: names of the services whose requests may have ranks.
        """
        route_ranks: dict[str, set[int]] = {name: set() for name in services}
        account_ranks = {account.priority for account in accounts}
        unranked = not account_ranks
        for route in routes:
            # Its requests have no account.
            unranked = unranked or route.public
            for share in route.services:
                if share.name in route_ranks:
                    route_ranks[share.name].add(_clamp(route.priority))
        if unranked:
            account_ranks.add(None)
        return cls(
            {
                name: {
                    pair: min(position, LOWEST_RANK)
                    for position, pair in enumerate(
                        sorted({_pair(a, r) for a in account_ranks for r in ranks})
                    )
                }
                for name, ranks in route_ranks.items()
                if len(ranks) > 1
            },
            account_ranks != {None},
        )

    def rank(
        self, service: str, route: Route, account: CallerAccount | None
    ) -> Rank | None:
        """
        Return the rank of a request; None where its service has one rank only.

        :param service: name of its service.
        :param route: its route.
        :param account: its client account; None when no key is needed.
        """
        positions = self._positions.get(service)
        if positions is None:
            return None
        account_rank = None if account is None else account.priority
        pair = _pair(account_rank, _clamp(route.priority))
        first_account = min(a for a, _ in positions)
        first_route = min(r for _, r in positions)
        steps = pair[1] - first_route
        # Where no account has a rank, that of the route stands for both in the pair.
        if self._account_ranks:
            steps += pair[0] - first_account
        return Rank(positions.get(pair, LOWEST_RANK), steps)
