"""HTTP client helpers that tell whether a failed request may have been sent."""

import aiohttp
import attrs
from aiohttp import ClientHandlerType

__all__ = ["NOT_SENT_ERRORS", "SendOnce", "client_timeout", "failure_reason"]

CONNECT_TIMEOUT_S = 1.0
# Share of a short total timeout that connecting may take. The rest makes sure that the
# connect timeout comes first, so that the request is known not to have been sent.
CONNECT_SHARE = 0.8

# No connection was made, so the request was not sent. After any other failure it may
# have been sent, even on a pooled connection that the server had closed.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


def client_timeout(total_s: float | None) -> aiohttp.ClientTimeout:
    """
    Return timeouts in which the connect timeout is shorter than the total timeout.

    A call that times out while it connects is then known not to have been sent.

    :param total_s: timeout of the whole call, in seconds; None for no timeout.
    """
    connect_s = CONNECT_TIMEOUT_S
    if total_s is not None:
        connect_s = min(connect_s, total_s * CONNECT_SHARE)
    return aiohttp.ClientTimeout(total=total_s, connect=connect_s)


def failure_reason(error: Exception) -> str:
    """Return a short description of why a call failed."""
    name = type(error).__name__
    match error:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return f"no connection came up ({name})"
        case TimeoutError():
            return "no answer in time"
        case aiohttp.ClientConnectionError() | aiohttp.ClientPayloadError() | OSError():
            return f"the connection broke ({name})"
        case _:
            return f"the answer is not valid: {error}"


@attrs.define
class SendOnce:
    """
    A client middleware that prevents the client from retrying a request.

    aiohttp retries a PUT by itself when a pooled connection breaks; a compare-and-swap
    that had taken effect would then look like a conflict.
    """

    _sent: bool = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Pass the request on the first time; fail on a retry."""
        if self._sent:
            raise aiohttp.ClientConnectionError("the connection broke")
        self._sent = True
        return await handler(request)
