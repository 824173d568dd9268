"""The warm-up of a stand-in engine after a cold start."""

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.standins._engine_profile import EngineProfile

__all__ = ["Warmth"]

WARM = 1.0


@attrs.define
class Warmth:
    """
    How warm an engine is; it warms up with time and with prefilled tokens.

    :param clock: source of time.
    :param profile: how fast it warms up.
    """

    _clock: Clock
    _profile: EngineProfile
    _cold_since_s: float | None = None
    _prefilled_tokens: int = 0

    def __attrs_post_init__(self) -> None:
        if self._profile.starts_cold:
            self.become_cold()

    @property
    def level(self) -> float:
        """Warm level, from 0 (cold) to 1 (warm)."""
        if self._cold_since_s is None:
            return WARM
        elapsed_s = self._clock.monotonic() - self._cold_since_s
        by_time = elapsed_s / max(self._profile.warm_up_s, 1e-9)
        by_work = self._prefilled_tokens / max(self._profile.warm_up_tokens, 1)
        return min(WARM, by_time + by_work)

    @property
    def is_cold(self) -> bool:
        """Whether it is not fully warm, so that its ``cold_limit`` applies."""
        return self.level < WARM

    @property
    def rate_factor(self) -> float:
        """Current factor on the prefill and decode rates, at most 1."""
        cold_share = self._profile.cold_share
        return cold_share + (1 - cold_share) * self.level

    def become_cold(self) -> None:
        """Start the warm-up again from level 0."""
        self._cold_since_s = self._clock.monotonic()
        self._prefilled_tokens = 0

    def record_prefill(self, tokens: int) -> None:
        """Count tokens that were prefilled."""
        self._prefilled_tokens += tokens
