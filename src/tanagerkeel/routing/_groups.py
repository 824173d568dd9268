"""Splits a model's engines into groups for long and short prompts."""

import math

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.rendezvous import rendezvous
from tanagerkeel.requests import LengthClass

__all__ = ["EngineGroups"]

# Half-life of the recorded prefill work.
HALF_LIFE_S = 120.0
# Prior for the recorded work, so that a node's first requests don't determine the
# group size alone.
PRIOR_TOKENS = 500_000.0
PRIOR_LONG_SHARE = 0.4
# Hysteresis: the group is resized when it is off by more than this many engines, and
# at most once in this interval.
DEAD_BAND_ENGINES = 0.75
MIN_CHANGE_INTERVAL_S = 30.0
# Fraction of the engines that is always kept for short prompts.
MIN_SHORT_SHARE = 0.2
# Long prompts tolerate queueing, so their group gets only this fraction of the engines
# that its work would need. The reduction is lifted when the mean wait exceeds the
# first bound, and applies again when it falls below the second.
LONG_GROUP_FACTOR = 0.75
BACKLOGGED_WAIT_S = 20.0
RECOVERED_WAIT_S = 5.0
# Models and request ids that are kept in memory.
MAX_MODELS = 64
MAX_REQUESTS = 512


@attrs.define
class _ModelLoad:
    short_tokens: float = PRIOR_TOKENS * (1 - PRIOR_LONG_SHARE)
    long_tokens: float = PRIOR_TOKENS * PRIOR_LONG_SHARE
    updated_s: float = -math.inf
    # The share that determines the current size of the group.
    applied_share: float = PRIOR_LONG_SHARE * LONG_GROUP_FACTOR
    changed_s: float = -math.inf
    is_backlogged: bool = False

    @property
    def long_share(self) -> float:
        """Fraction of the engines that long prompts should get now."""
        share = self.long_tokens / max(1.0, self.short_tokens + self.long_tokens)
        return share if self.is_backlogged else share * LONG_GROUP_FACTOR

    def decay(self, now: float) -> None:
        if math.isfinite(self.updated_s):
            factor = 0.5 ** ((now - self.updated_s) / HALF_LIFE_S)
            # Both amounts decay by the same factor, and their sum never falls below
            # the prior, so the last share is kept while there is no work.
            floor = PRIOR_TOKENS / max(1.0, self.short_tokens + self.long_tokens)
            factor = max(factor, min(1.0, floor))
            self.short_tokens *= factor
            self.long_tokens *= factor
        self.updated_s = now


@attrs.define
class EngineGroups:
    """
    Chooses the engines that run long prompts, by their share of recent prefill work.

    All nodes rank the engines of a model in the same rendezvous order. Nodes that
    measure different shares therefore choose nested groups. Times are monotonic, in
    seconds.
    """

    # By model, the least recently used first.
    _loads: dict[str, _ModelLoad] = attrs.field(factory=dict)
    # Ids of recorded requests, the oldest first.
    _recorded: dict[str, None] = attrs.field(factory=dict)

    def record(
        self,
        request_id: str,
        model: str,
        length_class: LengthClass,
        tokens: int,
        now: float,
    ) -> None:
        """Record a request's prefill work, once however many attempts it takes."""
        if request_id in self._recorded:
            return
        self._recorded[request_id] = None
        if len(self._recorded) > MAX_REQUESTS:
            self._recorded.pop(next(iter(self._recorded)))
        load = self._load_of(model)
        load.decay(now)
        if length_class is LengthClass.SHORT:
            load.short_tokens += tokens
        else:
            load.long_tokens += tokens

    def record_wait(self, model: str, seconds: float) -> None:
        """
        Record the current queueing delay of a model's long prompts.

        :param model: name of the model.
        :param seconds: mean prefill time queued on the engines of the long group.
        """
        load = self._load_of(model)
        if seconds > BACKLOGGED_WAIT_S:
            load.is_backlogged = True
        elif seconds < RECOVERED_WAIT_S:
            load.is_backlogged = False

    def long_engines(
        self, model: str, names: tuple[str, ...], now: float
    ) -> frozenset[str]:
        """
        Return the names of the engines that run long prompts.

        A single engine runs both long and short prompts.

        :param model: name of the model.
        :param names: the engines that currently serve the model.
        :param now: this node's monotonic time, in seconds.
        """
        if len(names) < 2:
            return frozenset(names)
        load = self._load_of(model)
        self._update_share(model, load, len(names), now)
        size = _group_size(load.applied_share, len(names))
        return frozenset(rendezvous(f"long/{model}", names)[:size])

    def _load_of(self, model: str) -> _ModelLoad:
        load = self._loads.pop(model, None) or _ModelLoad()
        self._loads[model] = load
        if len(self._loads) > MAX_MODELS:
            self._loads.pop(next(iter(self._loads)))
        return load

    def _update_share(
        self, model: str, load: _ModelLoad, count: int, now: float
    ) -> None:
        deviation_engines = abs(load.long_share - load.applied_share) * count
        if (
            deviation_engines <= DEAD_BAND_ENGINES
            or now - load.changed_s < MIN_CHANGE_INTERVAL_S
        ):
            return
        before = _group_size(load.applied_share, count)
        load.applied_share = load.long_share
        load.changed_s = now
        after = _group_size(load.applied_share, count)
        if before != after:
            log(LogEvent.GROUPS_CHANGED, model=model, before=before, after=after)


def _group_size(share: float, count: int) -> int:
    max_size = count - max(1, math.ceil(count * MIN_SHORT_SHARE))
    return max(1, min(max_size, round(share * count)))
