"""
Limits on requests per second that backend servers name in their responses.

Load pattern: a backend server in need names a limit for all nodes together, while each
node sees only its own sends. Each node reports its sends to the others at once, and all
pace their sends by the newest one of any node. Nodes that are waiting for the same
moment would send together before the report arrives, so each adds a delay of its own. A
limit has several tracks that are paced independently, as one track could not carry many
requests per second at these delays.
"""

import collections
import heapq
import itertools
import math
import re
from collections.abc import Iterable

import attrs
import xxhash

__all__ = ["RateLimitTable", "SendReport", "parse_rate_limit"]

DECIMAL = re.compile(r"\d{1,9}(\.\d*)?|\.\d+", re.ASCII)
# Share of the limit that is used: reports take some milliseconds to arrive, and nodes
# that can't hear each other pace by themselves.
USED_SHARE = 0.6
# A backend server that names less, in requests per second, is still sent this many: it
# can only say in a response that its limit has ended.
MIN_PER_S = 0.1
# Time between two requests in the same track, in seconds, at the least.
MIN_TRACK_INTERVAL_S = 0.5
MAX_TRACKS = 16
# Longest delay of a node's own, in seconds for each node. A report arrives within it.
STAGGER_S = 0.02
# After the end of a limit none is adopted for this time, in seconds: peers that are not
# told of the end yet still report theirs.
ADOPT_AFTER_END_S = 10.0
# A limit is adopted from the report of a send that is at most this old, in seconds; an
# older one may have ended.
ADOPT_S = 0.5
# Reports of the same send differ by less than this, in seconds.
SAME_SEND_S = 0.05
# For how long sends are reported, in seconds: users bound the requests in such a span.
REPORT_S = 4.0
MAX_REPORTS = 32
# Limit of remembered limits; the one that was named longest ago is dropped.
MAX_LIMITS = 1_024

# Id and start time of a backend server, which identify one run of its process.
Incarnation = tuple[str, int]
# Id and start time of a backend server, its limit in requests per 1,000 s, the track,
# and the send's age in milliseconds. ``ENDED`` instead of the limit: it ended then.
SendReport = tuple[str, int, int, int, int]
ENDED = -1


def parse_rate_limit(value: str) -> float | None:
    """
    Return the requests per second that a header names.

    :returns: None unless the value is a decimal number, without sign or exponent.
    """
    text = value.strip()
    return float(text) if DECIMAL.fullmatch(text) else None


@attrs.define
class _Limit:
    """
    The limit that one incarnation named; times are monotonic, in seconds.

    :param per_s: requests per second over all nodes.
    :param named_s: when it was last named.
    :param tracks_s: time of the newest send of any node, by the number of the track.
    :param own_s: time of this node's newest send, by the number of the track.
    """

    per_s: float
    named_s: float
    tracks_s: dict[int, float] = attrs.field(factory=dict)
    own_s: dict[int, float] = attrs.field(factory=dict)

    @property
    def used_per_s(self) -> float:
        return max(MIN_PER_S, USED_SHARE * self.per_s)

    @property
    def track_count(self) -> int:
        tracks = math.floor(self.used_per_s * MIN_TRACK_INTERVAL_S)
        return min(MAX_TRACKS, max(1, tracks))


