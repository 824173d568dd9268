"""
Estimate of a backend server's load: its last report plus this node's dispatches.

Reports arrive late and at intervals. Without the correction a node would send all its
requests between two reports to the same backend server.
"""

import collections
import itertools
import math

import attrs

from tanagerkeel.gateways.engines import LoadReport

__all__ = ["Dispatch", "DispatchProgress", "Load", "LoadEstimate"]

# Limits for each backend server, which bound the memory used.
MAX_OPEN_DISPATCHES = 1_024
MAX_ENDED_DISPATCHES = 256
REPORT_STALE_S = 10.0


@attrs.frozen
class Dispatch:
    """
    A request that this node sent to a backend server.

    :param backend: name of the backend server.
    :param attempt_id: id of the attempt, unique among this node's dispatches.
    :param prompt_tokens: tokens to prefill.
    :param memory_tokens: maximum KV cache memory that it can need, in tokens.
    :param urgent: whether it has the priority of short requests.
    :param blocks: chained hashes of the prompt's first prefix blocks.
    :param sent_s: monotonic time of the dispatch, in seconds.
    """

    backend: str
    attempt_id: str
    prompt_tokens: int
    memory_tokens: int
    urgent: bool
    blocks: tuple[int, ...]
    sent_s: float


@attrs.define
class DispatchProgress:
    """
    The progress of a dispatch; times are monotonic, in seconds.

    :param dispatch: the request, as it was sent.
    :param uncached_tokens: prompt tokens that the engine has to prefill.
    :param ahead_tokens: prompt tokens that wait before it, by the highest estimate or
        report until its first token.
    :param first_token_s: when its first token arrived, or None.
    :param ended_s: when it ended, or None.
    """

    dispatch: Dispatch
    uncached_tokens: int
    ahead_tokens: float
    first_token_s: float | None = None
    ended_s: float | None = None

    def is_waiting(self, at_s: float) -> bool:
        """Return whether its prompt was waiting for prefill at a time."""
        if not self.is_running(at_s):
            return False
        return self.first_token_s is None or at_s < self.first_token_s

    def is_running(self, at_s: float) -> bool:
        """Return whether it was on the backend server at a time."""
        if at_s < self.dispatch.sent_s:
            return False
        return self.ended_s is None or at_s < self.ended_s


@attrs.frozen
class Load:
    """
    The estimated load of a backend server.

    :param urgent_tokens: prompt tokens that wait with the priority of short requests.
    :param waiting_tokens: prompt tokens that wait with any priority.
    :param running: number of requests on the backend server.
    :param own_long_requests: number of those that are long requests of this node.
    :param memory_used_tokens: KV cache memory in use, in tokens.
    """

    urgent_tokens: float
    waiting_tokens: float
    running: int
    own_long_requests: int
    memory_used_tokens: int


@attrs.define
class LoadEstimate:
    """
    Estimates the load of one backend server; times are monotonic, in seconds.

    The estimate is the last report plus, for each of this node's dispatches, the load
    that it adds now minus the load that it added when the report was measured. Waiting
    tokens in the report also decrease with the prefill rate.
    """

    _report: LoadReport | None = None
    _measured_s: float = 0.0
    _open: dict[str, DispatchProgress] = attrs.field(factory=dict)
    _ended: collections.deque[DispatchProgress] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_ENDED_DISPATCHES)
    )

    @property
    def report(self) -> LoadReport | None:
        """The last report, however old, or None."""
        return self._report

    @property
    def measured_s(self) -> float:
        """When the last report was measured."""
        return self._measured_s

    @property
    def open_count(self) -> int:
        """Number of this node's dispatches that have not ended."""
        return len(self._open)

    def record_report(self, report: LoadReport, measured_s: float) -> None:
        """Record a report that was measured at ``measured_s``."""
        self._report = report
        self._measured_s = measured_s
        for progress in self._open.values():
            if progress.first_token_s is None:
                progress.ahead_tokens = max(
                    progress.ahead_tokens, report.waiting_tokens
                )
        self._ended = collections.deque(
            (e for e in self._ended if e.ended_s > measured_s),
            maxlen=MAX_ENDED_DISPATCHES,
        )

    def clear_report(self) -> None:
        """Drop the report, because it is of an earlier incarnation."""
        self._report = None
        self._ended.clear()

    def record_dispatch(self, progress: DispatchProgress) -> None:
        """Record a dispatch; drops the oldest open one over the limit."""
        if len(self._open) >= MAX_OPEN_DISPATCHES:
            self._open.pop(next(iter(self._open)))
        self._open[progress.dispatch.attempt_id] = progress

    def record_first_token(
        self, attempt_id: str, now: float
    ) -> DispatchProgress | None:
        """Record the first token; return None if unknown or recorded before."""
        progress = self._open.get(attempt_id)
        if progress is None or progress.first_token_s is not None:
            return None
        progress.first_token_s = now
        return progress

    def record_end(self, attempt_id: str, now: float) -> DispatchProgress | None:
        """Record that a dispatch ended; return None if it is unknown."""
        progress = self._open.pop(attempt_id, None)
        if progress is not None:
            progress.ended_s = now
            self._ended.append(progress)
        return progress

    def estimate(self, now: float, prefill_rate: float) -> Load:
        """
        Return the estimated load at ``now``.

        :param now: monotonic time, in seconds.
        :param prefill_rate: the engine's rate since the report, in tokens per second.
        """
        report = self._report
        is_known = report is not None and now - self._measured_s <= REPORT_STALE_S
        measured_s = self._measured_s if is_known else -math.inf
        totals = _DispatchTotals()
        for progress in itertools.chain(self._open.values(), self._ended):
            totals.add(progress, now, measured_s)
        if not is_known:
            return totals.own_load()
        prefilled = prefill_rate * max(0.0, now - measured_s)
        return totals.corrected(report, prefilled)


