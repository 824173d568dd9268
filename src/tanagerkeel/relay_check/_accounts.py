"""Findings on client accounts and their keys; no message contains a key."""

from collections.abc import Iterable, Iterator

from tanagerkeel.relay import CallerAccount
from tanagerkeel.relay_check._findings import Collection, Finding, Place, Problem
from tanagerkeel.relay_check._names import duplicate_names, rank_findings

__all__ = ["account_findings"]


def account_findings(accounts: Iterable[CallerAccount]) -> Iterator[Finding]:
    """Yield the findings on all client accounts."""
    accounts = tuple(accounts)
    yield from duplicate_names(Collection.ACCOUNTS, (a.name for a in accounts))
    yield from _shared_keys(accounts)
    for index, account in enumerate(accounts):
        if not any(account.keys):
            yield Finding(
                Problem.ACCOUNT_WITHOUT_KEYS,
                Place(Collection.ACCOUNTS, index, "keys"),
                f"nobody can call as {account.name!r}: it has no key",
            )
        place = Place(Collection.ACCOUNTS, index, "priority")
        yield from rank_findings(place, account.priority)


def _shared_keys(accounts: tuple[CallerAccount, ...]) -> Iterator[Finding]:
    holders: dict[str, tuple[int, CallerAccount]] = {}
    for index, account in enumerate(accounts):
        for position, key in enumerate(account.keys):
            first_index, first = holders.setdefault(key, (index, account))
            if first_index != index:
                yield Finding(
                    Problem.SHARED_KEY,
                    Place(Collection.ACCOUNTS, index, "key", position),
                    f"this key is held by the client account {first.name!r} too",
                )
