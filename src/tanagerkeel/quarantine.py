"""Requests that bring down the backend servers that run them."""

import collections
from collections.abc import Callable

import attrs
import xxhash

__all__ = ["Quarantine", "QuarantineEntry"]

DEATHS_TO_QUARANTINE = 2
QUARANTINE_TTL_S = 600.0
# A suspect that brings down nothing more is forgotten after this time.
SUSPICION_TTL_S = 300.0
MAX_SUSPECTS = 4_096
MAX_QUARANTINED = 4_096
MAX_NEWS = 256
# Suspects told to other nodes for one death, the most recent first.
MAX_SUSPECTS_TOLD = 8


@attrs.frozen
class QuarantineEntry:
    """
    A request that brought down backend servers.

    :param fingerprint: id of its account, model and prompt.
    :param remaining_s: how long this holds, in seconds.
    :param lives: ids of the lives of backend servers that ended while running it,
        for a suspect; empty once it is quarantined.
    """

    fingerprint: str
    remaining_s: float
    lives: tuple[str, ...] = ()


@attrs.frozen
class _Running:
    fingerprint: str
    incarnation: str


@attrs.define
class _Suspect:
    until_s: float
    # Ids of lives of backend servers that ended while they ran it.
    lives: set[str] = attrs.field(factory=set)


@attrs.define
class Quarantine:
    """
    Which requests are refused, and which run only apart from each other.

    A backend server's death makes suspects of all requests that ran there. A
    suspect runs only where no other suspect runs, so that a second death tells
    which of them is to blame. Times are monotonic, in seconds.
    """

    _until_s: "collections.OrderedDict[str, float]" = attrs.field(
        factory=collections.OrderedDict
    )
    _suspects: "collections.OrderedDict[str, _Suspect]" = attrs.field(
        factory=collections.OrderedDict
    )
    # Attempts by backend server, in the order of their start.
    _running: dict[str, dict[str, _Running]] = attrs.field(factory=dict)
    _news: dict[str, QuarantineEntry] = attrs.field(factory=dict)
    _on_news: Callable[[], None] | None = None

    def notify(self, on_news: Callable[[], None]) -> None:
        """Call ``on_news`` whenever there is something for the peers."""
        self._on_news = on_news

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Return how long a request stays quarantined; 0 when it isn't."""
        return max(0.0, self._until_s.get(fingerprint, 0.0) - now)

    def suspected(self, fingerprint: str) -> bool:
        """Return whether a request runs only apart from other suspects."""
        return fingerprint in self._suspects

    def running(self, backend: str) -> int:
        """Return how many attempts of this node run on a backend server."""
        return len(self._running.get(backend, ()))

    def allows(self, fingerprint: str, backend: str) -> bool:
        """Return whether a request may run beside what runs on a backend server."""
        if fingerprint not in self._suspects:
            return True
        return not any(
            other.fingerprint in self._suspects
            for other in self._running.get(backend, {}).values()
        )

    def started(
        self, backend: str, attempt_id: str, fingerprint: str, incarnation: str = ""
    ) -> None:
        """Take in that an attempt runs on a backend server."""
        attempts = self._running.setdefault(backend, {})
        attempts[attempt_id] = _Running(fingerprint, incarnation)

    def ended(self, backend: str, attempt_id: str) -> None:
        """Take in that an attempt no longer runs."""
        attempts = self._running.get(backend, {})
        attempts.pop(attempt_id, None)
        if not attempts:
            self._running.pop(backend, None)

    def cleared(self, fingerprint: str) -> None:
        """Take in that a request was carried out: it brings nothing down."""
        self._suspects.pop(fingerprint, None)

    def died(
        self, backend: str, now: float, incarnation: str | None = None
    ) -> tuple[str, ...]:
        """
        Blame the requests that run on a backend server that died.

        The same death may be told several times; it counts once.

        :param incarnation: blame only what ran on this one; all when None.
        :returns: fingerprints that are quarantined from now on.
        """
        attempts = (
            attempt
            for attempt in self._running.get(backend, {}).values()
            if incarnation in (None, attempt.incarnation)
        )
        blamed = tuple(reversed(tuple(attempts)))
        found = []
        for place, attempt in enumerate(blamed):
            life = xxhash.xxh32_hexdigest(f"{backend} {attempt.incarnation}".encode())
            if self._blame(attempt.fingerprint, life, now, place < MAX_SUSPECTS_TOLD):
                found.append(attempt.fingerprint)
        return tuple(found)

    def learn(self, entry: QuarantineEntry, now: float) -> None:
        """Take in another node's word."""
        until_s = now + entry.remaining_s
        if entry.lives and self.remaining_s(entry.fingerprint, now) > 0:
            return
        if entry.lives:
            suspect = self._suspect(entry.fingerprint, until_s, now)
            suspect.lives.update(entry.lives)
            if len(suspect.lives) < DEATHS_TO_QUARANTINE:
                return
        self._quarantine(
            entry.fingerprint, max(until_s, self._until_s.get(entry.fingerprint, 0.0))
        )

    def take_news(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return what this node found out since the last call, for its peers."""
        news = tuple(self._news.values())
        self._news.clear()
        return news

    def _blame(self, fingerprint: str, life: str, now: float, told: bool) -> bool:
        if self.remaining_s(fingerprint, now) > 0:
            return False
        suspect = self._suspect(fingerprint, now + SUSPICION_TTL_S, now)
        if life in suspect.lives:
            return False
        suspect.lives.add(life)
        if len(suspect.lives) >= DEATHS_TO_QUARANTINE:
            self._quarantine(fingerprint, now + QUARANTINE_TTL_S)
            self._tell(QuarantineEntry(fingerprint, QUARANTINE_TTL_S))
            return True
        if told:
            lives = tuple(suspect.lives)
            self._tell(QuarantineEntry(fingerprint, SUSPICION_TTL_S, lives))
        return False

    def _suspect(self, fingerprint: str, until_s: float, now: float) -> _Suspect:
        self._forget(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect(until_s))
        suspect.until_s = max(until_s, suspect.until_s)
        self._suspects.move_to_end(fingerprint)
        return suspect

    def _quarantine(self, fingerprint: str, until_s: float) -> None:
        self._suspects.pop(fingerprint, None)
        self._until_s[fingerprint] = until_s
        self._until_s.move_to_end(fingerprint)
        while len(self._until_s) > MAX_QUARANTINED:
            self._until_s.popitem(last=False)

    def _tell(self, entry: QuarantineEntry) -> None:
        self._news.pop(entry.fingerprint, None)
        self._news[entry.fingerprint] = entry
        while len(self._news) > MAX_NEWS:
            del self._news[next(iter(self._news))]
        if self._on_news is not None:
            self._on_news()

    def _forget(self, now: float) -> None:
        while len(self._suspects) >= MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        for fingerprint in [f for f, s in self._suspects.items() if s.until_s <= now]:
            del self._suspects[fingerprint]
        for fingerprint in [f for f, u in self._until_s.items() if u <= now]:
            del self._until_s[fingerprint]
