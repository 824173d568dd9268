"""Find the backend servers for an attempt, and the permits to use them."""

import itertools
from collections.abc import Iterator

import attrs

from tanagerkeel.background import Background
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._request_run import RequestRun, Stage
from tanagerkeel.errors import ResultCode
from tanagerkeel.fleet import BackendSnapshot, Permit
from tanagerkeel.requests import ModelRequest
from tanagerkeel.routing import Candidate, GangPlan, NoPlan, Router, SinglePlan

__all__ = ["Placement", "Placer", "snapshots_of"]

PERMIT_TIMEOUT_S = 0.5
PERMIT_RELEASE_BOUND_S = 2.0
# Longest wait for a backend server that takes work, or for a permit.
SHORT_PATIENCE_S = 2.0
# Part of the remaining time spent on waiting for memory, or for a place apart.
PATIENCE_SHARE = 0.5
RETRY_AFTER_S = 1.0
EXPLAINED_CANDIDATES = 4


@attrs.frozen
class Placement:
    """
    Where an attempt runs.

    :param plan: the backend servers.
    :param permits: leave to use those that need one.
    """

    plan: SinglePlan | GangPlan
    permits: tuple[Permit, ...]


def snapshots_of(plan: SinglePlan | GangPlan) -> tuple[BackendSnapshot, ...]:
    """Return the backend servers of a plan; the last one generates."""
    match plan:
        case SinglePlan(chosen=chosen):
            return (chosen.snapshot,)
        case GangPlan(segments=segments):
            return tuple(segment.snapshot for segment in segments)


@attrs.define
class Placer:
    """
    Places attempts.

    :param context: the node's gateways, state and instruments.
    :param router: plans attempts.
    :param background: takes over clean-up.
    """

    _context: NodeContext
    _router: Router
    _background: Background

    async def place(self, run: RequestRun) -> Placement:
        """
        Return where the next attempt of a request runs.

        :raises TanagerkeelError: when it can't run within the time it may wait.
        """
        clock = self._context.clock
        started_s = clock.monotonic()
        unpermitted: set[str] = set()
        for tries in itertools.count(1):
            self.check_quarantine(run)
            found = await self._try(run, unpermitted)
            match found:
                case Placement():
                    self._explain(run, found.plan)
                    return found
                case None:
                    continue
                case NoPlan():
                    self._check_patience(run, found, started_s)
            run.stage = Stage.PLACEMENT
            # What failed before may have come back by then.
            unpermitted.clear()
            run.failed.clear()
            await clock.sleep(full_jitter_s(tries, self._context.random))

    def check_quarantine(self, run: RequestRun) -> None:
        """
        Refuse a request that brings down backend servers.

        :raises TanagerkeelError: QUARANTINED.
        """
        now = self._context.clock.monotonic()
        remaining_s = self._context.quarantine.remaining_s(run.request.fingerprint, now)
        if remaining_s > 0:
            raise run.error(ResultCode.QUARANTINED, "", remaining_s)

    def give_back(self, permits: tuple[Permit, ...]) -> None:
        """Give permits back, also for a request that was cancelled."""
        for permit in permits:
            self._background.start(
                "permit release",
                self._context.permits.release(permit),
                PERMIT_RELEASE_BOUND_S,
            )

    async def _try(
        self, run: RequestRun, unpermitted: set[str]
    ) -> Placement | NoPlan | None:
        request = run.request
        now = self._context.clock.monotonic()
        apart = frozenset(self._where_suspects_run(request, now))
        excluded = apart | unpermitted | run.failed
        plan = self._router.plan(request, excluded, now)
        if isinstance(plan, NoPlan):
            if unpermitted:
                return NoPlan(ResultCode.NO_PERMIT, "no permit was granted")
            return plan
        permits = await self._permits(run, plan, unpermitted)
        if permits is None:
            return None
        if self._still_good(request, plan, permits):
            return Placement(plan, permits)
        self.give_back(permits)
        return NoPlan(ResultCode.NO_PERMIT, "the permit lapsed before its use")

    async def _permits(
        self, run: RequestRun, plan: SinglePlan | GangPlan, unpermitted: set[str]
    ) -> tuple[Permit, ...] | None:
        permits: list[Permit] = []
        complete = False
        try:
            for snapshot in snapshots_of(plan):
                if not snapshot.needs_permit:
                    continue
                name = snapshot.server.name
                permit = await self._context.permits.acquire(name, PERMIT_TIMEOUT_S)
                if permit is None:
                    self._note(run, f"no permit for {name}")
                    unpermitted.add(name)
                    return None
                self._note(run, f"permit {permit.permit_id[:8]} for {name}")
                permits.append(permit)
            complete = True
            return tuple(permits)
        finally:
            if not complete:
                self.give_back(tuple(permits))

    def _still_good(
        self,
        request: ModelRequest,
        plan: SinglePlan | GangPlan,
        permits: tuple[Permit, ...],
    ) -> bool:
        # Waiting for permits takes time, in which permits lapse and suspects start.
        now = self._context.clock.monotonic()
        quarantine = self._context.quarantine
        return all(p.expires_s > now for p in permits) and all(
            quarantine.allows(request.fingerprint, s.server.name)
            for s in snapshots_of(plan)
        )

    def _where_suspects_run(self, request: ModelRequest, now: float) -> Iterator[str]:
        quarantine = self._context.quarantine
        if not quarantine.suspected(request.fingerprint):
            return
        for snapshot in self._context.fleet.snapshots(now):
            name = snapshot.server.name
            if not quarantine.allows(request.fingerprint, name):
                yield name

    def _check_patience(
        self, run: RequestRun, refusal: NoPlan, started_s: float
    ) -> None:
        now = self._context.clock.monotonic()
        patience_s = SHORT_PATIENCE_S
        suspected = self._context.quarantine.suspected(run.request.fingerprint)
        lacks_memory = refusal.result is ResultCode.NO_MEMORY
        if lacks_memory or refusal.may_wait or suspected:
            whole_s = run.request.deadline_s - started_s
            patience_s = max(SHORT_PATIENCE_S, whole_s * PATIENCE_SHARE)
        if now - started_s >= patience_s:
            raise run.error(refusal.result, refusal.detail, refusal.retry_after_s)

    def _explain(self, run: RequestRun, plan: SinglePlan | GangPlan) -> None:
        considered = ", ".join(map(_words, plan.considered[:EXPLAINED_CANDIDATES]))
        chosen = " then ".join(s.server.name for s in snapshots_of(plan))
        self._note(
            run,
            f"{len(plan.considered)} candidates: {considered}; chose {chosen} at "
            f"priority {plan.priority}",
        )

    def _note(self, run: RequestRun, text: str) -> None:
        self._context.explanations.note(run.request.request_id, text)


def _words(candidate: Candidate) -> str:
    words = f"{candidate.snapshot.server.name} {candidate.first_token_s:.3f} s"
    return f"{words} ({candidate.note})" if candidate.note else words
