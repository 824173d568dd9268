"""The requests of this node and of its peers that run on the backend servers."""

from collections.abc import Iterable, Iterator

import attrs

from tanagerkeel.queueing import CallerCost, CostRules

__all__ = ["PEER_TIMEOUT_S", "Assignment", "AssignmentTable", "default_cost"]

# The last update of a peer that doesn't say how long it is valid is ignored after this
# time, in seconds. Peers repeat their state several times within it, so that one lost
# datagram does no harm.
PEER_TIMEOUT_S = 5.0
# A peer's request is taken to have ended this long after its expected end, in seconds:
# the update that reported its end was lost, or the peer has failed.
OVERDUE_S = 1.5
# Minimum share of a prompt that counts as left to prefill until its first event
# arrives, even when that event is overdue.
MIN_LEFT_SHARE = 0.1
# What requests cost of which nothing but their length is known, such as peers'.
DEFAULT_RULES = CostRules()


def default_cost(prompt_tokens: int) -> CallerCost:
    """Return what a request costs its caller, by the length of its prompt alone."""
    return DEFAULT_RULES.cost("", prompt_tokens)


@attrs.define(eq=False)
class Assignment:
    """
    A request, or one part of its prompt, that is assigned to a backend server.

    A long prompt may be split between several engines, each of which prefills a part
    and has its own assignment. Times are monotonic, in seconds, and are estimates until
    they are measured.

    :param backend_id: the backend server.
    :param prompt_tokens: prompt tokens that are prefilled there; 0 for a plain service.
    :param answer_tokens: expected length of the answer; 0 where only a part of the
        prompt is prefilled.
    :param gap_objective_ms: objective for the longest pause between its events, in
        milliseconds; 0 for no objective.
    :param sent_s: when it was sent.
    :param first_s: when its first event arrives, which ends its prefill.
    :param end_s: when it ends.
    :param first_event_seen: whether its first event has arrived.
    :param full_prompt_tokens: length of the full prompt, of which other engines may
        prefill parts.
    :param due_s: latest time of the first event that meets the latency objective.
    :param cost: what the caller loses when it is late or not served.
    """

    backend_id: str
    prompt_tokens: int
    answer_tokens: int
    gap_objective_ms: float
    sent_s: float
    first_s: float
    end_s: float
    first_event_seen: bool = False
    full_prompt_tokens: int = attrs.field()

    @full_prompt_tokens.default
    def _unsplit_prompt(self) -> int:
        return self.prompt_tokens

    due_s: float = float("inf")
    cost: CallerCost = attrs.field()

    @cost.default
    def _cost_by_length(self) -> CallerCost:
        return default_cost(self.full_prompt_tokens)

    @property
    def split(self) -> bool:
        """Whether other engines prefill parts of its prompt, too."""
        return self.full_prompt_tokens > self.prompt_tokens

    def tokens_left(self, now: float) -> float:
        """Return how many tokens of its prompt are still to be prefilled."""
        if self.first_event_seen:
            return 0.0
        prefill_s = max(1e-3, self.first_s - self.sent_s)
        left_share = max(MIN_LEFT_SHARE, (self.first_s - now) / prefill_s)
        return self.prompt_tokens * min(1.0, left_share)


@attrs.frozen
class _PeerAssignments:
    sequence: tuple[int, int]
    received_s: float
    valid_s: float
    assignments: tuple[Assignment, ...]


@attrs.define
class AssignmentTable:
    """What is assigned to all backend servers, as far as this node knows."""

    _own: dict[int, Assignment] = attrs.field(factory=dict)
    _peers: dict[str, _PeerAssignments] = attrs.field(factory=dict)

    def add(self, assignment: Assignment) -> None:
        """Add what this node assigns to a backend server."""
        self._own[id(assignment)] = assignment

    def discard(self, assignment: Assignment) -> None:
        """Remove what this node added; an unknown assignment is ignored."""
        self._own.pop(id(assignment), None)

    @property
    def own(self) -> tuple[Assignment, ...]:
        """What this node has added and not removed."""
        return tuple(self._own.values())

    def update_peer(
        self,
        node: str,
        sequence: tuple[int, int],
        assignments: Iterable[Assignment],
        now: float,
        valid_s: float = PEER_TIMEOUT_S,
    ) -> bool:
        """
        Replace all that a peer has assigned, unless the update is outdated.

        :param node: id of the peer.
        :param sequence: when the peer started, and a number that grows with each of its
            updates.
        :param assignments: all that it has assigned now.
        :param now: monotonic time, in seconds.
        :param valid_s: time after which the update is ignored, in seconds.
        :returns: whether it is the newest update of the peer.
        """
        known = self._peers.get(node)
        if known is not None and sequence <= known.sequence:
            return False
        self._peers[node] = _PeerAssignments(sequence, now, valid_s, tuple(assignments))
        return True

    def remove_peer(self, node: str) -> None:
        """Remove a peer that is gone, with all that it has assigned."""
        self._peers.pop(node, None)

    def running_at(self, node: str, now: float) -> int:
        """Return how many requests a peer runs, according to its newest update."""
        update = self._peers.get(node)
        if update is None:
            return 0
        return sum(now < a.end_s + OVERDUE_S for a in update.assignments)

    def hears(self, node: str, now: float) -> bool:
        """Return whether the newest update of a peer is valid."""
        update = self._peers.get(node)
        return update is not None and now - update.received_s <= update.valid_s

    def oldest_update_age_s(self, now: float) -> float:
        """Return the age of the oldest peer update in use, in seconds."""
        ages = (now - update.received_s for update in self._current(now))
        return max(ages, default=0.0)

    def by_backend(self, now: float) -> dict[str, list[Assignment]]:
        """Return what is assigned to each backend server, by its id."""
        by_id: dict[str, list[Assignment]] = {}
        for assignment in self._all(now):
            by_id.setdefault(assignment.backend_id, []).append(assignment)
        return by_id

    def _all(self, now: float) -> Iterator[Assignment]:
        yield from self._own.values()
        for update in self._current(now):
            yield from (a for a in update.assignments if now < a.end_s + OVERDUE_S)

    def _current(self, now: float) -> Iterator[_PeerAssignments]:
        return (u for u in self._peers.values() if now - u.received_s <= u.valid_s)
