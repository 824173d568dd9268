"""ASGI application that reads callers' requests and hands them to the relay."""

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import CallerLimits
from tanagerkeel.relay_entry._admit import Refusal
from tanagerkeel.relay_entry._asgi_reply import AsgiReply, Event, Receive, Send
from tanagerkeel.relay_entry._protocols import CallerCodec
from tanagerkeel.relay_entry._refusals import send_refusal
from tanagerkeel.relay_entry._runner import RelayRunner
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayIngress"]


@attrs.frozen
class RelayIngress:
    """
    ASGI application that reads whole requests and passes them to the runner.

    :param codec: decodes the head of a request.
    :param runner: serves the requests.
    :param state: gives the limits on callers, and whether the node is stopping.
    :param clock: gives the arrival time of requests.
    """

    _codec: CallerCodec
    _runner: RelayRunner
    _state: RelayState
    _clock: Clock

    async def __call__(self, scope: Event, receive: Receive, send: Send) -> None:
        """Serve one ASGI request; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        reply = AsgiReply(scope, send, lambda: self._state.stopping)
        request_id = ""
        try:
            request = self._codec.decode(scope, self._clock.monotonic())
            request_id = request.request_id
            body = await self._read(receive)
        except TanagerkeelError as error:
            refusal = Refusal(error.result, error.detail)
            log(
                LogEvent.RELAY_REFUSED,
                request=request_id,
                code=refusal.code.code,
                reason=refusal.reason,
            )
            await send_refusal(reply, refusal, request_id)
            return
        if body is None:
            # The caller disconnected before the request was complete.
            return
        await self._runner.serve(request, body, reply)

    async def _read(self, receive: Receive) -> bytes | None:
        configuration = self._state.configuration
        limits = configuration.limits if configuration else CallerLimits()
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return None
            chunks.append(event.get("body", b""))
            size += len(chunks[-1])
            if size > limits.max_body_bytes:
                raise TanagerkeelError(
                    ResultCode.BODY_TOO_LARGE, f"over {limits.max_body_bytes} bytes"
                )
            if not event.get("more_body"):
                return b"".join(chunks)
