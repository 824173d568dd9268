"""One caller's request on its way: what was decided and sent so far."""

import attrs
import xxhash

from tanagerkeel.errors import ResultCode
from tanagerkeel.relay import CallerRequest, Demand, RouteKind
from tanagerkeel.relay_entry._admit import Admitted
from tanagerkeel.relay_entry._outcomes import Answered
from tanagerkeel.relay_entry._protocols import CallerReply

__all__ = ["RelayRun"]

# Callers give up on a stream after the longest of these (pages of the platform): so
# many seconds, objectives, or longest pauses without an event.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4
PATIENCE_GAPS = 8
# Share of the caller's patience that one backend server gets; the rest is enough for
# another one to begin.
PATIENCE_SHARE = 0.7
# An engine without memory is asked again after this time, in seconds: a short answer
# is written in about so long.
AVOID_S = 0.5
# An answer that takes so many times as long as expected counts as silence.
SILENCE_FACTOR = 1.5


@attrs.define(eq=False)
class RelayRun:
    """
    A request that was let in; times are monotonic, in seconds.

    :param request: the caller's request.
    :param body: its whole body.
    :param reply: the answer to the caller.
    :param terms: on which terms it was let in.
    :param deadline_s: when the final answer is due.
    :param tried: backend servers that it was sent to.
    :param sends: how many backend servers may have begun it or refused it.
    :param unsure: whether a send may have run.
    :param last_event_id: id of the last event that the caller has.
    :param events: events passed on.
    :param first_s: when the first event or the answer was passed on.
    :param placed_s: when a backend server was first chosen.
    :param last_s: when the last event was passed on.
    :param longest_gap_s: longest pause between events so far, in seconds.
    :param failure: a backend server's own failure, to be passed on if nothing better
        comes of the request.
    """

    request: CallerRequest
    body: bytes = attrs.field(repr=False)
    reply: CallerReply
    terms: Admitted
    deadline_s: float
    tried: set[str] = attrs.field(factory=set)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    sends: int = 0
    unsure: bool = False
    last_event_id: str | None = None
    events: int = 0
    first_s: float | None = None
    placed_s: float | None = None
    last_s: float | None = None
    longest_gap_s: float = 0.0
    failure: Answered | None = None
    fingerprint: str = attrs.field()

    @fingerprint.default
    def _hash(self) -> str:
        digest = xxhash.xxh64()
        account = self.terms.account.name if self.terms.account else ""
        for part in (account.encode(), self.request.target, self.body):
            digest.update(part)
            digest.update(b"\0")
        return digest.hexdigest()

    def count_events(self, count: int, now: float) -> None:
        """Take in that events are passed on."""
        if self.first_s is None:
            self.first_s = now
        if self.last_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_s)
        self.last_s = now
        self.events += count

    def avoid(self, backend_id: str, now: float) -> None:
        """Leave a backend server aside that has no memory free."""
        self._avoided_until_s[backend_id] = now + AVOID_S

    def avoids(self, backend_id: str, now: float) -> bool:
        """Return whether a backend server is left aside."""
        return now < self._avoided_until_s.get(backend_id, 0.0)

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.terms.route.kind is RouteKind.STREAM

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again although it may have run."""
        return self.terms.route.repeatable

    @property
    def sends_left(self) -> int:
        """How many further backend servers it may be sent to."""
        return self.terms.route.max_attempts - self.sends

    @property
    def objective_s(self) -> float:
        """When the first event or the answer is due to be in time."""
        return self.request.arrived_s + self.terms.route.objective_ms / 1_000

    @property
    def patience_s(self) -> float:
        """How long the caller waits for the next event, in seconds."""
        route = self.terms.route
        if not self.streams:
            return route.timeout_ms / 1_000
        objective_s = PATIENCE_OBJECTIVES * route.objective_ms / 1_000
        gap_s = PATIENCE_GAPS * route.gap_objective_ms / 1_000
        return max(PATIENCE_S, objective_s, gap_s)

    def silence_s(self, expected_s: float) -> float:
        """
        Return how long a backend server may be silent before another one is asked.

        :param expected_s: when the next event is expected, in seconds.
        """
        share_s = PATIENCE_SHARE * self.patience_s
        return max(share_s, min(SILENCE_FACTOR * expected_s, self.patience_s))

    def demand(self, now: float, usual_ms: float) -> Demand:
        """
        Return what is to be placed.

        :param now: monotonic time, in seconds.
        :param usual_ms: how long a call of a plain service usually takes.
        """
        asked = self.request.demand
        engine = self.terms.service.engine
        tokens = 0
        answer = 0
        if asked is not None and engine is not None:
            tokens = asked.prompt_tokens
            answer = min(asked.answer_tokens, engine.memory_tokens)
        return Demand(
            prompt_tokens=tokens,
            answer_tokens=answer,
            objective_ms=self._objective_ms(now),
            gap_objective_ms=float(self.terms.route.gap_objective_ms),
            patience_ms=max(0.0, 1_000 * (self._first_due_s - now)),
            usual_ms=usual_ms,
        )

    def _objective_ms(self, now: float) -> float:
        """
        Return the time to the first event from the next backend server.

        What is late already should come as soon as may be: it has the whole time
        once more, so that placement still tells a sooner one from a later one.
        """
        route = self.terms.route
        whole_ms, since_s = route.objective_ms, self.request.arrived_s
        if self.last_s is not None and route.gap_objective_ms:
            whole_ms, since_s = route.gap_objective_ms, self.last_s
        left_ms = whole_ms - 1_000 * (now - since_s)
        return left_ms if left_ms > 0 else float(whole_ms)

    @property
    def _first_due_s(self) -> float:
        since_s = self.request.arrived_s if self.last_s is None else self.last_s
        return min(self.deadline_s, since_s + self.patience_s)

    def timeout_code(self) -> ResultCode:
        """Return what is answered when its time is over."""
        if self.unsure:
            return ResultCode.DEADLINE_EXCEEDED
        return ResultCode.DEADLINE_INFEASIBLE
