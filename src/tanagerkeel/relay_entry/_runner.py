"""The way of a request: admit, place, send, and send again where that is allowed."""

import asyncio
import math
import random
from collections.abc import Iterator

import attrs

from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool, NoConnection
from tanagerkeel.relay import (
    BackendServer,
    Belief,
    CallerRequest,
    Candidate,
    Mishap,
    Placement,
    Work,
    choose,
)
from tanagerkeel.relay_entry._admit import ELSEWHERE_S, Refusal, admit
from tanagerkeel.relay_entry._attempt import Attempt
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._outcomes import (
    Answered,
    Delivered,
    Lost,
    NoMemory,
    NotRun,
    NotSent,
    Outcome,
)
from tanagerkeel.relay_entry._protocols import BackendCodec, CallerReply, Helper
from tanagerkeel.relay_entry._refusals import send_refusal
from tanagerkeel.relay_entry._reservations import Reservation, Reservations
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayRunner"]

# A backend server may be found free by the passing of time alone, so a request that
# waits looks again after this time, in seconds.
LOOK_AGAIN_S = 0.05
# Connections that come up fail at once when a process has died: so many backend
# servers may be tried without having sent anything.
MAX_UNSENT = 8
# A node that has just started has the configuration within this time, in seconds: a
# listing takes one call, which is answered in milliseconds.
FIRST_CONFIGURATION_S = 0.25
# How long a broken send still counts as running for the blame of a death that is
# found out later, in seconds.
BLAME_S = 2.0
# When coming back helps although nothing is known of it, in seconds.
RETRY_AFTER_S = 0.3
# A node answers with these when a backend server may have run the request.
UNSURE_STATUSES = (502, 504)
# Each of these promises that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.define
class RelayRunner:
    """
    Carries requests from callers to backend servers.

    :param state: the node's beliefs.
    :param pool: connections to backend servers.
    :param codec: speaks to backend servers.
    :param news: tells the peers.
    :param metrics: counters and histograms.
    :param random: source of randomness.
    """

    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _news: NewsTask
    _metrics: RelayMetrics
    _random: random.Random
    _open: int = 0
    _probes: set[asyncio.Task] = attrs.field(factory=set)
    _reservations: Reservations = attrs.field()

    @_reservations.default
    def _make_reservations(self) -> Reservations:
        return Reservations(self._pool, self._codec)

    @property
    def open_requests(self) -> int:
        """Requests that have no final answer yet."""
        return self._open

    async def serve(
        self, request: CallerRequest, body: bytes, reply: CallerReply
    ) -> None:
        """
        Answer one request.

        :param request: the request, without its body.
        :param body: its whole body.
        :param reply: where the answer goes.
        """
        self._open += 1
        try:
            await self._serve(request, body, reply)
        except asyncio.CancelledError:
            self._metrics.results.labels("caller_gone").inc()
            log(LogEvent.CALLER_GONE, request=request.request_id)
            raise
        finally:
            self._open -= 1

    async def _serve(
        self, request: CallerRequest, body: bytes, reply: CallerReply
    ) -> None:
        await self._until_configured()
        terms = admit(request, self._state)
        if isinstance(terms, Refusal):
            await self._refuse(request, reply, terms)
            return
        timeout_ms = terms.route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        deadline_s = request.arrived_s + timeout_ms / 1_000
        run = RelayRun(request, body, reply, terms, deadline_s)
        now = self._state.clock.monotonic()
        held_s = self._state.quarantine.remaining_s(run.fingerprint, now)
        if held_s > 0:
            reason = f"backend servers died of it, held back for {held_s:.0f} s"
            refusal = Refusal(ResultCode.HELD_BACK, reason)
            await self._refuse(request, reply, refusal)
            return
        self._state.retry_share(terms.service.name).count_request(now)
        try:
            await self._until_answered(run)
        except TimeoutError:
            await self._give_up(run, run.timeout_code(), "its time is over")

    async def _until_configured(self) -> None:
        """Wait for the first configuration: the caller may have no other try left."""
        until_s = self._state.clock.monotonic() + FIRST_CONFIGURATION_S
        while self._state.configuration is None:
            left_s = until_s - self._state.clock.monotonic()
            if left_s <= 0:
                return
            await self._state.wait_changed(left_s)

    async def _until_answered(self, run: RelayRun) -> None:
        unsent = 0
        while True:
            placement = await self._place(run)
            if isinstance(placement, Refusal):
                await self._give_up(run, placement.code, placement.reason, placement)
                return
            outcome = await self._attempt(run, placement)
            match outcome:
                case Delivered():
                    self._finished(run, placement, outcome)
                    return
                case NotSent():
                    unsent += 1
                    if unsent > MAX_UNSENT:
                        await self._give_up(run, ResultCode.NO_BACKEND, outcome.reason)
                        return
                case NoMemory():
                    # Placed again, without the engine that refused.
                    continue
                case NotRun() | Answered() | Lost():
                    if not self._again(run, outcome):
                        await self._final(run, outcome)
                        return

    def _again(self, run: RelayRun, outcome: Outcome) -> bool:
        """Return whether the request is sent once more, and count it if so."""
        match outcome:
            case Lost(mishap=Mishap.SILENT):
                # Counted when the attempt was given up.
                return True
            case Lost() | Answered():
                allowed = run.repeatable
            case _:
                allowed = True
        return allowed and self._take_repeat(run)

    def _take_repeat(self, run: RelayRun) -> bool:
        if run.sends_left <= 0:
            return False
        if not self._state.take_retry(run.terms.service.name):
            return False
        self._metrics.repeats.inc()
        self._news.urgent()
        return True

    async def _final(self, run: RelayRun, outcome: Outcome) -> None:
        match outcome:
            case Answered() if not run.reply.started:
                await run.reply.start(outcome.head.status, outcome.head.headers)
                await run.reply.write(outcome.body)
                await run.reply.finish()
                self._metrics.results.labels("backend_error").inc()
                log(
                    LogEvent.RELAY_FAILED,
                    request=run.request.request_id,
                    reason=f"the backend server answered {outcome.head.status}",
                    sends=run.sends,
                )
            case NotRun():
                code = ResultCode.BACKEND_REFUSED
                await self._give_up(run, code, outcome.reason)
            case Lost():
                await self._give_up(run, ResultCode.BACKEND_FAILED, outcome.reason)
            case _:
                await self._give_up(run, ResultCode.STREAM_BROKEN, "can't go on")

    async def _place(self, run: RelayRun) -> Placement | Refusal:
        waited = False
        while True:
            now = self._state.clock.monotonic()
            if now >= run.deadline_s:
                raise TimeoutError
            service = run.terms.service.name
            if self._state.backends.out_of_reach(service, now):
                reason = f"no backend server of {service} can be reached from here"
                return Refusal(ResultCode.NO_BACKEND, reason, ELSEWHERE_S)
            candidates = list(self._candidates(run, now))
            demand = run.demand(now, self._state.usual_ms(run.terms.service.name))
            placement = choose(candidates, demand, now, run.request.request_id)
            if placement is not None:
                self._placed(run, placement, len(candidates), now)
                return placement
            refusal = self._hopeless(run, len(candidates), now)
            if refusal is not None:
                return refusal
            if not waited:
                waited = True
                log(
                    LogEvent.RELAY_WAITING,
                    request=run.request.request_id,
                    candidates=len(candidates),
                    news_age_s=round(self._state.ledger.age_s(now), 3),
                )
            await self._state.wait_changed(min(LOOK_AGAIN_S, run.deadline_s - now))

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
            for belief in rested
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

    async def _attempt(self, run: RelayRun, placement: Placement) -> Outcome:
        works = self._works(run, placement, self._state.clock.monotonic())
        for work in works:
            self._state.ledger.add(work)
        self._news.begun(placement.wide)
        try:
            if placement.reserves:
                return await self._send_with_memory(run, placement, works)
            helpers = tuple(Helper(h.server.address) for h in placement.helpers)
            return await self._send(run, placement, works, helpers)
        finally:
            for work in works:
                self._state.ledger.discard(work)
            self._news.settled(placement.wide)
            self._state.changed()

    async def _send_with_memory(
        self, run: RelayRun, placement: Placement, works: tuple[Work, ...]
    ) -> Outcome:
        request_id = run.request.request_id
        part = math.ceil(run.request.demand.prompt_tokens / len(placement.readers))
        wanted = (
            Reservation(h.server, f"{request_id}.{run.sends}.{place}", part)
            for place, h in enumerate(placement.helpers)
        )
        held = await self._reservations.reserve_all(wanted, request_id)
        if isinstance(held, Reservation):
            run.avoid(held.server.backend_id, self._state.clock.monotonic())
            return NoMemory(held.server.backend_id)
        keeping = asyncio.create_task(self._reservations.keep(held))
        try:
            helpers = tuple(Helper(r.server.address, r.reservation_id) for r in held)
            return await self._send(run, placement, works, helpers)
        finally:
            keeping.cancel()
            self._reservations.release(held)

    async def _send(
        self,
        run: RelayRun,
        placement: Placement,
        works: tuple[Work, ...],
        helpers: tuple[Helper, ...],
    ) -> Outcome:
        server = placement.candidate.server
        started_s = self._state.clock.monotonic()
        if placement.candidate.cold:
            self._state.cold_shares.sent(server.backend_id, started_s)
        send_id = f"{run.request.request_id}/{run.sends}"
        life = str(server.born_ms)
        if run.events:
            log(
                LogEvent.RELAY_RESUMED,
                request=run.request.request_id,
                backend=server.backend_id,
                after=run.last_event_id,
            )
        attempt = Attempt(
            run,
            placement,
            self._state,
            self._pool,
            self._codec,
            helpers,
            lambda: run.repeatable and self._take_repeat(run),
            # Only what has left this node can be to blame for a death there.
            lambda: self._state.quarantine.started(
                server.backend_id, send_id, run.fingerprint, life
            ),
            lambda: self._first(run, placement, works, started_s),
        )
        before = run.unsure
        run.sends += 1
        run.unsure = True
        blame_s = 0.0
        try:
            outcome = await attempt.carry_out()
            match outcome:
                case NotSent():
                    run.sends -= 1
                    run.unsure = before
                case NotRun():
                    run.unsure = before
                    if outcome.misdirected:
                        # It never reached the backend server that it was sent to.
                        run.sends -= 1
                case Lost():
                    blame_s = BLAME_S
            self._judge(run, placement, outcome)
            return outcome
        finally:
            asyncio.get_running_loop().call_later(
                blame_s, self._state.quarantine.ended, server.backend_id, send_id
            )

    def _works(
        self, run: RelayRun, placement: Placement, now: float
    ) -> tuple[Work, ...]:
        demand = run.demand(now, 0.0)
        expected = placement.estimate
        readers = placement.readers
        parts = len(readers)
        first_s = now + expected.first_ms / 1_000
        end_s = now + expected.end_ms / 1_000
        return tuple(
            Work(
                backend_id=reader.server.backend_id,
                prompt_tokens=demand.prompt_tokens // parts,
                answer_tokens=demand.answer_tokens if place == 0 else 0,
                gap_objective_ms=demand.gap_objective_ms if place == 0 else 0.0,
                sent_s=now,
                first_s=first_s,
                end_s=end_s,
                whole_tokens=demand.prompt_tokens,
            )
            for place, reader in enumerate(readers)
        )

    def _first(
        self,
        run: RelayRun,
        placement: Placement,
        works: tuple[Work, ...],
        started_s: float,
    ) -> None:
        now = self._state.clock.monotonic()
        took_ms = 1_000 * (now - started_s)
        expected = placement.estimate
        for place, work in enumerate(works):
            work.started = True
            work.first_s = now
            work.end_s = now + (expected.end_ms - expected.first_ms) / 1_000
            if place > 0 and not placement.reserves:
                # A helper without memory of the prompt is done with its part.
                self._state.ledger.discard(work)
        if run.streams:
            pace = took_ms / max(1.0, expected.first_ms / placement.candidate.pace)
        else:
            usual_ms = self._state.usual_ms(run.terms.service.name)
            pace = took_ms / usual_ms
            self._state.measured(run.terms.service.name, took_ms)
        self._state.backends.succeeded(placement.candidate.server, now, pace)
        self._metrics.first.labels(run.terms.route.name).observe(
            now - run.request.arrived_s
        )
        if placement.wide:
            self._news.settled(True)

    def _judge(self, run: RelayRun, placement: Placement, outcome: Outcome) -> None:
        server = placement.candidate.server
        now = self._state.clock.monotonic()
        match outcome:
            case Delivered():
                self._state.quarantine.cleared(run.fingerprint)
                self._state.backends.succeeded(server, now)
                return
            case NotSent():
                mishap = Mishap.UNREACHABLE
                if outcome.crashed:
                    self._crashed(server)
                    self._news.urgent()
            case NotRun(misdirected=True):
                mishap = Mishap.MISDIRECTED
                self._news.urgent()
            case NotRun():
                mishap = Mishap.SHED
                server = self._at_fault(placement, outcome)
            case Answered():
                mishap = Mishap.ERROR
            case Lost():
                mishap = outcome.mishap
                if mishap is Mishap.BROKEN:
                    self._look_whether_alive(server)
        run.tried.add(server.backend_id)
        reason = getattr(outcome, "reason", mishap.value)
        self._metrics.mishaps.labels(mishap.name.lower()).inc()
        self._state.failed(server, mishap, run.request.request_id)
        log(
            LogEvent.RELAY_ATTEMPT_FAILED,
            request=run.request.request_id,
            backend=server.backend_id,
            mishap=mishap.name.lower(),
            reason=reason,
            events=run.events,
            sends=run.sends,
        )

    def _at_fault(self, placement: Placement, outcome: NotRun) -> BackendServer:
        """Return the backend server that a refusal blames, which may be a helper."""
        readers = (r.server for r in placement.readers)
        blamed = (s for s in readers if s.address == outcome.at_fault)
        return next(blamed, placement.candidate.server)

    def _look_whether_alive(self, server: BackendServer) -> None:
        """Tell a crash from a reset connection by connecting once more."""
        task = asyncio.create_task(self._connect_once(server))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _connect_once(self, server: BackendServer) -> None:
        try:
            connection = await self._pool.take(server.address, 0.0)
        except NoConnection as error:
            if error.refused:
                self._crashed(server)
            self._state.failed(server, Mishap.UNREACHABLE, "")
        else:
            self._pool.give_back(connection)

    def _crashed(self, server: BackendServer) -> None:
        now = self._state.clock.monotonic()
        self._state.backends.refused(server, now)
        quarantine = self._state.quarantine
        for fingerprint in quarantine.died(server.backend_id, now, str(server.born_ms)):
            log(
                LogEvent.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                backend=server.backend_id,
            )

    def _finished(
        self, run: RelayRun, placement: Placement, outcome: Delivered
    ) -> None:
        now = self._state.clock.monotonic()
        took_s = now - run.request.arrived_s
        first_s = (run.first_s or now) - run.request.arrived_s
        self._metrics.whole.labels(run.terms.route.name).observe(took_s)
        self._metrics.results.labels("delivered").inc()
        log(
            LogEvent.RELAY_FINISHED,
            request=run.request.request_id,
            backend=placement.candidate.server.backend_id,
            status=outcome.status,
            events=run.events,
            sends=run.sends,
            first_ms=round(1_000 * first_s, 1),
            objective_ms=run.terms.route.objective_ms,
            gap_ms=round(1_000 * run.longest_gap_s, 1),
            gap_objective_ms=run.terms.route.gap_objective_ms,
            took_ms=round(1_000 * took_s, 1),
        )

    async def _give_up(
        self,
        run: RelayRun,
        code: ResultCode,
        reason: str,
        refusal: Refusal | None = None,
    ) -> None:
        if run.reply.started:
            run.reply.break_off()
            self._metrics.results.labels("broken_off").inc()
            log(
                LogEvent.RELAY_FAILED,
                request=run.request.request_id,
                reason=reason,
                events=run.events,
                sends=run.sends,
            )
            return
        if run.unsure and code.status in NOT_RUN_STATUSES:
            # Those promise that it hasn't run, which isn't known here.
            code = ResultCode.BACKEND_FAILED
        retry_after_s = refusal.retry_after_s if refusal else RETRY_AFTER_S
        if code.status != 503:
            retry_after_s = None
        await self._refuse(
            run.request, run.reply, Refusal(code, reason, retry_after_s), run.sends
        )

    async def _refuse(
        self,
        request: CallerRequest,
        reply: CallerReply,
        refusal: Refusal,
        sends: int = 0,
    ) -> None:
        self._metrics.results.labels(refusal.code.name.lower()).inc()
        held_ms = 1_000 * (self._state.clock.monotonic() - request.arrived_s)
        log(
            LogEvent.RELAY_REFUSED,
            request=request.request_id,
            code=refusal.code.code,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            held_ms=round(held_ms, 1),
            sends=sends,
        )
        ran = Ran.UNKNOWN if refusal.code.status in UNSURE_STATUSES else Ran.NO
        await send_refusal(reply, refusal, request.request_id, ran)
