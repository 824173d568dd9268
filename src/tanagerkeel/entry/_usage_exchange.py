"""Exchanges the usage of the heaviest client accounts with other nodes."""

import attrs
import xxhash

from tanagerkeel.admission import AccountUsage
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.membership import HeavyAccount, SummaryTable, Usage

__all__ = ["UsageExchange"]

# Accounts in each probe, which must stay small; each account takes a few bytes.
PROBE_OWN_ACCOUNTS = 4
PROBE_REMOTE_ACCOUNTS = 2
# Accounts in each summary of this failure domain for another one.
SUMMARY_ACCOUNTS = 4
# After this time without a probe, a node's usage no longer counts.
REPORTED_TTL_S = 15.0


def _hash_account(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


@attrs.frozen
class _ReportedUsage:
    """Usage that another node of this failure domain reported."""

    heavy: tuple[HeavyAccount, ...]
    expires_s: float


@attrs.define
class UsageExchange:
    """
    Collects the usage that probes and summaries carry.

    Probes carry it between the nodes of a failure domain, summaries between failure
    domains. A summary reaches one node of a failure domain; the probes of that node
    pass its usage on to the others.

    :param context: the node's gateways and state.
    :param summaries: the latest summaries of other failure domains.
    """

    _context: NodeContext
    _summaries: SummaryTable
    _reported: dict[str, _ReportedUsage] = attrs.field(factory=dict)
    _names_by_hash: dict[int, str] = attrs.field(factory=dict)
    _revision: int = 0

    def for_probe(self) -> Usage:
        """Return the usage that this node's probes carry."""
        now = self._context.clock.monotonic()
        remote = sorted(self._summaries.usage(now), key=lambda h: -h.tokens)
        return Usage(self._own_usage(), tuple(remote[:PROBE_REMOTE_ACCOUNTS]))

    def for_summary(self) -> tuple[HeavyAccount, ...]:
        """Return the heaviest accounts of this failure domain, in descending order."""
        now = self._context.clock.monotonic()
        self._reported = {n: u for n, u in self._reported.items() if u.expires_s > now}
        tokens: dict[int, int] = {}
        lists = (reported.heavy for reported in self._reported.values())
        for heavy in (*self._own_usage(), *(h for one in lists for h in one)):
            tokens[heavy.account] = tokens.get(heavy.account, 0) + heavy.tokens
        ranked = sorted(tokens.items(), key=lambda item: (-item[1], item[0]))
        return tuple(HeavyAccount(a, t) for a, t in ranked[:SUMMARY_ACCOUNTS])

    def record_usage(self, node_id: str, usage: Usage) -> None:
        """Record the usage that a probe of a node of this failure domain carried."""
        now = self._context.clock.monotonic()
        # Without the usage in other failure domains, which our summaries would
        # otherwise report back to them as ours.
        self._reported[node_id] = _ReportedUsage(usage.own, now + REPORTED_TTL_S)
        names = self._account_names()
        usages = tuple(
            AccountUsage(names[h.account], float(h.tokens))
            for h in usage.own + usage.remote
            if h.account in names
        )
        self._context.admission.update_remote_usage(node_id, usages, now)

    def _own_usage(self) -> tuple[HeavyAccount, ...]:
        usages = self._context.admission.heaviest_accounts(PROBE_OWN_ACCOUNTS)
        return tuple(
            HeavyAccount(_hash_account(u.account), round(u.tokens_per_s))
            for u in usages
        )

    def _account_names(self) -> dict[int, str]:
        catalog = self._context.configuration.current
        if catalog is not None and catalog.revision != self._revision:
            self._names_by_hash = {
                _hash_account(name): name for name in catalog.accounts
            }
            self._revision = catalog.revision
        return self._names_by_hash
