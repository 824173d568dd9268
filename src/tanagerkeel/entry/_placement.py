"""Choose the backend servers for an attempt and acquire permits to use them."""

import itertools
from collections.abc import Iterator

import attrs

from tanagerkeel.background import BackgroundTasks
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._request_run import RequestRun, Stage
from tanagerkeel.errors import ResultCode
from tanagerkeel.fleet import BackendSnapshot, Permit
from tanagerkeel.requests import ModelRequest
from tanagerkeel.routing import Candidate, GangPlan, NoPlan, Router, SinglePlan

__all__ = ["AttemptPlacement", "AttemptPlacer", "plan_snapshots"]

PERMIT_TIMEOUT_S = 0.5
PERMIT_RELEASE_TIMEOUT_S = 2.0
# Maximum wait for a backend server that accepts work, or for a permit.
SHORT_WAIT_S = 2.0
# Maximum wait, as a fraction of the time to the deadline, for engine memory, for an
# engine that is likely to become free, or for a server without another suspect.
LONG_WAIT_FRACTION = 0.5
RETRY_AFTER_S = 1.0
MAX_EXPLAINED_CANDIDATES = 4


@attrs.frozen
class AttemptPlacement:
    """
    The backend servers that an attempt may use.

    :param plan: the plan of the router.
    :param permits: permits for those servers that need one.
    """

    plan: SinglePlan | GangPlan
    permits: tuple[Permit, ...]


def plan_snapshots(plan: SinglePlan | GangPlan) -> tuple[BackendSnapshot, ...]:
    """Return the backend servers of a plan; the last one generates the answer."""
    match plan:
        case SinglePlan(chosen=chosen):
            return (chosen.snapshot,)
        case GangPlan(segments=segments):
            return tuple(segment.snapshot for segment in segments)


