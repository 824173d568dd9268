"""Quarantine of poison requests, which bring down the backend servers that run them."""

import collections
from collections.abc import Callable

import attrs
import xxhash

__all__ = ["Quarantine", "QuarantineEntry"]

# Distinct deaths of backend servers after which a request is quarantined.
DEATHS_TO_QUARANTINE = 2
QUARANTINE_TTL_S = 600.0
# A suspect is cleared after this time without a further death.
SUSPICION_TTL_S = 300.0
MAX_SUSPECTS = 4_096
MAX_QUARANTINED = 4_096
MAX_PENDING_UPDATES = 256
# Suspects that are published to other nodes for one death, the most recent first.
MAX_SUSPECTS_PUBLISHED = 8


@attrs.frozen
class QuarantineEntry:
    """
    A suspected or quarantined request, as nodes exchange it.

    :param fingerprint: hash of the request's account, model and prompt.
    :param remaining_s: time until the entry expires, in seconds.
    :param death_hashes: for a suspect, a hash of each death of a backend server that
        happened while it ran the request; empty once it is quarantined.
    """

    fingerprint: str
    remaining_s: float
    death_hashes: tuple[str, ...] = ()


@attrs.define
class _RunningAttempt:
    fingerprint: str
    incarnation: str
    sent_s: float


@attrs.define
class _Suspect:
    until_s: float
    # Hashes of the deaths of backend servers that happened while they ran the request.
    death_hashes: set[str] = attrs.field(factory=set)


