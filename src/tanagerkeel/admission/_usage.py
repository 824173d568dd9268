"""Usage by client account, on this node and on the others of its failure domain."""

import heapq
from collections.abc import Iterable

import attrs

from tanagerkeel.queueing import RateMeter

__all__ = ["AccountUsage", "UsageTracker"]

# Decay time of this node's own rates.
HORIZON_S = 10.0
# Usage that another node reported expires after this time.
REMOTE_TTL_S = 15.0
MAX_NODES = 64
MAX_ACCOUNTS_PER_NODE = 32
# Fraction of its weight that an account keeps here, however much it uses elsewhere.
MIN_FACTOR = 0.1
# Accounts below this rate are dropped.
MIN_TOKENS_PER_S = 0.01


@attrs.frozen
class AccountUsage:
    """
    Usage of one client account on one node.

    :param account: name of the client account.
    :param tokens_per_s: prefill and decode tokens per second.
    """

    account: str
    tokens_per_s: float


@attrs.frozen
class _RemoteUsage:
    usages: tuple[AccountUsage, ...]
    until_s: float


@attrs.define
class UsageTracker:
    """
    Tracks each client account's usage on this node and on the other nodes.

    Times are monotonic, in seconds.
    """

    _admitted_rates: dict[str, RateMeter] = attrs.field(factory=dict)
    # By node id, the least recently updated first.
    _remote_usage: dict[str, _RemoteUsage] = attrs.field(factory=dict)

    def record_admitted(self, account: str, tokens: float, now: float) -> None:
        """Record work that this node admitted for an account, in tokens."""
        meter = self._admitted_rates.get(account)
        if meter is None:
            meter = self._admitted_rates[account] = RateMeter(HORIZON_S)
        meter.add(tokens, now)

    def update_remote(
        self, node_id: str, usages: tuple[AccountUsage, ...], now: float
    ) -> None:
        """Replace the usage of the heaviest accounts on another node."""
        self._remote_usage.pop(node_id, None)
        kept = usages[:MAX_ACCOUNTS_PER_NODE]
        self._remote_usage[node_id] = _RemoteUsage(kept, now + REMOTE_TTL_S)
        while len(self._remote_usage) > MAX_NODES:
            del self._remote_usage[next(iter(self._remote_usage))]

    def heaviest(self, limit: int, now: float) -> tuple[AccountUsage, ...]:
        """Return the accounts with the highest usage on this node, highest first."""
        rates = {name: meter.rate(now) for name, meter in self._admitted_rates.items()}
        for name, rate in rates.items():
            if rate < MIN_TOKENS_PER_S:
                del self._admitted_rates[name]
        usages = (AccountUsage(n, r) for n, r in rates.items() if r >= MIN_TOKENS_PER_S)
        return tuple(heapq.nlargest(limit, usages, key=lambda u: u.tokens_per_s))

    def factors(
        self, active: Iterable[tuple[str, float]], now: float
    ) -> dict[str, float]:
        """
        Return the factor by which to scale each account's weight on this node.

        Usage on other nodes lowers the factor. This node's capacity is distributed
        by water-filling, so that the accounts' usage on all nodes together is
        proportional to their weights.

        :param active: name and weight of each account that competes here.
        :returns: factors by account, from ``MIN_FACTOR`` to 1; a missing account has 1.
        """
        remote = self._remote_rates(now)
        flows = tuple(active)
        if not any(name in remote for name, _ in flows):
            return {}
        capacity = sum(
            self._admitted_rates[name].rate(now)
            for name, _ in flows
            if name in self._admitted_rates
        )
        if capacity < MIN_TOKENS_PER_S:
            return {}
        level = _fill_level(flows, remote, capacity)
        due = {n: max(0.0, level - remote.get(n, 0.0) / w) for n, w in flows}
        max_due = max(due.values())
        return {name: max(MIN_FACTOR, d / max_due) for name, d in due.items()}

    def _remote_rates(self, now: float) -> dict[str, float]:
        self._remote_usage = {
            n: u for n, u in self._remote_usage.items() if u.until_s > now
        }
        rates: dict[str, float] = {}
        for remote in self._remote_usage.values():
            for usage in remote.usages:
                rate = rates.get(usage.account, 0.0)
                rates[usage.account] = rate + usage.tokens_per_s
        return rates


def _fill_level(
    flows: tuple[tuple[str, float], ...], remote: dict[str, float], capacity: float
) -> float:
    # Water-filling: raises the lowest usage per weight until capacity is used up.
    filled_weight = 0.0
    filled_remote = 0.0
    level = 0.0
    for name, weight in sorted(flows, key=lambda f: remote.get(f[0], 0.0) / f[1]):
        used = remote.get(name, 0.0)
        if filled_weight and level <= used / weight:
            break
        filled_weight += weight
        filled_remote += used
        level = (capacity + filled_remote) / filled_weight
    return level
