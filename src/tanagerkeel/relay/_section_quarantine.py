"""
Quarantine of prompt sections that crash the engines which answer requests with them.

Load pattern: requests that share a section of their prompts, and otherwise nothing,
arrive at any node, and each ends the engine that runs it, with all other requests
there. It is decided from the crashes of engines while such requests ran there, from the
answers that began, and from the reports of other nodes. The section that a request has
for itself is not considered: the quarantine of whole requests covers it.
"""

import collections
import itertools
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs
import xxhash

from tanagerkeel.relay._fleet_size import SMALL_FLEET_NODES
from tanagerkeel.relay._section_evidence import (
    SAME_OCCASION_S,
    START_TTL_S,
    SectionEvidence,
    SectionReport,
)
from tanagerkeel.rendezvous import rendezvous

__all__ = ["SectionQuarantine", "SectionReport", "StartReport"]

# Limits of the sections with crashes and of the sections with starts that are
# remembered; the least recently changed one is dropped.
MAX_SUSPECTS = 512
MAX_STARTS = 8_192
# Share of the crashes from a section's first to its last one that must be with the
# section. Two sections that crash engines at the same time share them; engines that end
# for other reasons had different sections.
MIN_CRASH_SHARE = 0.3
# Limit of the crashes that are remembered, the newest ones.
MAX_CRASHES = 256
# Time without new evidence or a request with the section after which it is forgotten,
# in seconds.
SUSPECT_TTL_S = 600.0
# A start is reported when no node has reported one of the section for this time, in
# seconds: less than the time for which a start counts.
START_REPORT_INTERVAL_S = 60.0
# The same for refusals, which keep a section in quarantine.
REFUSAL_REPORT_INTERVAL_S = 60.0
# In how many updates new evidence is reported, in case some of them are lost.
REPORT_REPEATS = 3
# Number of nodes that repeat the evidence on a quarantined section in all their
# updates, for nodes that were restarted or cut off.
REPEATING_NODES = 3
# Interval of that, in seconds.
REPEAT_INTERVAL_S = 1.0
# Limits of the reports in one update.
MAX_REPORTS = 8
MAX_START_REPORTS = 16
MAX_PENDING_STARTS = 1_024

# Hash of a section's id, and the age of the start in milliseconds.
StartReport = tuple[int, int]


