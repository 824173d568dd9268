"""
Places kept for callers that were refused and told when to return.

Load pattern: many are refused in a burst and return while new requests arrive. Who
returns as told goes before new requests of its rank, once, at any node. So that a storm
of retries gains nothing, a request that returns again has no privilege within the
window, and all places together take at most ``RETURN_SHARE`` of the backend servers.
"""

import heapq
import math
from collections.abc import Iterable

import attrs

from tanagerkeel.queueing._return_time import RETURN_SHARE

__all__ = ["KeptPlace", "KeptPlaces"]

# Open and claimed places, own and of peers.
MAX_PLACES = 4_096
# Peers fill the table only up to here; the rest is for this node's own callers.
MAX_PLACES_WITH_PEERS = 3_072
MAX_KEPT_S = 60.0
# A request that has claimed its place gets no other one for this time.
WINDOW_S = 120.0
# What one message takes, in about 1 KB.
MAX_REPORTED = 16
# Messages may be lost, so each change is reported more than once.
MAX_REPORTS_PER_CHANGE = 3
# Interval at which expired places are removed.
EXPIRY_INTERVAL_S = 0.5


@attrs.frozen
class KeptPlace:
    """
    A kept place, as nodes exchange it.

    :param fingerprint: hash of the request's account, target and body.
    :param remaining_ms: time until it expires, in milliseconds.
    :param is_claimed: whether the caller has returned; no node honours it again.
    """

    fingerprint: str
    remaining_ms: float
    is_claimed: bool = False


@attrs.define
class _Place:
    until_s: float
    is_claimed: bool = False
    # Reports of the last change that are still to be made.
    reports_left: int = 0


@attrs.define
class KeptPlaces:
    """
    The places that this node and its peers keep; times are monotonic, in seconds.

    A node that dies loses the places that it has not reported; their callers return as
    new ones.
    """

    _places: dict[str, _Place] = attrs.field(factory=dict)
    # Own places of which peers have not heard often enough.
    _unreported: dict[str, _Place] = attrs.field(factory=dict)
    # Work of own callers that may return, less what was served of it meanwhile.
    _kept_ms: float = 0.0
    _kept_updated_s: float = 0.0
    _expire_due_s: float = 0.0

    def __len__(self) -> int:
        return len(self._places)

    def keep(
        self,
        fingerprint: str,
        until_s: float,
        now: float,
        work_ms: float = 0.0,
        work_ms_per_s: float = 0.0,
    ) -> bool:
        """
        Keep a place for a refused request; return whether it is kept.

        :param fingerprint: hash of the request's account, target and body.
        :param until_s: when it expires; ``MAX_KEPT_S`` from now at the latest.
        :param now: monotonic time.
        :param work_ms: the request's work, in engine milliseconds.
        :param work_ms_per_s: rate of the queue, in engine milliseconds a second; while
            it is 0, for unknown, only the number of places is limited.
        """
        self._expire(now)
        until_s = min(until_s, now + MAX_KEPT_S)
        if until_s <= now or self._live(fingerprint, now) is not None:
            return False
        if len(self._places) >= MAX_PLACES and fingerprint not in self._places:
            return False
        if not self._reserve(work_ms, work_ms_per_s, until_s, now):
            return False
        self._set(fingerprint, _Place(until_s), is_own=True)
        return True

    def claim(self, fingerprint: str, now: float) -> bool:
        """Return whether a place is kept for a request; it can be claimed once."""
        self._expire(now)
        place = self._live(fingerprint, now)
        if place is None or place.is_claimed:
            return False
        self._set(fingerprint, _Place(now + WINDOW_S, is_claimed=True), is_own=True)
        return True

    def reports(self, now: float) -> tuple[KeptPlace, ...]:
        """Return at most ``MAX_REPORTED`` changes for peers, the most urgent first."""
        self._expire(now)
        chosen = heapq.nsmallest(
            MAX_REPORTED,
            self._unreported.items(),
            key=lambda item: (not item[1].is_claimed, -item[1].reports_left),
        )
        for fingerprint, place in chosen:
            place.reports_left -= 1
            if place.reports_left <= 0:
                del self._unreported[fingerprint]
        return tuple(
            KeptPlace(fingerprint, 1_000 * (place.until_s - now), place.is_claimed)
            for fingerprint, place in chosen
            if place.until_s > now
        )

    def merge(self, places: Iterable[KeptPlace], now: float) -> None:
        """Add places that a peer reported; what is claimed stays claimed."""
        self._expire(now)
        for place in places:
            if math.isfinite(place.remaining_ms) and place.remaining_ms > 0.0:
                self._merge_one(place, now)

    def _merge_one(self, reported: KeptPlace, now: float) -> None:
        fingerprint = reported.fingerprint
        limit_s = WINDOW_S if reported.is_claimed else MAX_KEPT_S
        until_s = now + min(limit_s, reported.remaining_ms / 1_000)
        known = self._live(fingerprint, now)
        if known is not None:
            if known.is_claimed or not reported.is_claimed:
                return
        elif fingerprint not in self._places:
            if len(self._places) >= MAX_PLACES_WITH_PEERS:
                return
        self._set(fingerprint, _Place(until_s, reported.is_claimed), is_own=False)

    def _set(self, fingerprint: str, place: _Place, is_own: bool) -> None:
        self._places[fingerprint] = place
        self._unreported.pop(fingerprint, None)
        if is_own:
            place.reports_left = MAX_REPORTS_PER_CHANGE
            self._unreported[fingerprint] = place

    def _live(self, fingerprint: str, now: float) -> _Place | None:
        place = self._places.get(fingerprint)
        return place if place is not None and place.until_s > now else None

    def _reserve(
        self, work_ms: float, work_ms_per_s: float, until_s: float, now: float
    ) -> bool:
        if work_ms_per_s <= 0.0:
            return True
        returning_ms_per_s = RETURN_SHARE * work_ms_per_s
        served_ms = returning_ms_per_s * max(0.0, now - self._kept_updated_s)
        kept_ms = max(0.0, self._kept_ms - served_ms)
        self._kept_ms, self._kept_updated_s = kept_ms, now
        if kept_ms + work_ms > returning_ms_per_s * (until_s - now):
            return False
        self._kept_ms += work_ms
        return True

    def _expire(self, now: float) -> None:
        if now < self._expire_due_s:
            return
        self._expire_due_s = now + EXPIRY_INTERVAL_S
        for fingerprint in [f for f, p in self._places.items() if p.until_s <= now]:
            del self._places[fingerprint]
            self._unreported.pop(fingerprint, None)