@attrs.define
class RateLimitTable:
    """
    The limits of backend servers, by their incarnations.

    An incarnation is the id and the start time of a backend server; another incarnation
    at the address starts without a limit that it did not name itself. Times are
    monotonic, in seconds.

    :param node: this node's id.
    """

    _node: str
    # The limit that was named longest ago first.
    _limits: "collections.OrderedDict[Incarnation, _Limit]" = attrs.field(
        factory=collections.OrderedDict
    )
    # When the limit of an incarnation ended, the latest last.
    _ended_s: "collections.OrderedDict[Incarnation, float]" = attrs.field(
        factory=collections.OrderedDict
    )

    def __len__(self) -> int:
        return len(self._limits)

    def used_per_s(self, incarnation: Incarnation) -> float | None:
        """Return the requests per second that all nodes send; None without a limit."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.used_per_s

    def limit(self, incarnation: Incarnation) -> float | None:
        """Return the requests per second that an incarnation named, if it did."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.per_s

    def record_named(self, incarnation: Incarnation, per_s: float, now: float) -> bool:
        """
        Record that a response named a limit.

        :param per_s: requests per second over all nodes.
        :returns: whether the limit is new or has changed.
        """
        limit = self._limits.get(incarnation)
        changed = limit is None or limit.per_s != per_s
        if limit is None:
            # What was sent just before the limit was named counts as one request.
            limit = self._limits[incarnation] = _Limit(per_s, now, {0: now})
        limit.per_s, limit.named_s = per_s, now
        self._limits.move_to_end(incarnation)
        while len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
        return changed

    def record_not_named(self, incarnation: Incarnation, sent_s: float) -> bool:
        """
        Record that a response named no limit.

        It ends the limit unless its request was sent before the limit was last named:
        the response may then be older.

        :param sent_s: when the request was sent.
        :returns: whether a limit has ended.
        """
        limit = self._limits.get(incarnation)
        if limit is None or sent_s <= limit.named_s:
            return False
        del self._limits[incarnation]
        self._ended_s[incarnation] = sent_s
        while len(self._ended_s) > MAX_LIMITS:
            self._ended_s.popitem(last=False)
        return True

    def carry_over(
        self, known: Incarnation, new: Incarnation, started_s: float
    ) -> None:
        """
        Keep a limit that a new incarnation named before it was known.

        A response names the id of its backend server only, so until the entry of the
        new incarnation arrives, its limit counts for the one that is known.

        :param known: the incarnation that was known until now.
        :param new: the one that replaced it, with the same id.
        :param started_s: when the new one started. Earlier limits are not its own.
        """
        limit = self._limits.get(known)
        if limit is None or limit.named_s < started_s or new in self._limits:
            return
        self._limits[new] = self._limits.pop(known)

    def next_send_s(
        self, incarnation: Incarnation, heard: int, nodes: int, now: float
    ) -> float:
        """
        Return the earliest time of a request to an incarnation, in seconds.

        :param heard: how many nodes pace together: this one and those whose reports
            arrive.
        :param nodes: how many nodes may send, this one included.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return now
        _, next_s = self._earliest_track(incarnation, limit, heard, nodes)
        return max(now, next_s)

    def record_send(
        self, incarnation: Incarnation, heard: int, nodes: int, now: float
    ) -> bool:
        """
        Record that this node sends a request.

        :param heard: how many nodes pace together.
        :param nodes: how many nodes may send.
        :returns: whether it has a limit, so that the send must be reported.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return False
        track, _ = self._earliest_track(incarnation, limit, heard, nodes)
        limit.tracks_s[track] = limit.own_s[track] = now
        return True

    def reports(self, now: float) -> tuple[SendReport, ...]:
        """Return this node's newest sends, and the limits that ended, newest first."""
        sends = (
            (sent_s, incarnation, int(1_000 * limit.per_s), track)
            for incarnation, limit in self._limits.items()
            for track, sent_s in limit.own_s.items()
        )
        ends = ((s, incarnation, ENDED, 0) for incarnation, s in self._ended_s.items())
        recent = (r for r in itertools.chain(sends, ends) if now - r[0] <= REPORT_S)
        return tuple(
            (*incarnation, milli_per_s, track, int(1_000 * (now - time_s)))
            for time_s, incarnation, milli_per_s, track in heapq.nlargest(
                MAX_REPORTS, recent
            )
        )

    def merge(self, reports: Iterable[SendReport], now: float) -> None:
        """
        Add the sends that another node reported.

        This node then also keeps a limit that was not named to it yet, until a response
        to it or to another node names none.
        """
        for backend_id, started_ms, milli_per_s, track, age_ms in reports:
            incarnation = (backend_id, started_ms)
            sent_s = now - max(0, age_ms) / 1_000
            if milli_per_s < 0:
                self.record_not_named(incarnation, sent_s)
            elif 0 <= track < MAX_TRACKS:
                self._merge_send(incarnation, milli_per_s / 1_000, track, sent_s, now)

    def _merge_send(
        self,
        incarnation: Incarnation,
        per_s: float,
        track: int,
        sent_s: float,
        now: float,
    ) -> None:
        ended_s = self._ended_s.get(incarnation, float("-inf"))
        if (
            incarnation not in self._limits
            and now - sent_s <= ADOPT_S
            and now - ended_s > ADOPT_AFTER_END_S
        ):
            self.record_named(incarnation, per_s, sent_s)
        limit = self._limits.get(incarnation)
        if limit is None:
            return
        known_s = limit.tracks_s.get(track, float("-inf"))
        # The same send arrives several times, each after another delay.
        if sent_s > known_s + SAME_SEND_S:
            limit.tracks_s[track] = sent_s

    def _earliest_track(
        self, incarnation: Incarnation, limit: _Limit, heard: int, nodes: int
    ) -> tuple[int, float]:
        # Nodes that don't hear each other divide the limit between them.
        per_s = max(MIN_PER_S / nodes, limit.used_per_s * min(heard, nodes) / nodes)
        interval_s = limit.track_count / per_s
        times = (
            (
                limit.tracks_s.get(track, limit.named_s - interval_s)
                + interval_s
                + self._stagger_s(incarnation, limit, track, nodes),
                track,
            )
            for track in range(limit.track_count)
        )
        next_s, track = min(times)
        return track, next_s

    def _stagger_s(
        self, incarnation: Incarnation, limit: _Limit, track: int, nodes: int
    ) -> float:
        """Return this node's own delay, which differs after each send in the track."""
        if nodes <= 1:
            return 0.0
        last_s = limit.tracks_s.get(track, 0.0)
        key = f"{self._node} {incarnation} {track} {last_s}"
        return STAGGER_S * nodes * xxhash.xxh32_intdigest(key.encode()) / 2**32
