"""State of one admitted request: attempts, progress of the response, time-outs."""

from collections.abc import Sequence

import attrs
import xxhash

from tanagerkeel.errors import ResultCode
from tanagerkeel.queueing import CallerCost, CostRules
from tanagerkeel.relay import CallerRequest, Demand, RouteKind, StreamEvent
from tanagerkeel.relay_entry._admit import Admitted
from tanagerkeel.relay_entry._outcomes import ErrorReply
from tanagerkeel.relay_entry._protocols import CallerReply

__all__ = ["RelayRun"]

# The platform specifies when callers abandon a stream: after no event arrived for the
# longest of this time in seconds, this multiple of the latency objective, and this
# multiple of the gap objective.
CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8
# Share of the caller's time-out for which one backend server may stay silent; the rest
# is enough for another one to begin its response.
BACKEND_TIMEOUT_SHARE = 0.7
# How long placement of a request excludes an engine that has no free memory, or that is
# about to prefill a long prompt, in seconds: an engine generates a short response, and
# frees its memory, in about this time.
AVOID_S = 0.5
# A backend server counts as silent when it takes longer than the expected time
# multiplied by this factor.
OVERDUE_FACTOR = 1.5


@attrs.define(eq=False)
class RelayRun:
    """
    An admitted request and its attempts; times are monotonic, in seconds.

    :param request: the caller's request.
    :param body: its whole body.
    :param reply: where the response to the caller is written.
    :param admitted: route, service and client account.
    :param deadline_s: when the response must be complete.
    :param cost_rules: what the settings say of the costs of delays.
    :param forwarded: whether a peer has forwarded it to this node, which then doesn't
        forward it again.
    :param tried: ids of backend servers that it isn't sent to again.
    :param sends: attempts that count against the route's ``max_attempts``: those whose
        backend server may have run or has refused the request.
    :param may_have_run: whether a backend server may have run the request.
    :param last_event_id: id of the last event that was forwarded to the caller.
    :param events: number of events forwarded to the caller.
    :param first_s: when the first event, or the whole response, was forwarded.
    :param placed_s: when a backend server was first chosen.
    :param returned: whether its caller was refused before and came back as told; None
        before this is known.
    :param settled: whether its first placement was announced before the send.
    :param last_event_s: when the last event was forwarded.
    :param longest_gap_s: longest pause between forwarded events so far, in seconds.
    :param backend_error: error response of a backend server, forwarded to the caller
        if no other attempt succeeds.
    :param fingerprint: hash of client account, target and body, by which requests that
        crash backend servers are recognized.
    """

    request: CallerRequest
    body: bytes = attrs.field(repr=False)
    reply: CallerReply
    admitted: Admitted
    deadline_s: float
    cost_rules: CostRules = CostRules()
    forwarded: bool = False
    tried: set[str] = attrs.field(factory=set)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    sends: int = 0
    may_have_run: bool = False
    last_event_id: str | None = None
    _last_event_has_id: bool = True
    events: int = 0
    first_s: float | None = None
    placed_s: float | None = None
    returned: bool | None = None
    settled: bool = False
    last_event_s: float | None = None
    longest_gap_s: float = 0.0
    backend_error: ErrorReply | None = None
    fingerprint: str = attrs.field()

    @fingerprint.default
    def _compute_fingerprint(self) -> str:
        digest = xxhash.xxh64()
        account = self.admitted.account.name if self.admitted.account else ""
        for part in (account.encode(), self.request.target, self.body):
            digest.update(part)
            digest.update(b"\0")
        return digest.hexdigest()

    @property
    def cost(self) -> CallerCost:
        """What the caller loses when the request is late or not served."""
        model_demand = self.request.demand
        prompt_tokens = 0
        if model_demand is not None and self.admitted.service.engine is not None:
            prompt_tokens = model_demand.prompt_tokens
        rank = self.admitted.rank
        route = self.admitted.route.name
        return self.cost_rules.cost(route, prompt_tokens, rank.steps if rank else 0)

    def record_events(self, events: Sequence[StreamEvent], now: float) -> None:
        """Record that events are forwarded to the caller."""
        for event in events:
            if event.event_id is not None:
                self.last_event_id = event.event_id
            if event.has_data:
                self._last_event_has_id = event.event_id is not None
        if self.first_s is None:
            self.first_s = now
        if self.last_event_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_s)
        self.last_event_s = now
        self.events += len(events)

    def avoid(self, backend_id: str, now: float) -> None:
        """Exclude a backend server from placement for ``AVOID_S``."""
        self._avoided_until_s[backend_id] = now + AVOID_S

    def is_avoided(self, backend_id: str, now: float) -> bool:
        """Return whether a backend server is excluded from placement."""
        return now < self._avoided_until_s.get(backend_id, 0.0)

    @property
    def streams(self) -> bool:
        """Whether a successful response is a stream of events."""
        return self.admitted.route.kind is RouteKind.STREAM

    @property
    def repeatable(self) -> bool:
        """
        Whether it may be sent again although it may have run.

        A stream whose last event has no id can't be resumed after it: another backend
        server would repeat that event.
        """
        return self.admitted.route.repeatable and self._last_event_has_id

    @property
    def shared_sections(self) -> tuple[str, ...]:
        """Ids of the sections of its prompt that other requests may share."""
        demand = self.request.demand
        return demand.shared_sections if demand is not None else ()

    @property
    def sends_left(self) -> int:
        """How many further attempts its route allows."""
        return self.admitted.route.max_attempts - self.sends

    @property
    def objective_due_s(self) -> float:
        """Latest time of the first event or response that meets the objective."""
        return self.request.arrived_s + self.admitted.route.objective_ms / 1_000

    @property
    def caller_timeout_s(self) -> float:
        """How long the caller waits for the next event or the response, in seconds."""
        route = self.admitted.route
        if not self.streams:
            return route.timeout_ms / 1_000
        objectives_s = CALLER_TIMEOUT_OBJECTIVES * route.objective_ms / 1_000
        gaps_s = CALLER_TIMEOUT_GAPS * route.gap_objective_ms / 1_000
        return max(CALLER_TIMEOUT_S, objectives_s, gaps_s)

    def silence_timeout_s(self, expected_s: float) -> float:
        """
        Return how long a backend server may be silent before a retry, in seconds.

        :param expected_s: expected time to the next event, in seconds.
        """
        share_s = BACKEND_TIMEOUT_SHARE * self.caller_timeout_s
        return max(share_s, min(OVERDUE_FACTOR * expected_s, self.caller_timeout_s))

    def demand(
        self, now: float, average_call_ms: float, many_senders: bool = False
    ) -> Demand:
        """
        Return what placement needs to know of the request.

        :param now: monotonic time, in seconds.
        :param average_call_ms: average duration of a call of a plain service.
        :param many_senders: whether so many nodes send that each learns of most sends
            late.
        """
        model_demand = self.request.demand
        engine = self.admitted.service.engine
        prompt_tokens = 0
        answer_tokens = 0
        if model_demand is not None and engine is not None:
            prompt_tokens = model_demand.prompt_tokens
            answer_tokens = min(model_demand.answer_tokens, engine.memory_tokens)
        return Demand(
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            objective_ms=self._objective_left_ms(now),
            gap_objective_ms=float(self.admitted.route.gap_objective_ms),
            caller_timeout_ms=max(0.0, 1_000 * (self.next_event_deadline_s - now)),
            average_call_ms=average_call_ms,
            deadline_ms=max(0.0, 1_000 * (self.deadline_s - now)),
            many_senders=many_senders,
            cost=self.cost,
        )

    def _objective_left_ms(self, now: float) -> float:
        """
        Return the time left for the first event of the next attempt.

        When the objective has already been missed, the full objective is returned:
        placement can then still rank candidates by how soon each would answer.
        """
        route = self.admitted.route
        objective_ms, since_s = route.objective_ms, self.request.arrived_s
        if self.last_event_s is not None and route.gap_objective_ms:
            objective_ms, since_s = route.gap_objective_ms, self.last_event_s
        left_ms = objective_ms - 1_000 * (now - since_s)
        return left_ms if left_ms > 0 else float(objective_ms)

    @property
    def next_event_deadline_s(self) -> float:
        """When the caller gives up unless an event or the response has arrived."""
        since_s = (
            self.request.arrived_s if self.last_event_s is None else self.last_event_s
        )
        return min(self.deadline_s, since_s + self.caller_timeout_s)

    def timeout_code(self) -> ResultCode:
        """Return the result code for a request whose deadline has passed."""
        if self.may_have_run:
            return ResultCode.DEADLINE_EXCEEDED
        return ResultCode.DEADLINE_INFEASIBLE
