"""
The state of a backend server, from its reports, failed polls and leaving marks.

A server that restarts, returns or becomes much slower is treated as cold and gets its
cold limit, until it has warmed up.
"""

import collections
import enum

import attrs

from tanagerkeel.configuration import BackendServer
from tanagerkeel.fleet._snapshot import BackendState

__all__ = ["BackendLifecycle", "LeavingSource", "concurrency_limit"]

# A server is warm from the first level on, and no longer below the second one. The
# difference prevents flapping.
WARM_LEVEL = 0.999
COOLED_LEVEL = 0.95
# Below this level a server is cold; from this level on it is warming.
COLD_LEVEL = 0.25
# A server that has returned is ramped up over this time, whatever level it reports.
RAMP_S = 10.0
REPORT_STALE_S = 10.0
GONE_AFTER_S = 30.0
MAX_RETIRED_INCARNATIONS = 8
# No effective limit: a warm server limits its concurrency itself by refusing work.
WARM_REQUEST_LIMIT = 1_000


class LeavingSource(enum.StrEnum):
    """Sources that can mark a backend server as leaving."""

    CONFIGURATION = "configuration"
    FAILURE_DOMAIN = "failure domain"
    VM_LIST = "vm list"
    ENGINE = "engine"


def concurrency_limit(
    server: BackendServer, state: BackendState, warm_level: float
) -> int:
    """
    Return how many concurrent requests a backend server may get.

    Until it is fully warm this is its cold limit: an engine that gets more while it is
    partly warm may crash.

    :param server: its entry in the configuration.
    :param state: its stage of life; one that is leaving or gone gets no requests.
    :param warm_level: from 0 (cold) to 1 (warm).
    """
    cold_limit = max(1, server.cold_limit)
    match state:
        case BackendState.WARM:
            return WARM_REQUEST_LIMIT if warm_level >= COOLED_LEVEL else cold_limit
        case BackendState.UNKNOWN | BackendState.COLD | BackendState.WARMING:
            return cold_limit
        case _:
            return 0


@attrs.define
class BackendLifecycle:
    """
    The state of one backend server; times are monotonic, in seconds.

    The state is computed from the recorded evidence whenever it is read. So it also
    changes with time alone, as when reports become stale.
    """

    _incarnation: str = ""
    _warm_level: float = 0.0
    _is_warm: bool = False
    _last_report_s: float | None = None
    _ramp_from_s: float | None = None
    _ramp_due: bool = False
    _failures: int = 0
    _failing_since_s: float = 0.0
    _leaving: set[LeavingSource] = attrs.field(factory=set)
    _retired: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RETIRED_INCARNATIONS)
    )

    @property
    def incarnation(self) -> str:
        """Id of the process that sent the last report; empty before the first."""
        return self._incarnation

    @property
    def warm_level(self) -> float:
        """From 0 (cold) to 1 (warm): the reported level, bounded by the ramp."""
        return self._warm_level

    @property
    def is_leaving(self) -> bool:
        """Whether any source has marked it as leaving."""
        return bool(self._leaving)

    def state(self, now: float) -> BackendState:
        """Return the state at ``now``."""
        if self._is_gone(now):
            return BackendState.GONE
        if self._leaving:
            return BackendState.LEAVING
        if not self._has_fresh_report(now):
            return BackendState.UNKNOWN
        if self._is_warm:
            return BackendState.WARM
        if self._warm_level < COLD_LEVEL:
            return BackendState.COLD
        return BackendState.WARMING

    def is_retired(self, incarnation: str) -> bool:
        """Return whether a newer incarnation has replaced this one."""
        return incarnation in self._retired

    def record_report(
        self, incarnation: str, warm_level: float, leaving: bool, now: float
    ) -> None:
        """
        Record a report of the backend server.

        :param incarnation: id of its process; a new one starts a ramp.
        :param warm_level: the level that it reports, from 0 (cold) to 1 (warm).
        :param leaving: whether it reports that it is leaving.
        :param now: when the report arrived, in seconds.
        """
        if self._is_gone(now):
            self._ramp_due = True
        if self._incarnation and incarnation != self._incarnation:
            self._retired.append(self._incarnation)
            self._ramp_due = True
        self._incarnation = incarnation
        self._failures = 0
        self._last_report_s = now
        self.set_leaving(LeavingSource.ENGINE, leaving)
        if self._ramp_due and not self._leaving:
            self._start_ramp(now)
        self._update_level(warm_level, now)

    def record_unreachable(self, now: float) -> None:
        """Record that it did not answer."""
        if not self._failures:
            self._failing_since_s = now
        self._failures += 1

    def record_slowdown(self, now: float) -> None:
        """Record that its prefill suddenly became much slower."""
        self._start_ramp(now)

    def set_leaving(self, source: LeavingSource, leaving: bool) -> None:
        """Set or clear the leaving mark of one source."""
        if leaving:
            self._leaving.add(source)
            return
        if source in self._leaving:
            self._leaving.remove(source)
            self._ramp_due = True

    def _start_ramp(self, now: float) -> None:
        self._ramp_from_s = now
        self._ramp_due = False
        self._is_warm = False
        self._warm_level = 0.0

    def _update_level(self, reported: float, now: float) -> None:
        level = min(1.0, max(0.0, reported))
        if self._ramp_from_s is not None:
            ramped = (now - self._ramp_from_s) / RAMP_S
            level = min(level, max(0.0, ramped))
            if ramped >= 1:
                self._ramp_from_s = None
        self._warm_level = level
        if level >= WARM_LEVEL:
            self._is_warm = True
        elif level < COOLED_LEVEL:
            self._is_warm = False

    def _has_fresh_report(self, now: float) -> bool:
        if self._last_report_s is None or self._failures:
            return False
        return now - self._last_report_s <= REPORT_STALE_S

    def _is_gone(self, now: float) -> bool:
        return self._failures > 1 and now - self._failing_since_s >= GONE_AFTER_S
