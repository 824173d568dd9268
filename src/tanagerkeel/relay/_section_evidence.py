"""
What is known of one section of prompts: the crashes it may have caused, and its starts.

A start is a request with the section whose answer began. A crash is the end of a
backend server while a request with the section ran there and its answer had not begun.
A section that crashes every backend server never starts, so only crashes after the last
start count.
"""

from collections.abc import Collection

import attrs

__all__ = ["SAME_OCCASION_S", "START_TTL_S", "SectionEvidence", "SectionReport"]

# Crashes that begin within this time after the first of them, in seconds, count once:
# backend servers that lose power or are stopped together end at the same moment.
SAME_OCCASION_S = 0.2
# Distinct occasions after which a section that never started is quarantined, and one
# that has started. The latter is far more often only beside the cause.
OCCASIONS_WITHOUT_START = 2
OCCASIONS_WITH_START = 4
# Time without a start after which a section counts as one that never started, in
# seconds.
START_TTL_S = 120.0
# Number of crashes from which trials are limited to ``MAX_LATE_TRIALS``. Users bound
# what may be sent after the fifth crash.
LATE_CRASHES = 5
MAX_LATE_TRIALS = 2
# Time from the last crash or trial to the next trial, in seconds, by the number of
# crashes; the last value is for all higher numbers.
TRIAL_DELAYS_S = {2: 5.0, 3: 20.0, 4: 80.0, 5: 320.0}
LAST_TRIAL_DELAY_S = 1_280.0
# The same for a section that has started, until its first late trial.
STARTED_TRIAL_DELAY_S = 1.0
# Limits of the crashes that are kept, and reported, for one section: the first one,
# from which occasions are counted, and the newest.
MAX_CRASHES = 32
MAX_REPORTED_CRASHES = 8
NEVER_S = float("-inf")


@attrs.frozen
class SectionReport:
    """
    The evidence on one section, as nodes exchange it; ages in milliseconds, -1 for
    never.

    :param section: hash of the section's id.
    :param crashes: hash and age of each crash.
    :param start_age_ms: age of the last start.
    :param trial_age_ms: age of the last trial.
    :param late_trials: number of trials after ``LATE_CRASHES`` crashes.
    :param refusal_age_ms: age of the last refusal of a request with the section.
    :param others_started: whether requests without the section have started since its
        first crash.
    """

    section: int
    crashes: tuple[tuple[int, int], ...] = ()
    start_age_ms: int = -1
    trial_age_ms: int = -1
    late_trials: int = 0
    refusal_age_ms: int = -1
    others_started: bool = False

    def refuted_by(self, start_s: float, now: float) -> bool:
        """Return whether a start came after one of the crashes in the report."""
        crashes_s = (now - age_ms / 1_000 for _, age_ms in self.crashes)
        return start_s > min(crashes_s, default=float("inf"))


