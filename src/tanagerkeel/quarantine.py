"""Quarantine of poison requests, which bring down the backend servers that run them."""

import collections
import heapq
from collections.abc import Callable

import attrs
import xxhash

__all__ = ["Quarantine", "QuarantineEntry", "QuarantineRecord"]

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
# How long the evidence of a quarantine that has ended is kept, in seconds, so that a
# late repetition doesn't begin it anew.
EVIDENCE_RETENTION_S = QUARANTINE_TTL_S
# How long after its suspicion would have ended a request's clearance is kept, in
# seconds: other nodes may hold it in quarantine by the same deaths for so long.
CLEARANCE_AFTER_S = QUARANTINE_TTL_S
# Deaths that are kept for one request; two are enough for a quarantine.
MAX_DEATHS = 16


@attrs.frozen
class QuarantineEntry:
    """
    A suspected or quarantined request, as all builds exchange it.

    :param fingerprint: hash of the request's account, model and prompt.
    :param remaining_s: time until the entry expires, in seconds.
    :param death_hashes: for a suspect, a hash of each death of a backend server that
        happened while it ran the request; empty once it is quarantined.
    """

    fingerprint: str
    remaining_s: float
    death_hashes: tuple[str, ...] = ()

    def as_record(self) -> "QuarantineRecord":
        """Return it as a record, whose evidence is unknown if it is quarantined."""
        return QuarantineRecord(
            self.fingerprint,
            self.remaining_s,
            self.death_hashes,
            quarantined=not self.death_hashes,
        )


@attrs.frozen
class QuarantineRecord:
    """
    What a node knows of a suspected or quarantined request, and by which evidence.

    :param fingerprint: hash of the request's account, target and body.
    :param remaining_s: time until it expires, in seconds.
    :param death_hashes: a hash of each death of a backend server that happened while
        it ran the request.
    :param quarantined: whether it is quarantined; else it is a suspect.
    :param observer: id of the node that saw the last of these deaths.
    :param cleared: whether it has completed since, so that these deaths don't count.
    """

    fingerprint: str
    remaining_s: float
    death_hashes: tuple[str, ...]
    quarantined: bool
    observer: str = ""
    cleared: bool = False


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
    observer: str = ""


@attrs.define
class _Evidence:
    """Why a request is or was quarantined; kept for a time after the end."""

    digest: int
    death_hashes: set[str] = attrs.field(factory=set)
    observer: str = ""
    # The peer that told of it; empty when this node saw the last death.
    told_by: str = ""

    def holds(self, death_hashes: set[str]) -> bool:
        """Return whether deaths are known; beyond the limit, all count as known."""
        known = self.death_hashes
        return death_hashes <= known or len(known) >= MAX_DEATHS


@attrs.define
class _Clearance:
    """Deaths that a request did not cause, until a monotonic time, in seconds."""

    until_s: float
    death_hashes: set[str] = attrs.field(factory=set)


