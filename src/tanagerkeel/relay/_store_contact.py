"""
Whether the platform's store may have been away, or only out of this node's reach.

It is decided from the outcomes of this node's calls and from the contact that its peers
have had. Entries lapse while the store is away and come back after its return; an entry
that vanishes while the store turned away this node alone is gone.
"""

import attrs

__all__ = ["ContactReport", "StoreContact"]

# Backend servers whose entries expired during an outage of the platform have registered
# again about this long after its end, in seconds, as the platform documents. An entry
# that is still missing then is gone.
REREGISTRATION_S = 2.0
# Longest time between two calls that succeed one after the other, in seconds. After a
# longer one this process was suspended, and an outage may have gone unnoticed.
MAX_PAUSE_S = 5.0
# A peer's contact counts as lasting if the store has answered it within this time, in
# seconds. A shorter outage lets no entry lapse, as that takes three heartbeats of a
# backend server without a response.
MAX_PEER_AGE_S = 2.4
# A call that fails alone is no outage if the next one succeeds within this time, in
# seconds: the store may cut a watch that waits.
CUT_S = 0.5


@attrs.frozen
class ContactReport:
    """
    What a node knows of the store's presence; times are in seconds before now.

    :param unbroken_s: for how long the store has not been away.
    :param age_s: time since the store last answered the node.
    """

    unbroken_s: float
    age_s: float


@attrs.define
class StoreContact:
    """
    This node's contact with the platform's store; times are monotonic, in seconds.

    A failed call begins a gap, which ends when a call succeeds. The store may have been
    away in a gap, unless a peer had contact all the while. A gap of one failure, too
    short for entries to lapse in it, is a cut and no outage: it neither lets entries
    come back nor lengthens the time for it after an earlier gap.
    """

    _unreachable: bool = False
    # Since when the store has not been away; None before the first contact.
    _since_s: float | None = None
    _last_success_s: float = float("-inf")
    # Last success before the latest gap, unless there was none or it is explained.
    _gap_start_s: float | None = None
    # Whether a peer had contact up to now in a gap that has not ended.
    _ruled_out: bool = False
    _recovered_s: float = float("-inf")
    _era_began_s: float = float("-inf")
    # Calls that have failed in a row, and when the first of them did.
    _failures: int = 0
    _failed_s: float = float("-inf")
    # Time of contact before the latest failure, and when the contact after it began.
    _earlier_contact_s: float = 0.0
    _contact_began_s: float | None = None

    @property
    def unreachable(self) -> bool:
        """Whether this node's last call failed."""
        return self._unreachable

    @property
    def recovered_s(self) -> float:
        """When the latest gap ended."""
        return self._recovered_s

    def contact_s(self, now: float) -> float:
        """Return for how long this node has had contact so far, without gaps."""
        if self._contact_began_s is None:
            return self._earlier_contact_s
        return self._earlier_contact_s + now - self._contact_began_s

    def record_failure(self, entries_known: bool, now: float) -> None:
        """
        Record that a call failed.

        :param entries_known: whether this node knows entries, which may lapse.
        """
        was_reachable = not self._unreachable
        self._earlier_contact_s = self.contact_s(now)
        self._contact_began_s = None
        self._failures += 1
        if was_reachable:
            self._failed_s = now
        self._unreachable = True
        self._ruled_out = False
        if was_reachable and self._gap_start_s is not None:
            self._settle_gap()
        if self._gap_start_s is None and entries_known:
            self._gap_start_s = self._last_success_s

    def _settle_gap(self) -> None:
        """End an unexplained gap if no entry that is missing may come back any more."""
        if self._last_success_s >= self._recovered_s + REREGISTRATION_S:
            self._since_s = self._recovered_s
            self._gap_start_s = None

    def record_success(self, now: float) -> None:
        """Record that a call succeeded."""
        if self._since_s is None or now - self._last_success_s > MAX_PAUSE_S:
            self._since_s = now
        if self._contact_began_s is None:
            self._contact_began_s = now
        if self._unreachable:
            self._unreachable = False
            # A peer has to vouch for the whole gap now that it has ended.
            self._ruled_out = False
            if not self._was_cut(now):
                self._recovered_s = now
            elif self._gap_start_s == self._last_success_s:
                self._gap_start_s = None
        self._failures = 0
        self._last_success_s = now

    def _was_cut(self, now: float) -> bool:
        return (
            self._failures == 1
            and now - self._failed_s < CUT_S
            and now - self._last_success_s < MAX_PEER_AGE_S
        )

    def begin_era(self, now: float) -> None:
        """Record that the store was away, and has returned from an older copy."""
        self._since_s = self._era_began_s = now

    def may_have_been_away(self, now: float) -> bool:
        """Return whether entries that are missing in the store may come back."""
        return now < self._era_began_s + REREGISTRATION_S or self.needs_peer(now)

    def needs_peer(self, now: float) -> bool:
        """Return whether a peer's contact could rule out that the store was away."""
        return (
            self._gap_start_s is not None
            and not self._ruled_out
            and (self._unreachable or now < self._recovered_s + REREGISTRATION_S)
        )

    def report(self, now: float) -> ContactReport | None:
        """Return what this node knows; None while its calls fail."""
        if self._unreachable or self._since_s is None:
            return None
        since_s = self._since_s
        if self._gap_start_s is not None:
            since_s = max(since_s, self._recovered_s)
        return ContactReport(now - since_s, now - self._last_success_s)

    def record_peer(self, report: ContactReport, now: float) -> bool:
        """Record a peer's report; return whether it rules out an outage."""
        if (
            not self.needs_peer(now)
            or report.age_s > MAX_PEER_AGE_S
            or now - report.unbroken_s > self._gap_start_s
        ):
            return False
        if self._unreachable:
            self._ruled_out = True
        else:
            self._gap_start_s = None
        return True