@attrs.define
class _WaitingTokens:
    """
    Prompt tokens of this node's dispatches, by whether the report includes them.

    :param unreported: waiting now, and not in the report.
    :param reported_waiting: in the report, and still waiting.
    :param reported_done: in the report, and prefilled since.
    """

    unreported: float = 0.0
    reported_waiting: float = 0.0
    reported_done: float = 0.0

    @property
    def waiting_now(self) -> float:
        return self.unreported + self.reported_waiting

    def add(self, tokens: float, is_waiting: bool, is_reported: bool) -> None:
        if not is_reported:
            self.unreported += tokens * is_waiting
        elif is_waiting:
            self.reported_waiting += tokens
        else:
            self.reported_done += tokens

    def corrected(self, reported: float, prefilled: float) -> float:
        # Of the reported tokens, the engine has prefilled as many as it had time for,
        # and at least those of this node's dispatches that have their first token.
        remaining = reported - max(prefilled, self.reported_done)
        return max(self.reported_waiting, remaining) + self.unreported


@attrs.define
class _DispatchTotals:
    """Totals of this node's dispatches, now and when the report was measured."""

    urgent: _WaitingTokens = attrs.field(factory=_WaitingTokens)
    long: _WaitingTokens = attrs.field(factory=_WaitingTokens)
    running: int = 0
    own_long_requests: int = 0
    memory: int = 0
    reported_running: int = 0
    reported_memory: int = 0

    def add(self, progress: DispatchProgress, now: float, measured_s: float) -> None:
        dispatch = progress.dispatch
        waiting = self.urgent if dispatch.urgent else self.long
        waiting.add(
            progress.uncached_tokens,
            progress.is_waiting(now),
            progress.is_waiting(measured_s),
        )
        if progress.is_running(now):
            self.running += 1
            self.own_long_requests += not dispatch.urgent
            self.memory += dispatch.memory_tokens
        if progress.is_running(measured_s):
            self.reported_running += 1
            self.reported_memory += dispatch.memory_tokens

    def own_load(self) -> Load:
        return Load(
            urgent_tokens=self.urgent.waiting_now,
            waiting_tokens=self.urgent.waiting_now + self.long.waiting_now,
            running=self.running,
            own_long_requests=self.own_long_requests,
            memory_used_tokens=self.memory,
        )

    def corrected(self, report: LoadReport, prefilled: float) -> Load:
        reported = float(report.waiting_tokens)
        # The report counts tokens of any priority; those of this node's long requests
        # are subtracted.
        own_long = self.long.reported_waiting + self.long.reported_done
        all_waiting = _WaitingTokens(
            unreported=self.urgent.unreported + self.long.unreported,
            reported_waiting=self.urgent.reported_waiting + self.long.reported_waiting,
            reported_done=self.urgent.reported_done + self.long.reported_done,
        )
        running = report.running + self.running - self.reported_running
        memory = report.memory_used_tokens + self.memory - self.reported_memory
        return Load(
            urgent_tokens=self.urgent.corrected(reported - own_long, prefilled),
            waiting_tokens=all_waiting.corrected(reported, prefilled),
            running=max(self.running, running),
            own_long_requests=self.own_long_requests,
            memory_used_tokens=max(self.memory, memory),
        )