@attrs.define
class Quarantine:
    """
    Tracks which requests are quarantined, and which are suspects.

    When a backend server dies, all requests that were running on it become suspects.
    A suspect may not run on the same server as another suspect, so that a second death
    identifies the cause: a request is quarantined after two distinct deaths. Times are
    monotonic, in seconds.

    The same evidence never extends a quarantine, and begins none anew, so that what
    nodes repeat to each other ends.

    :param node_id: this node's id, as the observer of the deaths that it records.
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
    _on_clearance: Callable[[], None] | None = None
    node_id: str = attrs.field(default="", kw_only=True)
    # Of each quarantine, and of those that have ended, by fingerprint.
    _evidence: dict[str, _Evidence] = attrs.field(factory=dict)
    # Deaths that a request has been cleared of, by fingerprint, the oldest first.
    _cleared: dict[str, _Clearance] = attrs.field(factory=dict)
    # Fingerprints of the clearances that have not been taken for the peers yet.
    _new_clearances: dict[str, None] = attrs.field(factory=dict)
    # When quarantines ended whose evidence is kept, by fingerprint, the oldest first.
    _ended_s: dict[str, float] = attrs.field(factory=dict)

    def set_listener(self, on_update: Callable[[], None]) -> None:
        """Set the callback for when :meth:`take_updates` has entries for the peers."""
        self._on_update = on_update

    def set_clearance_listener(self, on_clearance: Callable[[], None]) -> None:
        """Set the callback for when :meth:`take_clearances` has fingerprints."""
        self._on_clearance = on_clearance

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Return the remaining quarantine of a request; 0 when not quarantined."""
        return max(0.0, self._quarantined_until_s.get(fingerprint, 0.0) - now)

    def source(self, fingerprint: str) -> str:
        """Return which node saw the deaths, and which told this one, for the log."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return "unknown"
        if not evidence.told_by:
            return f"node {evidence.observer or self.node_id}"
        return f"node {evidence.observer}, told by node {evidence.told_by}"

    def digest(self, now: float) -> int:
        """Return a hash of the set of quarantined requests; 0 if there are none."""
        digest = 0
        for fingerprint, until_s in self._quarantined_until_s.items():
            if until_s > now:
                digest ^= self._evidence[fingerprint].digest
        return digest

    def record(self, fingerprint: str, now: float) -> QuarantineRecord | None:
        """Return what is known of a request; None if it is neither of both."""
        remaining_s = self.remaining_s(fingerprint, now)
        if remaining_s > 0:
            evidence = self._evidence[fingerprint]
            deaths = tuple(sorted(evidence.death_hashes))
            return QuarantineRecord(
                fingerprint, remaining_s, deaths, True, evidence.observer
            )
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until_s <= now:
            return None
        deaths = tuple(sorted(suspect.death_hashes))
        remaining_s = suspect.until_s - now
        return QuarantineRecord(
            fingerprint, remaining_s, deaths, False, suspect.observer
        )

    def records_after(
        self, fingerprint: str, count: int, now: float
    ) -> tuple[QuarantineRecord, ...]:
        """
        Return the records that follow a fingerprint, in their order.

        :param fingerprint: the last one before them; empty for the first ones.
        :param count: how many at most.
        """
        known = (*self._quarantined_until_s, *self._suspects)
        following = heapq.nsmallest(count, {f for f in known if f > fingerprint})
        return tuple(filter(None, (self.record(f, now) for f in following)))

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
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is not None:
            until_s = suspect.until_s + CLEARANCE_AFTER_S
            self._add_clearance(fingerprint, suspect.death_hashes, until_s)
            self._new_clearances[fingerprint] = None
            if len(self._new_clearances) > MAX_PENDING_UPDATES:
                del self._new_clearances[next(iter(self._new_clearances))]
            if self._on_clearance is not None:
                self._on_clearance()

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
        self.merge_record(entry.as_record(), now)

    def merge_record(
        self, record: QuarantineRecord, now: float, sender: str = ""
    ) -> bool:
        """
        Merge what another node knows of a request.

        :param sender: the node that told of it.
        :returns: whether it was news.
        """
        self._expire(now)
        deaths = set(record.death_hashes[:MAX_DEATHS])
        if record.cleared:
            return self._merge_clearance(record.fingerprint, deaths, now)
        cleared = self._cleared.get(record.fingerprint)
        if cleared is not None and deaths & cleared.death_hashes:
            record = _without(record, cleared.death_hashes)
            if not record.death_hashes:
                return False
            deaths = set(record.death_hashes)
        longest_s = QUARANTINE_TTL_S if record.quarantined else SUSPICION_TTL_S
        if not record.remaining_s > 0:
            return False
        until_s = now + min(record.remaining_s, longest_s)
        evidence = self._evidence.get(record.fingerprint)
        if evidence is not None and evidence.holds(deaths):
            if record.quarantined and self.remaining_s(record.fingerprint, now) > 0:
                known_s = self._quarantined_until_s[record.fingerprint]
                self._quarantined_until_s[record.fingerprint] = min(known_s, until_s)
            return False
        if not record.quarantined:
            return self._merge_suspicion(record, deaths, until_s, now, sender)
        known_s = self._quarantined_until_s.get(record.fingerprint, 0.0)
        self._quarantine(
            record.fingerprint, max(until_s, known_s), deaths, record.observer, sender
        )
        return True

    def _merge_suspicion(
        self,
        record: QuarantineRecord,
        deaths: set[str],
        until_s: float,
        now: float,
        sender: str,
    ) -> bool:
        if self.remaining_s(record.fingerprint, now) > 0:
            return False
        known = self._suspects.get(record.fingerprint)
        if known is not None and deaths <= known.death_hashes:
            return False
        suspect = self._update_suspect(record.fingerprint, until_s, now)
        suspect.death_hashes |= deaths
        suspect.observer = record.observer
        if len(suspect.death_hashes) >= DEATHS_TO_QUARANTINE:
            # As long after this death as at the node that saw it.
            self._quarantine(
                record.fingerprint,
                until_s + QUARANTINE_TTL_S - SUSPICION_TTL_S,
                suspect.death_hashes,
                record.observer,
                sender,
            )
        return True

    def _add_clearance(
        self, fingerprint: str, deaths: set[str], until_s: float
    ) -> None:
        known = self._cleared.pop(fingerprint, None) or _Clearance(until_s)
        known.until_s = max(until_s, known.until_s)
        if len(known.death_hashes) < MAX_DEATHS:
            known.death_hashes |= deaths
        self._cleared[fingerprint] = known
        while len(self._cleared) > MAX_SUSPECTS:
            del self._cleared[next(iter(self._cleared))]

    def _merge_clearance(self, fingerprint: str, deaths: set[str], now: float) -> bool:
        known = self._cleared.get(fingerprint)
        if known is not None and deaths <= known.death_hashes:
            return False
        self._add_clearance(fingerprint, deaths, now + CLEARANCE_AFTER_S)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.death_hashes -= deaths
            if not suspect.death_hashes:
                del self._suspects[fingerprint]
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not deaths & evidence.death_hashes:
            return True
        if len(evidence.death_hashes - deaths) < DEATHS_TO_QUARANTINE:
            self._quarantined_until_s.pop(fingerprint, None)
            self._ended_s.pop(fingerprint, None)
            del self._evidence[fingerprint]
        return True

    def take_clearances(self) -> tuple[str, ...]:
        """Return the fingerprints that were cleared since the last call."""
        fingerprints = tuple(self._new_clearances)
        self._new_clearances.clear()
        return fingerprints

    def clearance(self, fingerprint: str) -> QuarantineRecord | None:
        """Return the deaths that a request has been cleared of, if any."""
        cleared = self._cleared.get(fingerprint)
        if cleared is None:
            return None
        deaths = tuple(sorted(cleared.death_hashes))
        return QuarantineRecord(
            fingerprint, CLEARANCE_AFTER_S, deaths, False, self.node_id, cleared=True
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
        suspect.observer = self.node_id
        if len(suspect.death_hashes) >= DEATHS_TO_QUARANTINE:
            self._quarantine(
                fingerprint, now + QUARANTINE_TTL_S, suspect.death_hashes, self.node_id
            )
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

    def _quarantine(
        self,
        fingerprint: str,
        until_s: float,
        death_hashes: set[str],
        observer: str,
        told_by: str = "",
    ) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantined_until_s[fingerprint] = until_s
        self._quarantined_until_s.move_to_end(fingerprint)
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            evidence = _Evidence(xxhash.xxh64_intdigest(fingerprint.encode()) >> 1)
            self._evidence[fingerprint] = evidence
        evidence.death_hashes |= death_hashes
        evidence.observer, evidence.told_by = observer, told_by
        self._ended_s.pop(fingerprint, None)
        while len(self._quarantined_until_s) > MAX_QUARANTINED:
            evicted, _ = self._quarantined_until_s.popitem(last=False)
            del self._evidence[evicted]

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
            self._ended_s[fingerprint] = now
        while self._cleared and next(iter(self._cleared.values())).until_s <= now:
            del self._cleared[next(iter(self._cleared))]
        while self._ended_s:
            fingerprint, ended_s = next(iter(self._ended_s.items()))
            is_old = now - ended_s >= EVIDENCE_RETENTION_S
            if not is_old and len(self._ended_s) <= MAX_QUARANTINED:
                return
            del self._ended_s[fingerprint], self._evidence[fingerprint]


def _without(record: QuarantineRecord, cleared: set[str]) -> QuarantineRecord:
    """Return a record without the deaths that its request has been cleared of."""
    deaths = tuple(d for d in record.death_hashes if d not in cleared)
    quarantined = record.quarantined and len(deaths) >= DEATHS_TO_QUARANTINE
    return attrs.evolve(record, death_hashes=deaths, quarantined=quarantined)
