"""How long requests take and how much work engines can take in now."""

import math
from collections.abc import Iterator

import attrs

from tanagerkeel.admission import Lane
from tanagerkeel.fleet import FleetTable
from tanagerkeel.requests import LengthClass, ModelRequest
from tanagerkeel.routing import Router

__all__ = ["AnswerLengths", "FleetCapacity", "ServiceEstimate", "estimate_service"]

# Prefill that may wait at an engine, in seconds; the rest waits in fair order here.
SHORT_HORIZON_S = 0.5
LONG_HORIZON_S = 2.0
# Weight of the newest answer in the mean length.
NEWEST_SHARE = 0.05


@attrs.frozen
class ServiceEstimate:
    """
    The time that a request likely needs on a backend server.

    :param first_token_s: until its first token, in seconds.
    :param decode_s: from there to its end, in seconds.
    """

    first_token_s: float
    decode_s: float

    @property
    def total_s(self) -> float:
        """The whole time, in seconds."""
        return self.first_token_s + self.decode_s


@attrs.define
class AnswerLengths:
    """The mean length of answers by lane, learned from those that ended."""

    _mean_tokens: dict[Lane, float] = attrs.field(factory=dict)

    def observe(self, lane: Lane, tokens: int) -> None:
        """Take in the length of an answer, in tokens."""
        mean = self._mean_tokens.get(lane, float(tokens))
        self._mean_tokens[lane] = mean + NEWEST_SHARE * (tokens - mean)

    def expected(self, lane: Lane, max_tokens: int) -> float:
        """Return the likely length of an answer, in tokens; 0 when unknown."""
        return min(float(max_tokens), self._mean_tokens.get(lane, 0.0))


def estimate_service(
    router: Router, request: ModelRequest, answer_tokens: float, now: float
) -> ServiceEstimate | None:
    """
    Return the time that the request likely needs.

    :param router: knows what its backend servers bear.
    :param request: the request.
    :param answer_tokens: likely length of its answer, in tokens.
    :param now: this node's monotonic time, in seconds.
    :returns: None when no backend server is known to serve it.
    """
    estimate = router.estimate(request, now)
    if estimate is None:
        return None
    # The router takes the longest answer.
    longest_s = estimate.answer_s - estimate.first_token_s
    share = answer_tokens / max(1, request.max_tokens)
    return ServiceEstimate(estimate.first_token_s, longest_s * share)


@attrs.define
class FleetCapacity:
    """
    Reports capacity while the best engine for a request has little work ahead of it.

    The capacity of all engines together would count those that the router keeps for
    other length classes.

    :param fleet: the backend servers of this failure domain.
    :param router: knows which of them a request may use.
    """

    _fleet: FleetTable
    _router: Router
    # The last request of each lane stands for those that wait in it.
    _samples: dict[Lane, ModelRequest] = attrs.field(factory=dict)

    def sample(self, lane: Lane, request: ModelRequest) -> None:
        """Take in a request of a lane."""
        self._samples[lane] = request

    def available_tokens(self, lane: Lane, now: float) -> float:
        """Return how many tokens the lane's best engine can take in now."""
        sample = self._samples.get(lane)
        estimate = self._router.estimate(sample, now) if sample is not None else None
        if estimate is None:
            # Without an engine nothing is to be gained from waiting in the queue.
            return math.inf
        rate = max(self._prefill_rates(lane.model, now), default=1.0)
        # A cold engine's slowness is no work ahead: permits bound what it gets.
        return max(0.0, _horizon_s(lane.length_class) - estimate.queue_delay_s) * rate

    def _prefill_rates(self, model: str, now: float) -> Iterator[float]:
        return (
            snapshot.prefill_rate
            for snapshot in self._fleet.snapshots(now)
            if model in snapshot.server.models
        )


def _horizon_s(length_class: LengthClass) -> float:
    return SHORT_HORIZON_S if length_class is LengthClass.SHORT else LONG_HORIZON_S
