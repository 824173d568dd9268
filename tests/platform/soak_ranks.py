"""The soak test's requests of several ranks: their order, their ends, what is told."""

import math
import time
from collections.abc import Iterator

import attrs

from tests.platform.fixtures import ReceivedRequest, route

__all__ = [
    "PATIENCE_MS",
    "RANKED_CLIENT_COUNT",
    "RANKED_KINDS",
    "RANKED_MIX",
    "RankChecker",
    "RankedRequest",
]

URGENT, OTHER = RANKED_KINDS = ("urgent", "other")
# How long callers of these routes wait, and their objective, in milliseconds.
PATIENCE_MS = 4_000
OBJECTIVE_MS = 3_000
CHAT_PATIENCE_MS = 2_000
# Slots of each engine, and clients of these routes: so many that some requests wait
# nearly all the time, and most of them for less than a quarter of their patience.
SLOTS = 2
RANKED_CLIENT_COUNT = 18
# Routes that these clients choose from.
RANKED_MIX = (URGENT, URGENT, OTHER, OTHER, OTHER, "chat")
# From this share of its caller's patience on, a request may be promoted, or have a part
# of the reserved share. Before, nothing lets it go before one of a more urgent rank.
PROMOTION_SHARE = 0.25
# How long an urgent request has waited before, and waits after, another one reaches an
# engine in its place, in seconds: a request needs some time from its caller to its
# node's line and from there to the engine, and nodes look for places each 0.05 s.
SEEN_S = 0.2
STILL_S = 0.2
# How many later requests of the same route may begin before one that waits to its end:
# those that a node was about to place when it took the one for late.
MAX_PASSING = 1
# Latest time of an answer after its caller's patience, in seconds.
SLACK_S = 0.8
# Latest use of a configuration after it was replaced, in seconds, as for revoked keys.
REPLACED_S = 3.2
# Statuses by which a node says that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.define
class RankedRequest:
    """
    A request of a service with ranks; times are monotonic, in seconds.

    :param request_id: its id.
    :param kind: name of its route.
    :param node: the node that it was sent to.
    :param sent_s: when it was sent.
    :param arrived_s: when it first reached an engine; infinite if never.
    :param sender: the node that sent it to that engine.
    :param told: the rank that the engine was told; -1 for none.
    :param ended_s: when its caller got a response or gave up.
    :param status: status of the response; 0 for none, or a broken one.
    """

    request_id: str
    kind: str
    node: str
    sent_s: float
    arrived_s: float = math.inf
    sender: str = ""
    told: int = -1
    ended_s: float = math.inf
    status: int = 0

    @property
    def patience_s(self) -> float:
        """How long its caller waits, in seconds."""
        patience_ms = PATIENCE_MS if self.kind in RANKED_KINDS else CHAT_PATIENCE_MS
        return patience_ms / 1_000


