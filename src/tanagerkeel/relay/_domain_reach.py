"""
Which failure domains can't be reached from this node.

It is decided from connection failures: when connections to several backend servers of
one failure domain fail and no data arrives from any other server there, a network
partition is assumed rather than a failure of each server.

Load pattern: a failure domain is partitioned from the others while callers still reach
all of them. Without this decision each backend server behind the partition would be
found unreachable by itself, one request after the other, and prompts would be
prefilled in parts across the partition.
"""

import attrs

__all__ = ["DomainReachability"]

# Number of lost backend servers at which new work starts to avoid a failure domain. A
# single one has just as likely crashed.
SUSPECTED_LOSSES = 2
# Number of lost backend servers at which running requests of a failure domain are
# retried elsewhere. The task that probes suspected domains adds up to three losses at
# once, so that a few crashes alone don't reach this count.
CUT_OFF_LOSSES = 4
# Losses that are older than this don't count, in seconds. It is several times the pause
# between two probes of a suspected domain, so that a lasting partition stays known.
LOSS_TTL_S = 2.0


@attrs.define
class DomainReachability:
    """Counts the backend servers of each domain lost since data last came from it."""

    # Failure domain -> backend server -> monotonic time of its last loss, in seconds.
    _losses: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def record_loss(self, domain: str, backend_id: str, now: float) -> None:
        """Record that a backend server of a failure domain could not be reached."""
        self._losses.setdefault(domain, {})[backend_id] = now

    def clear_losses(self, domain: str) -> None:
        """Clear the losses of a failure domain, as data arrived from it."""
        self._losses.pop(domain, None)

    def suspected(self, domain: str, now: float) -> bool:
        """Return whether new work should avoid a failure domain."""
        return self._count(domain, now) >= SUSPECTED_LOSSES

    def cut_off(self, domain: str, now: float) -> bool:
        """Return whether running requests of a failure domain should be retried."""
        return self._count(domain, now) >= CUT_OFF_LOSSES

    def losses(self, domain: str, now: float) -> int:
        """Return how many servers were lost since data last came from a domain."""
        return self._count(domain, now)

    def _count(self, domain: str, now: float) -> int:
        losses = self._losses.get(domain)
        if not losses:
            return 0
        return sum(now - loss_s <= LOSS_TTL_S for loss_s in losses.values())