@attrs.define
class AttemptPlacer:
    """
    Finds backend servers for attempts, and waits until some accept work.

    :param context: the node's gateways, state and instruments.
    :param router: chooses backend servers for an attempt.
    :param background: runs clean-up that outlasts the request.
    """

    _context: NodeContext
    _router: Router
    _background: BackgroundTasks

    async def place(self, run: RequestRun) -> AttemptPlacement:
        """
        Return the placement of the request's next attempt.

        :raises TanagerkeelError: when none is found within the maximum wait.
        """
        clock = self._context.clock
        started_s = clock.monotonic()
        unpermitted: set[str] = set()
        for tries in itertools.count(1):
            self.check_quarantine(run)
            result = await self._try_place(run, unpermitted)
            match result:
                case AttemptPlacement():
                    self._explain_plan(run, result.plan)
                    return result
                case None:
                    # A permit was refused: plan again without that server.
                    continue
                case NoPlan():
                    self._check_wait(run, result, started_s)
            run.stage = Stage.PLACEMENT
            # Servers that failed before may have recovered after the delay.
            unpermitted.clear()
            run.failed_backends.clear()
            await clock.sleep(full_jitter_s(tries, self._context.random))

    def check_quarantine(self, run: RequestRun) -> None:
        """
        Refuse a quarantined request, which crashed backend servers.

        :raises TanagerkeelError: QUARANTINED.
        """
        now = self._context.clock.monotonic()
        remaining_s = self._context.quarantine.remaining_s(run.request.fingerprint, now)
        if remaining_s > 0:
            raise run.error(ResultCode.QUARANTINED, "", remaining_s)

    def release_permits(self, permits: tuple[Permit, ...]) -> None:
        """Release permits in the background; a cancelled request does not stop it."""
        for permit in permits:
            self._background.start(
                "permit release",
                self._context.permits.release(permit),
                PERMIT_RELEASE_TIMEOUT_S,
            )

    async def _try_place(
        self, run: RequestRun, unpermitted: set[str]
    ) -> AttemptPlacement | NoPlan | None:
        request = run.request
        now = self._context.clock.monotonic()
        with_suspects = frozenset(self._backends_with_suspects(request, now))
        excluded = with_suspects | unpermitted | run.failed_backends
        plan = self._router.plan(request, excluded, now)
        if isinstance(plan, NoPlan):
            if unpermitted:
                return NoPlan(ResultCode.NO_PERMIT, "no permit was granted")
            return plan
        permits = await self._acquire_permits(run, plan, unpermitted)
        if permits is None:
            return None
        if self._still_valid(request, plan, permits):
            return AttemptPlacement(plan, permits)
        self.release_permits(permits)
        return NoPlan(ResultCode.NO_PERMIT, "the permit lapsed before its use")

    async def _acquire_permits(
        self, run: RequestRun, plan: SinglePlan | GangPlan, unpermitted: set[str]
    ) -> tuple[Permit, ...] | None:
        permits: list[Permit] = []
        complete = False
        try:
            for snapshot in plan_snapshots(plan):
                if not snapshot.needs_permit:
                    continue
                name = snapshot.server.name
                permit = await self._context.permits.acquire(name, PERMIT_TIMEOUT_S)
                if permit is None:
                    self._explain(run, f"no permit for {name}")
                    unpermitted.add(name)
                    return None
                self._explain(run, f"permit {permit.permit_id[:8]} for {name}")
                permits.append(permit)
            complete = True
            return tuple(permits)
        finally:
            if not complete:
                self.release_permits(tuple(permits))

    def _still_valid(
        self,
        request: ModelRequest,
        plan: SinglePlan | GangPlan,
        permits: tuple[Permit, ...],
    ) -> bool:
        # While this request waited for permits, other permits may have expired and
        # other suspects may have started on the servers.
        now = self._context.clock.monotonic()
        quarantine = self._context.quarantine
        return all(p.expires_s > now for p in permits) and all(
            quarantine.allows(request.fingerprint, s.server.name)
            for s in plan_snapshots(plan)
        )

    def _backends_with_suspects(
        self, request: ModelRequest, now: float
    ) -> Iterator[str]:
        quarantine = self._context.quarantine
        # A suspect may have caused the death of a backend server. It may not run beside
        # another suspect, so that a further death shows which of them is the cause.
        if not quarantine.suspected(request.fingerprint):
            return
        for snapshot in self._context.fleet.snapshots(now):
            name = snapshot.server.name
            if not quarantine.allows(request.fingerprint, name):
                yield name

    def _check_wait(self, run: RequestRun, refusal: NoPlan, started_s: float) -> None:
        now = self._context.clock.monotonic()
        timeout_s = SHORT_WAIT_S
        suspected = self._context.quarantine.suspected(run.request.fingerprint)
        lacks_memory = refusal.result is ResultCode.NO_MEMORY
        if lacks_memory or refusal.may_wait or suspected:
            until_deadline_s = run.request.deadline_s - started_s
            timeout_s = max(SHORT_WAIT_S, until_deadline_s * LONG_WAIT_FRACTION)
        if now - started_s >= timeout_s:
            raise run.error(refusal.result, refusal.detail, refusal.retry_after_s)

    def _explain_plan(self, run: RequestRun, plan: SinglePlan | GangPlan) -> None:
        considered = ", ".join(
            map(_describe, plan.considered[:MAX_EXPLAINED_CANDIDATES])
        )
        chosen = " then ".join(s.server.name for s in plan_snapshots(plan))
        self._explain(
            run,
            f"{len(plan.considered)} candidates: {considered}; chose {chosen} at "
            f"priority {plan.priority}",
        )

    def _explain(self, run: RequestRun, text: str) -> None:
        self._context.explanations.note(run.request.request_id, text)


def _describe(candidate: Candidate) -> str:
    summary = f"{candidate.snapshot.server.name} {candidate.first_token_s:.3f} s"
    return f"{summary} ({candidate.note})" if candidate.note else summary
