"""The interface through which the rest of the product calls plain services."""

from typing import Protocol

import attrs

__all__ = ["ServiceCall", "ServiceGateway", "ServiceReply"]


@attrs.frozen
class ServiceCall:
    """
    One attempt to call an operation of a plain service.

    :param attempt_id: unique id that the service echoes in its reply.
    :param request_id: the same in all attempts of a request.
    :param operation: name of the operation, as in the configuration.
    :param body: the caller's request body, passed on unchanged.
    :param content_type: media type of the body.
    :param idempotency_key: key by which services that deduplicate recognise a repeated
        call, or empty.
    :param remaining_ms: time until the deadline, in milliseconds.
    :param traceparent: W3C trace context, or empty.
    """

    attempt_id: str
    request_id: str
    operation: str
    body: bytes = attrs.field(repr=False)
    content_type: str
    idempotency_key: str
    remaining_ms: int
    traceparent: str = ""


@attrs.frozen
class ServiceReply:
    """
    A plain service's reply.

    :param status: HTTP status, passed on to the caller.
    :param body: response body, passed on to the caller.
    :param content_type: media type of the body.
    """

    status: int
    body: bytes = attrs.field(repr=False)
    content_type: str


class ServiceGateway(Protocol):
    """Calls plain services, each addressed by its backend server's ``IP:PORT``."""

    async def call(self, address: str, call: ServiceCall) -> ServiceReply:
        """
        Make one attempt of a call and return the reply.

        :raises BackendRefused: if the service responds that it did not run the call.
        :raises BackendFailed: if it can't be reached, or the call fails.
        """
