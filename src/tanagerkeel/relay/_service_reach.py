"""
To which backend servers of a service new connections don't come up.

Load pattern: a node loses its way to all backend servers, while callers, the store and
its peers still reach it. Connections that live on prove nothing about new ones. Without
this decision, each request would try one backend server after the other.
"""

import attrs

__all__ = ["OUT_OF_REACH_DOMAINS", "OUT_OF_REACH_FAILURES", "ServiceReach"]

# Number of backend servers to which no connection came up, one after the other, from
# which on a service may be out of reach. One or two may just have crashed.
OUT_OF_REACH_FAILURES = 3
# Number of failure domains that these are in, or all that the service has: a single one
# may be cut off from this node's.
OUT_OF_REACH_DOMAINS = 3
# Failures that are older than this don't count, in seconds. Probes of a service that is
# out of reach repeat them within this time.
FAILURE_TTL_S = 2.0


@attrs.define
class ServiceReach:
    """The backend servers of each service that failed since the last connection."""

    # Service -> backend server -> monotonic time of its last failure, in seconds.
    _failures: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def record_failure(self, service: str, backend_id: str, now: float) -> None:
        """Record that no connection to a backend server came up."""
        self._failures.setdefault(service, {})[backend_id] = now

    def record_connection(self, service: str) -> None:
        """Record that a connection to any backend server of a service came up."""
        self._failures.pop(service, None)

    def failed(self, service: str, now: float) -> frozenset[str]:
        """Return the backend servers that failed and have not been tried since."""
        failures = self._failures.get(service, {})
        return frozenset(
            backend_id
            for backend_id, failure_s in failures.items()
            if now - failure_s <= FAILURE_TTL_S
        )
