"""
Which failure domains can't be reached from this node.

Load pattern: a failure domain is partitioned from the others while callers still come
to all of them. Each backend server behind the cut would be found unreachable by itself,
one request after the other, and prompts would be read in parts across the cut. Losses
of several backend servers of one failure domain, with no word from any other one there,
tell that the way is cut and not that they have failed.
"""

import attrs

__all__ = ["DomainReach"]

# Backend servers of a failure domain that are lost in a row before new work avoids it:
# one alone has just as likely crashed.
SUSPECTED_LOSSES = 2
# Before work that runs there is taken elsewhere. A looking task adds up to three losses
# to the suspicion at once, so that a few crashes alone don't come to this.
CERTAIN_LOSSES = 4
# A loss that is older says nothing, in seconds: several times the pause after which the
# looking task confirms a cut that lasts.
LOSS_TTL_S = 2.0


@attrs.define
class DomainReach:
    """Counts backend servers that were lost since a failure domain was last heard."""

    # When each backend server was last lost, by failure domain.
    _losses: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def lost(self, domain: str, backend_id: str, now: float) -> None:
        """Take in that a backend server of a failure domain could not be reached."""
        self._losses.setdefault(domain, {})[backend_id] = now

    def heard(self, domain: str) -> None:
        """Take in that anything arrived from a failure domain."""
        self._losses.pop(domain, None)

    def suspected(self, domain: str, now: float) -> bool:
        """Return whether new work should avoid a failure domain."""
        return self._count(domain, now) >= SUSPECTED_LOSSES

    def cut_off(self, domain: str, now: float) -> bool:
        """Return whether work that runs in a failure domain should go elsewhere."""
        return self._count(domain, now) >= CERTAIN_LOSSES

    def losses(self, domain: str, now: float) -> int:
        """Return how many backend servers were lost since a domain was last heard."""
        return self._count(domain, now)

    def _count(self, domain: str, now: float) -> int:
        losses = self._losses.get(domain)
        if not losses:
            return 0
        return sum(now - lost_s <= LOSS_TTL_S for lost_s in losses.values())
