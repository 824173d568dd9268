"""Tell other nodes what the heaviest client accounts use, and learn it from them."""

import attrs
import xxhash

from tanagerkeel.admission import AccountUsage
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.membership import HeavyAccount, SummaryTable, Usage

__all__ = ["UsageNews"]

# Each probe carries so many, a few bytes each.
OWN_ACCOUNTS = 4
REMOTE_ACCOUNTS = 2
# Of the whole failure domain, in each summary for another one.
DOMAIN_ACCOUNTS = 4
DOMAIN_TTL_S = 15.0


def _account_number(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


@attrs.frozen
class _Told:
    heavy: tuple[HeavyAccount, ...]
    until_s: float


@attrs.define
class UsageNews:
    """
    Usage as it rides on probes inside a failure domain, and on summaries between.

    What a node keeps of other failure domains it tells as if it were its own, so
    that each node hears of all of them by one way.

    :param context: the node's gateways and state.
    :param summaries: summaries of other failure domains.
    """

    _context: NodeContext
    _summaries: SummaryTable
    _told: dict[str, _Told] = attrs.field(factory=dict)
    _names: dict[int, str] = attrs.field(factory=dict)
    _revision: int = 0

    def for_probe(self) -> Usage:
        """Return what this node tells with each probe."""
        now = self._context.clock.monotonic()
        remote = sorted(self._summaries.usage(now), key=lambda h: -h.tokens)
        return Usage(self._own(), tuple(remote[:REMOTE_ACCOUNTS]))

    def for_summary(self) -> tuple[HeavyAccount, ...]:
        """Return what this failure domain uses, the heaviest first."""
        now = self._context.clock.monotonic()
        self._told = {n: t for n, t in self._told.items() if t.until_s > now}
        tokens: dict[int, int] = {}
        lists = (told.heavy for told in self._told.values())
        for heavy in (*self._own(), *(h for one in lists for h in one)):
            tokens[heavy.account] = tokens.get(heavy.account, 0) + heavy.tokens
        ranked = sorted(tokens.items(), key=lambda item: (-item[1], item[0]))
        return tuple(HeavyAccount(a, t) for a, t in ranked[:DOMAIN_ACCOUNTS])

    def learn(self, node_id: str, usage: Usage) -> None:
        """Take in what another node of this failure domain told with a probe."""
        now = self._context.clock.monotonic()
        # Its share of other failure domains must not come back to them as ours.
        self._told[node_id] = _Told(usage.own, now + DOMAIN_TTL_S)
        names = self._known_names()
        usages = tuple(
            AccountUsage(names[h.account], float(h.tokens))
            for h in usage.own + usage.remote
            if h.account in names
        )
        self._context.admission.update_remote_usage(node_id, usages, now)

    def _own(self) -> tuple[HeavyAccount, ...]:
        usages = self._context.admission.heaviest_accounts(OWN_ACCOUNTS)
        return tuple(
            HeavyAccount(_account_number(u.account), round(u.tokens_per_s))
            for u in usages
        )

    def _known_names(self) -> dict[int, str]:
        catalog = self._context.configuration.current
        if catalog is not None and catalog.revision != self._revision:
            self._names = {_account_number(name): name for name in catalog.accounts}
            self._revision = catalog.revision
        return self._names
