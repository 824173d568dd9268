"""Free capacity of the engines, as admission sees it."""

import math
from typing import Protocol

import attrs

from tanagerkeel.requests import LengthClass

__all__ = ["CapacitySource", "Lane", "UnlimitedCapacity"]


@attrs.frozen
class Lane:
    """
    Identifies a queue of requests that compete for the same engines.

    :param model: name of the model.
    :param length_class: length class of the prompts.
    """

    model: str
    length_class: LengthClass


class CapacitySource(Protocol):
    """Reports how much more work the engines of a lane can take."""

    def available_tokens(self, lane: Lane, now: float) -> float:
        """
        Return how many prompt tokens the lane's engines can accept now.

        Any positive value admits one request, however long it is.

        :param lane: the lane.
        :param now: this node's monotonic time, in seconds.
        """


@attrs.frozen
class UnlimitedCapacity:
    """Reports infinite capacity, so that only ``max_streams`` limits admission."""

    def available_tokens(self, lane: Lane, now: float) -> float:
        """Return infinity."""
        return math.inf