@attrs.define
class SectionQuarantine:
    """
    Decides which requests are refused for a section of their prompts.

    Requests with a quarantined section are not sent, apart from a few trials. One whose
    answer begins ends the quarantine. Times are monotonic, in seconds.

    :param node: this node's id.
    """

    _node: str
    # By the hash of the section's id, the least recently changed first.
    _suspects: "collections.OrderedDict[int, SectionEvidence]" = attrs.field(
        factory=collections.OrderedDict
    )
    # Times of all crashes, by their hashes, the newest last.
    _crashes_s: "collections.OrderedDict[int, float]" = attrs.field(
        factory=collections.OrderedDict
    )
    # Time of the last start of each section, by the hash of its id.
    _starts_s: "collections.OrderedDict[int, float]" = attrs.field(
        factory=collections.OrderedDict
    )
    # When a start of each section was last reported, by this or another node.
    _start_reports_s: "collections.OrderedDict[int, float]" = attrs.field(
        factory=collections.OrderedDict
    )
    # Starts that are to be reported, by the hash of the section's id.
    _pending_starts: dict[int, float] = attrs.field(factory=dict)
    # In how many more updates the evidence on a section is to be reported.
    _pending_reports: dict[int, int] = attrs.field(factory=dict)
    # When this node next repeats the evidence on quarantined sections.
    _next_repeat_s: float = float("-inf")
    _on_update: Callable[[], None] | None = None

    def set_listener(self, on_update: Callable[[], None]) -> None:
        """Set the callback for when there is new evidence for the peers."""
        self._on_update = on_update

    def quarantined_section(self, sections: Sequence[str], now: float) -> str | None:
        """
        Return a section for which a request must not be sent now; None if there is
        none.

        :param sections: ids of the shared sections of the request's prompt.
        :param now: monotonic time, in seconds.
        """
        blamed = self._blamed(sections, now)
        if not blamed or self._allows_trial(blamed, now):
            return None
        return blamed[0]

    def acquire_send(self, sections: Sequence[str], now: float) -> str | None:
        """
        Count a send if the request may be sent now; else return the section that
        forbids.

        :param sections: ids of the shared sections of the request's prompt.
        :param now: monotonic time, in seconds.
        """
        blamed = self._blamed(sections, now)
        if not blamed:
            return None
        if not self._allows_trial(blamed, now):
            return blamed[0]
        key = _hash(blamed[0])
        self._suspects[key].record_trial(now)
        self._report(key)
        return None

    def may_send_again(self, sections: Sequence[str], now: float) -> bool:
        """
        Return whether a request may be sent again after a crash before its answer.

        That is the case if every shared section has started lately and was in no other
        crash since: then the cause is more likely a request that ran beside it.
        """
        suspects = [self._suspects.get(_hash(section)) for section in sections]
        return all(self._has_started(section, now) for section in sections) and all(
            len(evidence.crashes_s) <= 1 for evidence in suspects if evidence
        )

    def record_refusal(self, section: str, now: float) -> None:
        """Record that a request was refused for a quarantined section."""
        key = _hash(section)
        evidence = self._suspects.get(key)
        if evidence is None:
            return
        report_due = now - evidence.refusal_s > REFUSAL_REPORT_INTERVAL_S
        evidence.refusal_s = now
        self._suspects.move_to_end(key)
        if report_due:
            self._report(key)

    def record_crash(
        self, attempts: Iterable[tuple[str, ...]], crash: str, now: float
    ) -> tuple[str, ...]:
        """
        Record that an engine crashed while answers on it had not begun.

        :param attempts: the shared sections of each request whose answer had not begun.
        :param crash: identifies the crash; the same at all nodes.
        :param now: monotonic time, in seconds.
        :returns: the sections that are quarantined since this crash.
        """
        self._expire(now)
        crash_hash = xxhash.xxh32_intdigest(crash.encode())
        self._put_crash(crash_hash, now)
        quarantined = []
        charged = (s for sections in attempts for s in self._charged(sections, now))
        for section in dict.fromkeys(charged):
            before = self._is_quarantined(_hash(section), now)
            evidence = self._suspect(_hash(section), now)
            if evidence.add_crash(crash_hash, now):
                self._report(_hash(section))
            if not before and self._is_quarantined(_hash(section), now):
                quarantined.append(section)
        return tuple(quarantined)

    def record_start(self, sections: Sequence[str], now: float) -> None:
        """Record that the answer to a request with these shared sections has begun."""
        started = {_hash(section) for section in sections}
        for key, evidence in self._suspects.items():
            if key not in started:
                evidence.others_started |= bool(evidence.crashes_s)
            elif evidence.add_start(now):
                self._report(key)
        for key in started:
            self._put_start(key, now)
            reported_s = self._start_reports_s.get(key, float("-inf"))
            if (
                now - reported_s > START_REPORT_INTERVAL_S
                and len(self._pending_starts) < MAX_PENDING_STARTS
            ):
                self._pending_starts[key] = now

    def take_starts(self, now: float) -> tuple[StartReport, ...]:
        """Return starts of sections that other nodes may not know, each once."""
        taken = dict(list(self._pending_starts.items())[:MAX_START_REPORTS])
        for key in taken:
            del self._pending_starts[key]
            _put_newest(self._start_reports_s, key, now, MAX_STARTS)
        return tuple((key, int(1_000 * (now - s))) for key, s in taken.items())

    def take_reports(
        self, nodes: tuple[str, ...], now: float
    ) -> tuple[SectionReport, ...]:
        """
        Return the evidence for the next update to the peers.

        :param nodes: ids of all nodes, this one included.
        :param now: monotonic time, in seconds.
        """
        repeated: tuple[int, ...] = ()
        if now >= self._next_repeat_s:
            self._next_repeat_s = now + REPEAT_INTERVAL_S
            self._expire(now)
            repeated = self._to_repeat(nodes, now)
        pending = itertools.islice(reversed(self._pending_reports), MAX_REPORTS)
        taken = tuple(dict.fromkeys((*pending, *repeated)))[:MAX_REPORTS]
        for key in taken:
            left = self._pending_reports.pop(key, 0) - 1
            if left > 0:
                self._pending_reports[key] = left
        return tuple(self._suspects[key].report(key, now) for key in taken)

    def repeat_soon(self, nodes: tuple[str, ...], now: float) -> bool:
        """
        Repeat the evidence on quarantined sections in the next update.

        :param nodes: ids of all nodes, this one included.
        :param now: monotonic time, in seconds.
        :returns: whether this node repeats any.
        """
        self._next_repeat_s = now
        return bool(self._to_repeat(nodes, now))

    def merge_starts(self, starts: Iterable[StartReport], now: float) -> None:
        """Add starts that another node reported."""
        for key, age_ms in itertools.islice(starts, MAX_START_REPORTS):
            started_s = now - max(0, age_ms) / 1_000
            self._put_start(key, started_s)
            self._pending_starts.pop(key, None)
            _put_newest(self._start_reports_s, key, now, MAX_STARTS)
            if key in self._suspects:
                self._suspects[key].add_start(started_s)

    def merge_reports(
        self, reports: Iterable[SectionReport], nodes: tuple[str, ...], now: float
    ) -> None:
        """
        Add evidence that another node reported, and answer it with a newer start.

        :param reports: the evidence.
        :param nodes: ids of all nodes, this one included.
        :param now: monotonic time, in seconds.
        """
        self._expire(now)
        for report in itertools.islice(reports, MAX_REPORTS):
            evidence = self._suspect(report.section, now)
            known_start_s = evidence.start_s
            evidence.merge(report, now)
            for crash, crashed_s in evidence.crashes_s.items():
                self._put_crash(crash, crashed_s)
            if report.start_age_ms >= 0:
                self._put_start(report.section, evidence.start_s)
            if report.refuted_by(known_start_s, now) and self._answers(
                report.section, nodes
            ):
                self._report(report.section)

    def quarantined_count(self, now: float) -> int:
        """Return how many sections are quarantined."""
        return sum(self._is_quarantined(key, now) for key in self._suspects)

    def _blamed(self, sections: Sequence[str], now: float) -> tuple[str, ...]:
        if not self._suspects:
            return ()
        return tuple(s for s in sections if self._is_quarantined(_hash(s), now))

    def _is_quarantined(self, key: int, now: float) -> bool:
        evidence = self._suspects.get(key)
        if evidence is None or not self._is_blamed(evidence, now):
            return False
        explained = {
            crash
            for other in self._suspects.values()
            if other is not evidence
            and other.outweighs(evidence, now)
            and self._is_blamed(other, now)
            for crash in other.crashes_s
        }
        return self._is_blamed(evidence, now, explained)

    def _is_blamed(
        self, evidence: SectionEvidence, now: float, explained: Collection[int] = ()
    ) -> bool:
        """Return whether a section is blamed, leaving out explained crashes."""
        if not evidence.is_blamed(now, explained):
            return False
        if evidence.crashed_in_trial:
            return True
        first_s = min(evidence.crashes_s.values())
        # Later ones say nothing: requests with a section in quarantine are not sent.
        last_s = max(evidence.crashes_s.values()) + SAME_OCCASION_S
        crashes = sum(
            first_s <= s <= last_s and c not in explained
            for c, s in self._crashes_s.items()
        )
        own_crashes = sum(c not in explained for c in evidence.crashes_s)
        return own_crashes >= MIN_CRASH_SHARE * crashes

    def _allows_trial(self, blamed: Sequence[str], now: float) -> bool:
        """Return whether a request may test whether its blamed section is sound."""
        return len(blamed) == 1 and self._suspects[_hash(blamed[0])].trial_due(now)

    def _charged(self, sections: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Return the sections of a request that may have caused a crash."""
        return self._blamed(sections, now) or sections

    def _has_started(self, section: str, now: float) -> bool:
        return now - self._starts_s.get(_hash(section), float("-inf")) <= START_TTL_S

    def _suspect(self, key: int, now: float) -> SectionEvidence:
        evidence = self._suspects.get(key)
        if evidence is None:
            evidence = SectionEvidence(start_s=self._starts_s.get(key, float("-inf")))
            self._suspects[key] = evidence
            while len(self._suspects) > MAX_SUSPECTS:
                self._remove(self._least_important(now))
        self._suspects.move_to_end(key)
        return evidence

    def _least_important(self, now: float) -> int:
        """Return the section with the oldest evidence, if possible not a blamed one."""
        unblamed = (k for k, e in self._suspects.items() if not e.is_blamed(now))
        return next(unblamed, next(iter(self._suspects)))

    def _put_crash(self, crash: int, crashed_s: float) -> None:
        if crash not in self._crashes_s:
            _put_newest(self._crashes_s, crash, crashed_s, MAX_CRASHES)

    def _put_start(self, key: int, started_s: float) -> None:
        known_s = self._starts_s.get(key, started_s)
        _put_newest(self._starts_s, key, max(known_s, started_s), MAX_STARTS)

    def _report(self, key: int) -> None:
        self._pending_reports.pop(key, None)
        self._pending_reports[key] = REPORT_REPEATS
        if self._on_update is not None:
            self._on_update()

    def _to_repeat(self, nodes: tuple[str, ...], now: float) -> tuple[int, ...]:
        """Return the quarantined sections whose evidence this node repeats."""
        return tuple(
            key
            for key in self._suspects
            if self._is_quarantined(key, now)
            and self._node in rendezvous(str(key), nodes)[:REPEATING_NODES]
        )

    def _answers(self, key: int, nodes: tuple[str, ...]) -> bool:
        """Return whether this node answers a report if it knows of a newer start."""
        if len(nodes) <= SMALL_FLEET_NODES:
            return True
        return self._node in rendezvous(str(key), nodes)[:REPEATING_NODES]

    def _expire(self, now: float) -> None:
        for key, evidence in list(self._suspects.items()):
            unused = not evidence.crashes_s and key not in self._pending_reports
            if unused or now - evidence.last_change_s > SUSPECT_TTL_S:
                self._remove(key)

    def _remove(self, key: int) -> None:
        del self._suspects[key]
        self._pending_reports.pop(key, None)


def _hash(section: str) -> int:
    return xxhash.xxh64_intdigest(section.encode())


def _put_newest(
    times_s: "collections.OrderedDict[int, float]", key: int, time_s: float, limit: int
) -> None:
    times_s[key] = time_s
    times_s.move_to_end(key)
    while len(times_s) > limit:
        times_s.popitem(last=False)