@attrs.define
class RankChecker:
    """
    Checks the order of what waits at nodes, and that nothing is lost while it waits.

    It knows nothing, and finds nothing, until the first configuration with ranks.

    :param requests: the requests of the service, by their ids.
    :param waited: how many requests waited for longer than a request needs to reach an
        engine.
    """

    requests: dict[str, RankedRequest] = attrs.field(factory=dict)
    waited: int = 0
    # Since when each configuration has been in force, and its ranks by route.
    _positions: list[tuple[float, dict[str, int]]] = attrs.field(factory=list)
    # When nodes were down: node, begin and end.
    _down: list[tuple[str, float, float]] = attrs.field(factory=list)
    _mistold: list[str] = attrs.field(factory=list)

    def rank(self, document: dict) -> None:
        """Give a configuration ranks, other ones than those of the one before."""
        times = {"timeoutMs": PATIENCE_MS, "targetLatencyMs": OBJECTIVE_MS}
        for name, priority in ((URGENT, 0), (OTHER, 2)):
            fields = {"priority": priority, "targetGapMs": 1_000, **times}
            document["routes"].append(route(name, "stream", "models", **fields))
        # The rank of "chat" is its own, or that of "urgent".
        chat_rank = (len(self._positions) + 1) % 2
        for entry in document["routes"]:
            if entry["name"] == "chat":
                entry["priority"] = chat_rank
        for service in document["services"]:
            if service["name"] == "models":
                service["engine"]["slots"] = SLOTS
                # Each engine takes each request, so that a free place suits all.
                service["coldS"] = service["coldPerS"] = 0.0
        positions = {URGENT: 0, "chat": chat_rank, OTHER: 1 + chat_rank}
        self._positions.append((time.monotonic(), positions))

    def record_sent(self, request_id: str, kind: str, node: str, sent_s: float) -> None:
        if self._positions and kind in self._positions[-1][1]:
            self.requests[request_id] = RankedRequest(request_id, kind, node, sent_s)

    def record_end(self, request_id: str, status: int) -> None:
        if (request := self.requests.get(request_id)) is not None:
            request.status = status
            request.ended_s = time.monotonic()

    def record_down(self, node: str, begin_s: float) -> None:
        """Record that a node's process was down until now."""
        self._down.append((node, begin_s, time.monotonic()))

    def record_arrival(self, received: ReceivedRequest, sender: str) -> None:
        """Record that a request reached an engine, and check the rank that it told."""
        request = self.requests.get(received.request_id)
        if request is None:
            return
        now = time.monotonic()
        told = received.headers.get("tanagerkeel-request-priority")
        allowed = {str(rank) for rank in self._ranks_in_force(request, now)}
        if told not in allowed:
            self._mistold.append(
                f"TOLD {request.request_id} of {request.kind} has rank "
                f"{' or '.join(sorted(allowed))}, and the engine was told {told}"
            )
        if math.isinf(request.arrived_s):
            request.arrived_s = now
            request.sender = sender
            request.told = int(told or -1)

    def violations(self) -> Iterator[str]:
        """Yield what broke a guarantee, once the run has ended."""
        yield from self._mistold
        served = [r for r in self.requests.values() if not self._was_down(r)]
        self.waited = sum(_waited_until(r) - r.sent_s > SEEN_S for r in served)
        yield from filter(None, map(self._lost, served))
        urgent = [r for r in served if r.kind == URGENT and r.status]
        for other in self.requests.values():
            if other.kind != OTHER:
                continue
            if other.arrived_s - other.sent_s >= PROMOTION_SHARE * other.patience_s:
                continue
            passed = [r for r in urgent if _is_passed(r, other)]
            if passed:
                yield (
                    f"PASSED {other.request_id} reached an engine by {other.node} "
                    f"after {other.arrived_s - other.sent_s:.2f} s, and urgent ones "
                    f"waited: {', '.join(r.request_id for r in passed[:3])}"
                )

    def _ranks_in_force(self, request: RankedRequest, now: float) -> Iterator[int]:
        ends_s = [begin_s + REPLACED_S for begin_s, _ in self._positions[1:]]
        for (begin_s, ranks), end_s in zip(
            self._positions, (*ends_s, math.inf), strict=True
        ):
            if begin_s <= now and request.sent_s <= end_s:
                yield ranks[request.kind]

    def _lost(self, request: RankedRequest) -> str | None:
        """Return what is wrong with the end of a request."""
        taken_s = request.ended_s - request.sent_s
        if taken_s > request.patience_s + SLACK_S:
            return f"LOST {request.request_id} ended after {taken_s:.2f} s"
        if math.isfinite(request.arrived_s):
            return None
        if request.status not in NOT_RUN_STATUSES:
            return (
                f"LOST {request.request_id} of {request.kind} at {request.node} got "
                f"status {request.status} after {taken_s:.2f} s"
            )
        if taken_s < request.patience_s:
            return None
        # It was refused only when its time was over, which tells its caller nothing.
        rank = max(self._ranks_in_force(request, request.ended_s))
        later = [
            other.request_id
            for other in self.requests.values()
            if other.kind == request.kind
            and other.told >= rank
            and other.sent_s >= request.sent_s + SEEN_S
            and _is_passed(request, other)
        ]
        if len(later) <= MAX_PASSING:
            return None
        return (
            f"LOST {request.request_id} of {request.kind} at {request.node} waited to "
            f"its end, and {len(later)} that came later began: {', '.join(later[:3])}"
        )

    def _was_down(self, request: RankedRequest) -> bool:
        return any(
            node == request.node
            and request.sent_s <= end_s
            and begin_s <= request.ended_s
            for node, begin_s, end_s in self._down
        )


def _waited_until(request: RankedRequest) -> float:
    return min(request.arrived_s, request.ended_s)


def _is_passed(request: RankedRequest, other: RankedRequest) -> bool:
    """Return whether a request that was on time waited while another one began."""
    return (
        request.node == other.node == other.sender
        and request.sent_s + SEEN_S <= other.arrived_s
        and other.arrived_s + STILL_S <= _waited_until(request)
        and other.arrived_s <= request.sent_s + OBJECTIVE_MS / 1_000
    )
