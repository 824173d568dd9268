"""What the findings on routes, services and client accounts have in common."""

from collections.abc import Iterable, Iterator

from tanagerkeel.queueing import LOWEST_RANK
from tanagerkeel.relay_check._findings import Collection, Finding, Place, Problem

__all__ = ["as_text", "duplicate_names", "rank_findings"]


def as_text(number: float) -> str:
    """Return a number with all its digits, and without a fraction of zero."""
    if isinstance(number, float) and number.is_integer():
        return str(int(number))
    return str(number)


def duplicate_names(collection: Collection, names: Iterable[str]) -> Iterator[Finding]:
    """Yield a finding for each name that an earlier entry has."""
    known: set[str] = set()
    for index, name in enumerate(names):
        if name in known:
            yield Finding(
                Problem.DUPLICATE_NAME,
                Place(collection, index, "name"),
                f"an earlier entry has the name {name!r} too",
            )
        known.add(name)


def rank_findings(place: Place, rank: int | None) -> Iterator[Finding]:
    """Yield a finding if a rank is none of those that nodes tell apart."""
    if rank is not None and not 0 <= rank <= LOWEST_RANK:
        used = 0 if rank < 0 else LOWEST_RANK
        yield Finding(
            Problem.RANK_OUT_OF_RANGE,
            place,
            f"ranks are 0 to {LOWEST_RANK}; {rank} counts as {used}",
        )
