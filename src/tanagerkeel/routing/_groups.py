"""Engine groups by length class, sized by the share of recent work."""

import math

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.rendezvous import rendezvous
from tanagerkeel.requests import LengthClass

__all__ = ["EngineGroups"]

HALF_LIFE_S = 120.0
# Work that is assumed before any was seen, so that the first requests of a node
# do not decide alone.
PRIOR_TOKENS = 500_000.0
PRIOR_LONG_SHARE = 0.4
# The size follows the work when it is off by more engines than this, and not
# sooner after the last change than this.
DEAD_BAND_ENGINES = 0.75
HOLD_S = 30.0
MIN_SHORT_SHARE = 0.2
# Long prompts can wait, so their engines may be fuller than the others, until
# prompts wait longer than the first time; and again below the second.
FULLER_WEIGHT = 0.75
PRESSED_S = 20.0
RELIEVED_S = 5.0
MODEL_LIMIT = 64
REQUEST_LIMIT = 512


@attrs.define
class _ModelWork:
    short_tokens: float = PRIOR_TOKENS * (1 - PRIOR_LONG_SHARE)
    long_tokens: float = PRIOR_TOKENS * PRIOR_LONG_SHARE
    updated_s: float = -math.inf
    held_share: float = PRIOR_LONG_SHARE * FULLER_WEIGHT
    changed_s: float = -math.inf
    is_pressed: bool = False

    @property
    def long_share(self) -> float:
        share = self.long_tokens / max(1.0, self.short_tokens + self.long_tokens)
        return share if self.is_pressed else share * FULLER_WEIGHT

    def decay(self, now: float) -> None:
        if math.isfinite(self.updated_s):
            factor = 0.5 ** ((now - self.updated_s) / HALF_LIFE_S)
            # The share stays when all work stops: it is the best guess.
            floor = PRIOR_TOKENS / max(1.0, self.short_tokens + self.long_tokens)
            factor = max(factor, min(1.0, floor))
            self.short_tokens *= factor
            self.long_tokens *= factor
        self.updated_s = now


@attrs.define
class EngineGroups:
    """
    Which engines run long prompts; times are monotonic, in seconds.

    Every node ranks the engines of a model alike. Nodes that measure other shares
    of work therefore choose groups of which one holds the other.
    """

    _work: dict[str, _ModelWork] = attrs.field(factory=dict)
    _recorded: dict[str, None] = attrs.field(factory=dict)

    def record(
        self,
        request_id: str,
        model: str,
        length_class: LengthClass,
        tokens: int,
        now: float,
    ) -> None:
        """Take in a request's prefill work; further attempts count once."""
        if request_id in self._recorded:
            return
        self._recorded[request_id] = None
        if len(self._recorded) > REQUEST_LIMIT:
            self._recorded.pop(next(iter(self._recorded)))
        work = self._of(model)
        work.decay(now)
        if length_class is LengthClass.SHORT:
            work.short_tokens += tokens
        else:
            work.long_tokens += tokens

    def wait(self, model: str, seconds: float) -> None:
        """
        Take in how long the long prompts of a model wait.

        :param model: name of the model.
        :param seconds: mean prefill time that waits on the engines for them.
        """
        work = self._of(model)
        if seconds > PRESSED_S:
            work.is_pressed = True
        elif seconds < RELIEVED_S:
            work.is_pressed = False

    def long_names(
        self, model: str, names: tuple[str, ...], now: float
    ) -> frozenset[str]:
        """
        Return which engines run long prompts.

        :param model: name of the model.
        :param names: the engines that serve it now.
        :param now: this node's monotonic time.
        """
        if len(names) < 2:
            return frozenset(names)
        work = self._of(model)
        self._follow(model, work, len(names), now)
        size = _size(work.held_share, len(names))
        return frozenset(rendezvous(f"long/{model}", names)[:size])

    def _of(self, model: str) -> _ModelWork:
        work = self._work.pop(model, None) or _ModelWork()
        self._work[model] = work
        if len(self._work) > MODEL_LIMIT:
            self._work.pop(next(iter(self._work)))
        return work

    def _follow(self, model: str, work: _ModelWork, count: int, now: float) -> None:
        off_engines = abs(work.long_share - work.held_share) * count
        if off_engines <= DEAD_BAND_ENGINES or now - work.changed_s < HOLD_S:
            return
        before = _size(work.held_share, count)
        work.held_share = work.long_share
        work.changed_s = now
        after = _size(work.held_share, count)
        if before != after:
            log(LogEvent.GROUPS_CHANGED, model=model, before=before, after=after)


def _size(share: float, count: int) -> int:
    most = count - max(1, math.ceil(count * MIN_SHORT_SHARE))
    return max(1, min(most, round(share * count)))
