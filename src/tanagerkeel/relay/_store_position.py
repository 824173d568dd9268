"""
How far a node has followed the platform's store, and the changes that led there.

Load pattern: after an outage of the store, all nodes ask each other for changes, and a
node passes on what it has itself from a peer.
"""

import attrs

from tanagerkeel.relay._watching import (
    ChangeBatch,
    ChangeLog,
    EncodedChange,
    LargeValueCache,
)

__all__ = ["StorePosition"]


@attrs.define
class StorePosition:
    """
    The revision of the store that a node has applied, and its latest changes.

    Invariant: the changes have no gaps and end at the revision, whether they came from
    the store or from a peer. Otherwise a peer that takes the revision over with them
    would never see the changes between.

    :param large_values: newest large values, as bases of deltas.
    """

    _revision: int | None = None
    _era: int | None = None
    _log: ChangeLog = attrs.field(factory=ChangeLog)
    large_values: LargeValueCache = attrs.field(factory=LargeValueCache)

    @property
    def revision(self) -> int | None:
        """The revision that the node has applied; None while it has to list."""
        return self._revision

    @property
    def era(self) -> int | None:
        """The era of the revision; None before the first listing."""
        return self._era

    def begin(self, revision: int, era: int) -> None:
        """Record that a listing was applied; the changes before it are unknown."""
        self._revision = revision
        self._era = era
        self._log.clear()

    def lose(self) -> None:
        """Record that the changes after the revision can't be had any more."""
        self._revision = None
        self._log.clear()

    def advance(self, revision: int, changes: tuple[EncodedChange, ...] | None) -> None:
        """
        Record that all changes up to a revision were applied.

        :param revision: the revision, at least the one so far.
        :param changes: the changes, for other nodes; earlier ones may be among them.
            None if they aren't kept.
        :raises ValueError: when the revision is lower than the one so far, or there is
            none.
        """
        if self._revision is None or revision < self._revision:
            raise ValueError(f"revision {revision} after {self._revision}")
        if changes is None:
            self._log.clear()
        elif revision > self._revision:
            self._log.add(ChangeBatch(self._revision, revision, changes))
        self._revision = revision

    def changes_since(
        self, revision: int, era: int
    ) -> tuple[EncodedChange, ...] | None:
        """
        Return the changes from a revision to this node's.

        :param era: the era of the revision.
        :returns: None if some are missing, they are too large, or the revision has no
            meaning in this node's era.
        """
        if self._revision is None or era != self._era:
            return None
        return () if revision >= self._revision else self._log.since(revision)

    def first_changes_since(self, revision: int, era: int) -> ChangeBatch | None:
        """
        Return as many of the changes after a revision as one answer may hold.

        :param era: the era of the revision.
        :returns: them as one batch, up to a revision below this node's; None if the
            first are missing or too large, or the revision has no meaning in this
            node's era.
        """
        if self._revision is None or era != self._era or revision >= self._revision:
            return None
        return self._log.first_since(revision)
