"""Estimates of service times and of the engines' free capacity."""

import math
from collections.abc import Iterator

import attrs

from tanagerkeel.admission import Lane
from tanagerkeel.fleet import FleetTable
from tanagerkeel.requests import LengthClass, ModelRequest
from tanagerkeel.routing import Router

__all__ = ["AnswerLengths", "FleetCapacity", "ServiceEstimate", "estimate_service"]

# Maximum queue delay at an engine; further requests wait in this node's fair queue.
SHORT_MAX_QUEUE_DELAY_S = 0.5
LONG_MAX_QUEUE_DELAY_S = 2.0
# Weight of the newest answer in the moving average of the answers' length.
NEWEST_ANSWER_WEIGHT = 0.05


@attrs.frozen
class ServiceEstimate:
    """
    Expected time of a request on a backend server.

    :param first_token_s: until the first token, in seconds.
    :param decode_s: from the first token to the end, in seconds.
    """

    first_token_s: float
    decode_s: float

    @property
    def total_s(self) -> float:
        """Expected time until the end of the answer, in seconds."""
        return self.first_token_s + self.decode_s


@attrs.define
class AnswerLengths:
    """Moving average of the length of complete answers, by lane."""

    _mean_tokens: dict[Lane, float] = attrs.field(factory=dict)

    def record(self, lane: Lane, tokens: int) -> None:
        """Record the length of a complete answer, in tokens."""
        mean = self._mean_tokens.get(lane, float(tokens))
        self._mean_tokens[lane] = mean + NEWEST_ANSWER_WEIGHT * (tokens - mean)

    def expected_tokens(self, lane: Lane, max_tokens: int) -> float:
        """Return the expected length of an answer, in tokens; 0 when unknown."""
        return min(float(max_tokens), self._mean_tokens.get(lane, 0.0))


def estimate_service(
    router: Router, request: ModelRequest, answer_tokens: float, now: float
) -> ServiceEstimate | None:
    """
    Return the expected service time of a request.

    :param router: estimates the time for an answer of maximum length.
    :param request: the request to estimate.
    :param answer_tokens: expected length of its answer, in tokens.
    :param now: this node's monotonic time, in seconds.
    :returns: None when no backend server is known to serve the request.
    """
    estimate = router.estimate(request, now)
    if estimate is None:
        return None
    # The router assumes an answer of the maximum length.
    longest_s = estimate.answer_s - estimate.first_token_s
    share = answer_tokens / max(1, request.max_tokens)
    return ServiceEstimate(estimate.first_token_s, longest_s * share)


@attrs.define
class FleetCapacity:
    """
    Reports the free capacity of the best engine for the requests of a lane.

    The sum over all engines would include those that the router reserves for other
    length classes.

    :param fleet: the backend servers of this failure domain.
    :param router: estimates the queue delay at the best engine for a request.
    """

    _fleet: FleetTable
    _router: Router
    # The latest request of each lane, as representative of those that wait in it.
    _samples: dict[Lane, ModelRequest] = attrs.field(factory=dict)

    def set_sample(self, lane: Lane, request: ModelRequest) -> None:
        """Set the request that represents its lane in estimates."""
        self._samples[lane] = request

    def available_tokens(self, lane: Lane, now: float) -> float:
        """Return how many prompt tokens the lane's best engine can accept now."""
        sample = self._samples.get(lane)
        estimate = self._router.estimate(sample, now) if sample is not None else None
        if estimate is None:
            # Without an engine, waiting in the queue has no use: placement waits for an
            # engine, or fails.
            return math.inf
        rate = max(self._prefill_rates(lane.model, now), default=1.0)
        # Only the queue delay counts: a cold engine is slow without one, and permits
        # limit the requests that it gets.
        return (
            max(0.0, _max_queue_delay_s(lane.length_class) - estimate.queue_delay_s)
            * rate
        )

    def _prefill_rates(self, model: str, now: float) -> Iterator[float]:
        return (
            snapshot.prefill_rate
            for snapshot in self._fleet.snapshots(now)
            if model in snapshot.server.models
        )


def _max_queue_delay_s(length_class: LengthClass) -> float:
    return (
        SHORT_MAX_QUEUE_DELAY_S
        if length_class is LengthClass.SHORT
        else LONG_MAX_QUEUE_DELAY_S
    )
