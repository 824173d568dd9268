"""Which records of the quarantine a node's next updates hold."""

import attrs

from tanagerkeel.quarantine import Quarantine, QuarantineRecord

__all__ = ["QuarantineReports"]

# How often a new record is sent, so that a lost datagram costs one interval.
SENDS = 3
# Maximum number of records in one update, so that it fits into one packet.
MAX_RECORDS = 8
# Records that wait to be sent, the newest; the others reach peers by their queries.
MAX_PENDING = 256


@attrs.define
class QuarantineReports:
    """
    Sends each record that this node found a limited number of times.

    :param quarantine: the quarantine, whose new entries it takes.
    """

    _quarantine: Quarantine
    # Sends that are left, by fingerprint, the oldest record first.
    _sends_left: dict[str, int] = attrs.field(factory=dict)

    @property
    def has_unsent(self) -> bool:
        """Whether records have not been sent at all yet."""
        return SENDS in self._sends_left.values()

    def take(self, now: float) -> tuple[QuarantineRecord, ...]:
        """Return the records of the next update, those sent least often first."""
        found = (entry.fingerprint for entry in self._quarantine.take_updates(now))
        for fingerprint in (*found, *self._quarantine.take_clearances()):
            self._sends_left.pop(fingerprint, None)
            self._sends_left[fingerprint] = SENDS
        while len(self._sends_left) > MAX_PENDING:
            del self._sends_left[next(iter(self._sends_left))]
        taken = []
        for fingerprint in sorted(
            self._sends_left, key=self._sends_left.get, reverse=True
        ):
            record = self._quarantine.record(
                fingerprint, now
            ) or self._quarantine.clearance(fingerprint)
            if record is not None:
                taken.append(record)
            self._sends_left[fingerprint] -= 1
            if record is None or not self._sends_left[fingerprint]:
                del self._sends_left[fingerprint]
            if len(taken) == MAX_RECORDS:
                break
        return tuple(taken)
