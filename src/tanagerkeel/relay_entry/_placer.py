"""Where a request runs: candidates, the wait for one, and what is hopeless."""

from collections.abc import Iterator

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import Belief, Candidate, Placement, choose, yields
from tanagerkeel.relay_entry._admit import ELSEWHERE_S, RETRY_AFTER_S, Refusal
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Placer"]

# A backend server may be found free by the passing of time alone, so a request that
# waits looks again after this time, in seconds.
LOOK_AGAIN_S = 0.05


@attrs.define
class Placer:
    """
    Chooses backend servers for requests.

    :param state: the node's beliefs.
    :param metrics: counters and histograms.
    """

    _state: RelayState
    _metrics: RelayMetrics

    async def place(self, run: RelayRun) -> Placement | Refusal:
        """
        Return where a request runs, once there is room, or why it can't.

        :raises TimeoutError: when its time is over.
        """
        waited = False
        while True:
            now = self._state.clock.monotonic()
            if now >= run.deadline_s:
                raise TimeoutError
            service = run.terms.service.name
            if self._state.backends.out_of_reach(service, now):
                reason = f"no backend server of {service} can be reached from here"
                return Refusal(ResultCode.NO_BACKEND, reason, ELSEWHERE_S)
            candidates, placement = self._choose(run, now)
            if placement is not None and not self._yields(run, placement, now):
                self._placed(run, placement, candidates, now)
                return placement
            if placement is None:
                refusal = self._hopeless(run, candidates, now)
                if refusal is not None:
                    return refusal
            if not waited:
                waited = True
                self._waits(run, placement, candidates, now)
            await self._state.wait_changed(min(LOOK_AGAIN_S, run.deadline_s - now))

    def _waits(
        self, run: RelayRun, placement: Placement | None, candidates: int, now: float
    ) -> None:
        # Without a best engine, none could begin before the caller leaves.
        best = {}
        if placement is not None:
            best = {
                "backend": placement.candidate.server.backend_id,
                "running": len(placement.candidate.works),
                "first_ms": round(placement.estimate.first_ms, 1),
            }
        log(
            LogEvent.RELAY_WAITING,
            request=run.request.request_id,
            candidates=candidates,
            objective_left_ms=round(1_000 * (run.objective_s - now), 1),
            news_age_s=round(self._state.ledger.age_s(now), 3),
            **best,
        )

    def best(self, run: RelayRun) -> Placement | None:
        """Return where a request would run next, without placing it."""
        _, placement = self._choose(run, self._state.clock.monotonic())
        return placement

    def _choose(self, run: RelayRun, now: float) -> tuple[int, Placement | None]:
        candidates = list(self._candidates(run, now))
        demand = run.demand(now, self._state.usual_ms(run.terms.service.name))
        return len(candidates), choose(candidates, demand, now, run.request.request_id)

    def _yields(self, run: RelayRun, placement: Placement, now: float) -> bool:
        if run.events:
            return False
        demand = run.demand(now, 0.0)
        return yields(placement, demand, late=now > run.objective_s)

    def _hopeless(self, run: RelayRun, candidates: int, now: float) -> Refusal | None:
        service = run.terms.service.name
        if not candidates and not run.reply.started:
            reason = f"no backend server of {service} can be used"
            return Refusal(ResultCode.NO_BACKEND, reason, RETRY_AFTER_S)
        if now > run.objective_s and not run.reply.started:
            reason = f"all {candidates} backend servers of {service} are full"
            return Refusal(ResultCode.OVERLOADED, reason, RETRY_AFTER_S)
        return None

    def _candidates(self, run: RelayRun, now: float) -> Iterator[Candidate]:
        works = self._state.ledger.by_backend(now)
        usable = [
            belief
            for belief in self._state.backends.usable(run.terms.service.name, now)
            if belief.server.backend_id not in run.tried
            and not run.avoids(belief.server.backend_id, now)
            and self._state.quarantine.allows(run.fingerprint, belief.server.backend_id)
            and self._warm_enough(run, belief, now)
        ]
        rested = [b for b in usable if b.shunned_until_s <= now]
        if not rested:
            # All failed lately: the one that failed first may be back.
            usable.sort(key=lambda b: b.shunned_until_s)
            rested = [b for b in usable if b.shunned_until_s < float("inf")][:1]
        # A failure domain that may be cut off gets work only if no other one can.
        within = [
            belief
            for belief in rested
            if not self._state.backends.domain_suspected(
                belief.server.failure_domain, now
            )
        ]
        home = self._state.settings.failure_domain
        return (
            Candidate(
                server=belief.server,
                profile=run.terms.service.engine,
                works=works.get(belief.server.backend_id, ()),
                near=belief.server.failure_domain == home,
                cold=belief.cold(now),
                failing=belief.failing(now),
                pace=max(1.0, belief.pace),
            )
            for belief in within or rested
        )

    def _warm_enough(self, run: RelayRun, belief: Belief, now: float) -> bool:
        per_s = run.terms.service.cold_per_s
        if not per_s or not belief.cold(now):
            return True
        nodes = self._state.peers.sharing(now)
        return self._state.cold_shares.open(belief.server.backend_id, per_s, nodes, now)

    def _placed(
        self, run: RelayRun, placement: Placement, candidates: int, now: float
    ) -> None:
        if run.placed_s is None:
            run.placed_s = now
            wait_s = now - run.request.arrived_s
            self._metrics.wait.labels(run.terms.route.name).observe(wait_s)
        asked = run.request.demand
        log(
            LogEvent.RELAY_PLACED,
            request=run.request.request_id,
            route=run.terms.route.name,
            version=run.terms.version,
            account=run.terms.account.name if run.terms.account else None,
            prompt_tokens=asked.prompt_tokens if asked else None,
            backend=placement.candidate.server.backend_id,
            helpers=[h.server.backend_id for h in placement.helpers],
            candidates=candidates,
            running=len(placement.candidate.works),
            first_ms=round(placement.estimate.first_ms, 1),
            loss=round(placement.estimate.loss, 3),
            waited_ms=round(1_000 * (now - run.request.arrived_s), 1),
            left_ms=round(1_000 * (run.deadline_s - now)),
            confirmed_age_s=round(self._state.confirmed_age_s, 2),
            news_age_s=round(self._state.ledger.age_s(now), 3),
            sends=run.sends,
        )