@attrs.define
class SectionEvidence:
    """
    The evidence on one section; times are monotonic, in seconds.

    :param crashes_s: time of each crash since the last start, by the crash's hash.
    :param start_s: time of the last start.
    :param trial_s: time of the last trial.
    :param late_trials: number of trials after ``LATE_CRASHES`` crashes.
    :param refusal_s: time of the last refusal of a request with the section.
    :param others_started: whether requests without the section have started since its
        first crash. If none has, the crashes say nothing about the section.
    """

    crashes_s: dict[int, float] = attrs.field(factory=dict)
    start_s: float = NEVER_S
    trial_s: float = NEVER_S
    late_trials: int = 0
    refusal_s: float = NEVER_S
    others_started: bool = False

    @property
    def last_change_s(self) -> float:
        """Time of the newest evidence."""
        newest_crash_s = max(self.crashes_s.values(), default=NEVER_S)
        return max(newest_crash_s, self.start_s, self.trial_s, self.refusal_s)

    @property
    def crashed_in_trial(self) -> bool:
        """Whether a crash followed the last trial."""
        newest_crash_s = max(self.crashes_s.values(), default=NEVER_S)
        return newest_crash_s >= self.trial_s > NEVER_S

    @property
    def _is_late(self) -> bool:
        return len(self.crashes_s) >= LATE_CRASHES

    def has_started(self, now: float) -> bool:
        """Return whether a request with the section started within ``START_TTL_S``."""
        return now - self.start_s <= START_TTL_S

    def add_crash(self, crash: int, crashed_s: float) -> bool:
        """Count a crash once; return whether it counts and is new."""
        if crash in self.crashes_s or crashed_s <= self.start_s:
            return False
        self.crashes_s[crash] = crashed_s
        self.crashes_s = _first_and_newest(self.crashes_s, MAX_CRASHES)
        return crash in self.crashes_s

    def add_start(self, started_s: float) -> bool:
        """Count a start; return whether it cleared the section of any crash."""
        self.start_s = max(self.start_s, started_s)
        kept = {c: s for c, s in self.crashes_s.items() if s > self.start_s}
        cleared = len(kept) < len(self.crashes_s)
        self.crashes_s = kept
        if not kept:
            self.late_trials = 0
            self.others_started = False
        return cleared

    def is_blamed(self, now: float, explained: Collection[int] = ()) -> bool:
        """
        Return whether the evidence suffices to quarantine the section.

        :param now: monotonic time, in seconds.
        :param explained: hashes of crashes that another section has caused.
        """
        times_s = (s for c, s in self.crashes_s.items() if c not in explained)
        needed = (
            OCCASIONS_WITH_START if self.has_started(now) else OCCASIONS_WITHOUT_START
        )
        return self.others_started and _occasions(sorted(times_s)) >= needed

    def outweighs(self, other: "SectionEvidence", now: float) -> bool:
        """Return whether crashes of both sections are blamed on this one alone."""
        if self.has_started(now) != other.has_started(now):
            return other.has_started(now)
        return len(self.crashes_s) > len(other.crashes_s)

    def trial_due(self, now: float) -> bool:
        """Return whether one request with the section may be sent as a trial."""
        if self._is_late and self.late_trials >= MAX_LATE_TRIALS:
            return False
        delay_s = TRIAL_DELAYS_S.get(len(self.crashes_s), LAST_TRIAL_DELAY_S)
        if self.has_started(now) and not self.late_trials:
            delay_s = STARTED_TRIAL_DELAY_S
        since_s = max(self.trial_s, max(self.crashes_s.values(), default=NEVER_S))
        return now >= since_s + delay_s

    def record_trial(self, now: float) -> None:
        """Record that a trial is sent."""
        self.trial_s = now
        self.late_trials += self._is_late

    def report(self, section: int, now: float) -> SectionReport:
        """Return the evidence for other nodes."""
        reported = _first_and_newest(self.crashes_s, MAX_REPORTED_CRASHES)
        return SectionReport(
            section,
            tuple((c, _age_ms(s, now)) for c, s in reported.items()),
            _age_ms(self.start_s, now),
            _age_ms(self.trial_s, now),
            self.late_trials,
            _age_ms(self.refusal_s, now),
            self.others_started,
        )

    def merge(self, report: SectionReport, now: float) -> None:
        """Add another node's evidence."""
        for crash, age_ms in report.crashes[:MAX_REPORTED_CRASHES]:
            self.add_crash(crash, now - max(0, age_ms) / 1_000)
        self.trial_s = max(self.trial_s, _time_s(report.trial_age_ms, now))
        self.late_trials = max(self.late_trials, report.late_trials)
        self.refusal_s = max(self.refusal_s, _time_s(report.refusal_age_ms, now))
        self.others_started |= report.others_started
        if report.start_age_ms >= 0:
            self.add_start(_time_s(report.start_age_ms, now))


def _first_and_newest(crashes_s: dict[int, float], limit: int) -> dict[int, float]:
    if len(crashes_s) <= limit:
        return crashes_s
    first, *others = sorted(crashes_s.items(), key=lambda crash: crash[1])
    return dict((first, *others[1 - limit :]))


def _occasions(times_s: list[float]) -> int:
    count, first_s = 0, NEVER_S
    for time_s in times_s:
        if time_s > first_s + SAME_OCCASION_S:
            count, first_s = count + 1, time_s
    return count


def _age_ms(time_s: float, now: float) -> int:
    return -1 if time_s == NEVER_S else max(0, int(1_000 * (now - time_s)))


def _time_s(age_ms: int, now: float) -> float:
    return NEVER_S if age_ms < 0 else now - age_ms / 1_000
