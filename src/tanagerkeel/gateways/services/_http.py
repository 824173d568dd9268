"""Gateway to plain services over HTTP."""

import aiohttp
import attrs

from tanagerkeel.gateways.engines import BackendFailed, BackendRefused
from tanagerkeel.gateways.http_client import (
    NOT_SENT_ERRORS,
    client_timeout,
    failure_reason,
)
from tanagerkeel.gateways.services._protocol import ServiceCall, ServiceReply

__all__ = ["HttpServiceGateway"]

HTTP_CLIENT_ERRORS = (OSError, aiohttp.ClientError)
RAN_HEADER = "X-Ran"
ATTEMPT_HEADER = "X-Attempt-Id"


@attrs.define
class HttpServiceGateway:
    """
    Calls plain services by the protocol of ``docs/stand-ins.md``.

    :param session: the HTTP client; the gateway doesn't close it.
    """

    _session: aiohttp.ClientSession

    async def call(self, address: str, call: ServiceCall) -> ServiceReply:
        """Make one attempt of a call and return the reply."""
        if call.remaining_ms <= 0:
            raise BackendFailed("the deadline passed", sent=False)
        timeout = client_timeout(call.remaining_ms / 1_000)
        try:
            async with self._session.post(
                f"http://{address}/{call.operation}",
                data=call.body,
                headers=_headers(call),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await _read_reply(response, call.attempt_id)
        except NOT_SENT_ERRORS as error:
            raise BackendFailed(failure_reason(error), sent=False) from error
        except HTTP_CLIENT_ERRORS as error:
            raise BackendFailed(failure_reason(error)) from error


def _headers(call: ServiceCall) -> dict[str, str]:
    headers = {
        # Each call gets a connection of its own. If a pooled connection turned out to
        # be closed by the service, it would be unknown whether a call that must not be
        # repeated has run.
        "Connection": "close",
        "Content-Type": call.content_type,
        "X-Request-Id": call.request_id,
        ATTEMPT_HEADER: call.attempt_id,
        "X-Deadline-Ms": str(call.remaining_ms),
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    if call.traceparent:
        headers["traceparent"] = call.traceparent
    return headers


async def _read_reply(
    response: aiohttp.ClientResponse, attempt_id: str
) -> ServiceReply:
    # Checked first, also for refusals: a reply to another attempt doesn't show whether
    # this one ran.
    if response.headers.get(ATTEMPT_HEADER) != attempt_id:
        raise BackendFailed("the reply belongs to another attempt")
    if response.headers.get(RAN_HEADER) == "no":
        raise BackendRefused(await response.text())
    body = await response.read()
    return ServiceReply(response.status, body, response.content_type)
