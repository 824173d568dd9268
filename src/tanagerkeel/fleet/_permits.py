"""Permits to dispatch requests to backend servers with a low concurrency limit."""

import math
import uuid
from typing import Protocol

import attrs

__all__ = ["Permit", "PermitSource", "UnlimitedPermits"]


@attrs.frozen
class Permit:
    """
    A permit to run one request on a backend server.

    :param permit_id: unique id, by which the grantor counts the request.
    :param backend: name of the backend server.
    :param expires_s: this node's monotonic time before which the request must be
        dispatched, in seconds; a request that was dispatched in time may run longer.
    """

    permit_id: str
    backend: str
    expires_s: float


class PermitSource(Protocol):
    """Acquires permits from the grantor of each backend server."""

    async def acquire(self, backend: str, timeout_s: float) -> Permit | None:
        """
        Return a permit, or None if the backend server is at its concurrency limit.

        :param backend: name of the backend server.
        :param timeout_s: maximum wait for the grantor's answer, in seconds.
        """

    async def release(self, permit: Permit) -> None:
        """Return a permit after its request has ended."""


@attrs.frozen
class UnlimitedPermits:
    """Grants every permit; for a node that runs without control tasks."""

    async def acquire(self, backend: str, timeout_s: float) -> Permit | None:
        """Return a permit that never expires."""
        return Permit(uuid.uuid4().hex, backend, math.inf)

    async def release(self, permit: Permit) -> None:
        """Do nothing, since these permits are not counted."""
