"""One send of a placed request, with the memory that it needs and its traces."""

import asyncio
import math
from collections.abc import Callable, Container, Sequence

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.relay import Placement, Work, pause_ahead_ms, worth_moving
from tanagerkeel.relay_entry._attempt import Attempt
from tanagerkeel.relay_entry._judge import Judge
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._outcomes import Lost, NoMemory, NotRun, NotSent, Outcome
from tanagerkeel.relay_entry._protocols import BackendCodec, Helper
from tanagerkeel.relay_entry._reservations import Reservation, Reservations
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Sender"]

# How long a broken send still counts as running for the blame of a death that is
# found out later, in seconds.
BLAME_S = 2.0


@attrs.define
class Sender:
    """
    Sends placed requests to their backend servers.

    :param state: the node's beliefs.
    :param pool: connections to backend servers.
    :param codec: speaks to backend servers.
    :param news: tells the peers.
    :param metrics: counters and histograms.
    :param best: tells where a request would run next.
    """

    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _news: NewsTask
    _metrics: RelayMetrics
    _best: Callable[[RelayRun], Placement | None]
    _attempts: set[Attempt] = attrs.field(factory=set)
    _judge: Judge = attrs.field()
    _reservations: Reservations = attrs.field()

    @_judge.default
    def _make_judge(self) -> Judge:
        return Judge(self._state, self._pool, self._news, self._metrics)

    @_reservations.default
    def _make_reservations(self) -> Reservations:
        hold_ms = self._state.settings.bounds.longest_hold_ms
        return Reservations(self._pool, self._codec, hold_ms)

    def __attrs_post_init__(self) -> None:
        self._state.on_cut = self._cut_off
        self._state.on_long_work = self._make_way

    def _cut_off(self, domain: str) -> None:
        for attempt in tuple(self._attempts):
            attempt.domain_cut_off(domain)

    def _make_way(self, backend_ids: Container[str]) -> None:
        """Move answers off engines where a long prompt is about to be read."""
        beside = [
            attempt
            for attempt in self._attempts
            if attempt.movable and attempt.server.backend_id in backend_ids
        ]
        if not beside:
            return
        now = self._state.clock.monotonic()
        works = self._state.ledger.by_backend(now)
        for attempt in beside:
            self._move(attempt, works.get(attempt.server.backend_id, ()), now)

    def _move(self, attempt: Attempt, works: Sequence[Work], now: float) -> None:
        run, backend_id = attempt.run, attempt.server.backend_id
        profile = run.terms.service.engine
        gap_ms = run.terms.route.gap_objective_ms
        if profile is None or not gap_ms or run.last_s is None or run.sends_left <= 0:
            return
        belief = self._state.backends.get(backend_id)
        pause_ms = pause_ahead_ms(
            profile, works, now, max(1.0, belief.pace) if belief else 1.0
        )
        since_ms = 1_000 * (now - run.last_s)
        run.avoid(backend_id, now)
        elsewhere = self._best(run)
        if elsewhere is None or not worth_moving(
            pause_ms, gap_ms, since_ms, elsewhere.estimate
        ):
            return
        log(
            LogEvent.RELAY_MOVED,
            request=run.request.request_id,
            backend=backend_id,
            pause_ms=round(pause_ms, 1),
            to=elsewhere.candidate.server.backend_id,
            first_ms=round(elsewhere.estimate.first_ms, 1),
            events=run.events,
        )
        attempt.move()

    def take_repeat(self, run: RelayRun) -> bool:
        """Count a send beyond the first if the route and the shared bound allow it."""
        if run.sends_left <= 0:
            return False
        if not self._state.take_retry(run.terms.service.name):
            return False
        self._metrics.repeats.inc()
        self._news.urgent()
        return True

    async def send(self, run: RelayRun, placement: Placement) -> Outcome:
        """Send a request to where it was placed and return how that ended."""
        works = self._works(run, placement, self._state.clock.monotonic())
        for work in works:
            self._state.ledger.add(work)
        if placement.long:
            self._make_way({work.backend_id for work in works})
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
            lambda: run.repeatable and self.take_repeat(run),
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
        self._attempts.add(attempt)
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
            self._judge.judge(run, placement, outcome)
            return outcome
        finally:
            self._attempts.discard(attempt)
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
                due_s=now + demand.objective_ms / 1_000,
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