@attrs.define
class Quarantine:
    """
    Tracks which requests are quarantined, and which are suspects.

    When a backend server dies, all requests that were running on it become suspects.
    A suspect may not run on the same server as another suspect, so that a second death
    identifies the cause: a request is quarantined after two distinct deaths. Times are
    monotonic, in seconds.
    """

    # By fingerprint, the least recently updated first.
    _quarantined_until_s: "collections.OrderedDict[str, float]" = attrs.field(
        factory=collections.OrderedDict
    )
    # By fingerprint, the least recently updated first.
    _suspects: "collections.OrderedDict[str, _Suspect]" = attrs.field(
        factory=collections.OrderedDict
    )
    # By backend server and attempt id, in the order of their start.
    _running_attempts: dict[str, dict[str, _RunningAttempt]] = attrs.field(factory=dict)
    # Entries that have not been taken for the peers yet, by fingerprint.
    _updates: dict[str, QuarantineEntry] = attrs.field(factory=dict)
    _on_update: Callable[[], None] | None = None

    def set_listener(self, on_update: Callable[[], None]) -> None:
        """Set the callback for when :meth:`take_updates` has entries for the peers."""
        self._on_update = on_update

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Return the remaining quarantine of a request; 0 when not quarantined."""
        return max(0.0, self._quarantined_until_s.get(fingerprint, 0.0) - now)

    def suspected(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect."""
        return fingerprint in self._suspects

    def running(self, backend: str) -> int:
        """Return the number of this node's attempts on a backend server."""
        return len(self._running_attempts.get(backend, ()))

    def allows(self, fingerprint: str, backend: str) -> bool:
        """
        Return whether a request may run on a backend server now.

        A suspect may not run beside another suspect.
        """
        if fingerprint not in self._suspects:
            return True
        return not any(
            other.fingerprint in self._suspects
            for other in self._running_attempts.get(backend, {}).values()
        )

    def record_start(
        self,
        backend: str,
        attempt_id: str,
        fingerprint: str,
        incarnation: str = "",
        sent_s: float = 0.0,
    ) -> None:
        """
        Record the start of an attempt.

        :param backend: name of the backend server.
        :param attempt_id: id of the attempt.
        :param fingerprint: fingerprint of the request.
        :param incarnation: id of the server process that runs it; empty when unknown.
        :param sent_s: when it was sent; monotonic, in seconds.
        """
        attempts = self._running_attempts.setdefault(backend, {})
        attempts[attempt_id] = _RunningAttempt(fingerprint, incarnation, sent_s)

    def carry_over(self, backend: str, known: str, new: str, started_s: float) -> None:
        """
        Attribute attempts to a new incarnation that was sent them before it was known.

        :param backend: name of the backend server.
        :param known: the incarnation that was known until now.
        :param new: the one that replaced it.
        :param started_s: when the new one started; monotonic, in seconds.
        """
        for attempt in self._running_attempts.get(backend, {}).values():
            if attempt.incarnation == known and attempt.sent_s >= started_s:
                attempt.incarnation = new

    def record_end(self, backend: str, attempt_id: str) -> None:
        """Record the end of an attempt."""
        attempts = self._running_attempts.get(backend, {})
        attempts.pop(attempt_id, None)
        if not attempts:
            self._running_attempts.pop(backend, None)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear a request of suspicion because it completed successfully."""
        self._suspects.pop(fingerprint, None)

    def record_death(
        self, backend: str, now: float, incarnation: str | None = None
    ) -> tuple[str, ...]:
        """
        Record the death of a backend server and suspect the requests running on it.

        A death that is recorded repeatedly counts once.

        :param backend: name of the backend server.
        :param now: this node's monotonic time, in seconds.
        :param incarnation: suspect only the requests that ran on this server process;
            all when None.
        :returns: fingerprints of the requests that are now quarantined.
        """
        attempts = (
            attempt
            for attempt in self._running_attempts.get(backend, {}).values()
            if incarnation in (None, attempt.incarnation)
        )
        newest_first = tuple(reversed(tuple(attempts)))
        quarantined = []
        for position, attempt in enumerate(newest_first):
            death_hash = xxhash.xxh32_hexdigest(
                f"{backend} {attempt.incarnation}".encode()
            )
            if self._record_suspicion(
                attempt.fingerprint, death_hash, now, position < MAX_SUSPECTS_PUBLISHED
            ):
                quarantined.append(attempt.fingerprint)
        return tuple(quarantined)

    def merge(self, entry: QuarantineEntry, now: float) -> None:
        """Merge an entry that another node published."""
        until_s = now + entry.remaining_s
        if entry.death_hashes and self.remaining_s(entry.fingerprint, now) > 0:
            return
        if entry.death_hashes:
            suspect = self._update_suspect(entry.fingerprint, until_s, now)
            suspect.death_hashes.update(entry.death_hashes)
            if len(suspect.death_hashes) < DEATHS_TO_QUARANTINE:
                return
        self._quarantine(
            entry.fingerprint,
            max(until_s, self._quarantined_until_s.get(entry.fingerprint, 0.0)),
        )

    def take_updates(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the new entries for the peers since the last call."""
        updates = tuple(self._updates.values())
        self._updates.clear()
        return updates

    def _record_suspicion(
        self, fingerprint: str, death_hash: str, now: float, publish: bool
    ) -> bool:
        if self.remaining_s(fingerprint, now) > 0:
            return False
        suspect = self._update_suspect(fingerprint, now + SUSPICION_TTL_S, now)
        if death_hash in suspect.death_hashes:
            return False
        suspect.death_hashes.add(death_hash)
        if len(suspect.death_hashes) >= DEATHS_TO_QUARANTINE:
            self._quarantine(fingerprint, now + QUARANTINE_TTL_S)
            self._publish(QuarantineEntry(fingerprint, QUARANTINE_TTL_S))
            return True
        if publish:
            death_hashes = tuple(suspect.death_hashes)
            self._publish(QuarantineEntry(fingerprint, SUSPICION_TTL_S, death_hashes))
        return False

    def _update_suspect(self, fingerprint: str, until_s: float, now: float) -> _Suspect:
        self._expire(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect(until_s))
        suspect.until_s = max(until_s, suspect.until_s)
        self._suspects.move_to_end(fingerprint)
        return suspect

    def _quarantine(self, fingerprint: str, until_s: float) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantined_until_s[fingerprint] = until_s
        self._quarantined_until_s.move_to_end(fingerprint)
        while len(self._quarantined_until_s) > MAX_QUARANTINED:
            self._quarantined_until_s.popitem(last=False)

    def _publish(self, entry: QuarantineEntry) -> None:
        self._updates.pop(entry.fingerprint, None)
        self._updates[entry.fingerprint] = entry
        while len(self._updates) > MAX_PENDING_UPDATES:
            del self._updates[next(iter(self._updates))]
        if self._on_update is not None:
            self._on_update()

    def _expire(self, now: float) -> None:
        while len(self._suspects) >= MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        for fingerprint in [f for f, s in self._suspects.items() if s.until_s <= now]:
            del self._suspects[fingerprint]
        for fingerprint in [
            f for f, u in self._quarantined_until_s.items() if u <= now
        ]:
            del self._quarantined_until_s[fingerprint]
