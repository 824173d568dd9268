"""HTTP client that forwards requests to nodes of other failure domains."""

from collections.abc import AsyncIterator

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.forward._messages import (
    ForwardedCall,
    ForwardedModelRequest,
    ForwardLine,
    ForwardReply,
    raise_forward_error,
)
from tanagerkeel.gateways.http_client import NOT_SENT_ERRORS, client_timeout
from tanagerkeel.gateways.request_signature import SIGNATURE_HEADER, ForwardSigner
from tanagerkeel.requests import AnswerChunk

__all__ = ["ForwardFailed", "HttpForwardGateway"]

MODEL_PATH = "/v1/forward/model"
CALL_PATH = "/v1/forward/call"
SESSION_PATH = "/v1/session"
SESSION_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_CONFLICT = 409
# From this status on, the receiver failed while it handled the request.
HTTP_SERVER_ERROR = 500
MAX_TOKEN_LINE_BYTES = 65_536
MAX_REPLY_LINE_BYTES = 16_000_000


@attrs.define(auto_exc=True)
class ForwardFailed(Exception):
    """
    A forwarded request ended without an answer or an error of the other node.

    :param reason: description of the failure.
    :param sent: False only if the request provably did not run on the other node.
    """

    reason: str
    sent: bool = True


@attrs.define
class HttpForwardGateway:
    """
    Forwards requests, each in one HTTP request, and reads the answers as streams.

    :param session: the HTTP client session; closed by its owner.
    :param signer: signs the requests.
    """

    _session: aiohttp.ClientSession
    _signer: ForwardSigner

    async def answer(
        self, address: str, forwarded: ForwardedModelRequest
    ) -> AsyncIterator[AnswerChunk]:
        """
        Yield the chunks of the other node's answer.

        :raises TanagerkeelError: the error that the other node reported.
        :raises ForwardFailed: when there is no connection, or it ends early.
        """
        lines = self._read_lines(address, MODEL_PATH, forwarded, MAX_TOKEN_LINE_BYTES)
        async for line in lines:
            match line:
                case ForwardLine(token=chunk) if chunk is not None:
                    yield chunk
                case ForwardLine(end=chunk) if chunk is not None:
                    yield chunk
                    return
                case ForwardLine(error=error) if error is not None:
                    raise_forward_error(error)
        raise ForwardFailed("the stream ended before the end of the answer")

    async def call(self, address: str, forwarded: ForwardedCall) -> ForwardReply:
        """
        Forward a call and return the reply of the plain service.

        :raises TanagerkeelError: the error that the other node reported.
        :raises ForwardFailed: when there is no connection, or it ends early.
        """
        lines = self._read_lines(address, CALL_PATH, forwarded, MAX_REPLY_LINE_BYTES)
        async for line in lines:
            match line:
                case ForwardLine(reply=reply) if reply is not None:
                    return reply
                case ForwardLine(error=error) if error is not None:
                    raise_forward_error(error)
        raise ForwardFailed("the response ended before the reply")

    async def _read_lines(
        self,
        address: str,
        path: str,
        message: ForwardedModelRequest | ForwardedCall,
        max_line_bytes: int,
    ) -> AsyncIterator[ForwardLine]:
        body = codec.encode(message)
        timeout = client_timeout(message.remaining_ms / 1_000)
        try:
            await self._fetch_session(address)
            for _ in range(2):
                async with self._session.post(
                    f"http://{address}{path}",
                    data=body,
                    headers={SIGNATURE_HEADER: self._signer.sign(address, path, body)},
                    timeout=timeout,
                    read_bufsize=max_line_bytes,
                ) as response:
                    if response.status == HTTP_CONFLICT:
                        # The receiver has restarted and ran nothing: sign again.
                        self._signer.set_session(address, int(await response.text()))
                        continue
                    _check_status(response)
                    async for line in response.content:
                        yield codec.decode(line, ForwardLine, lenient=True)
                    return
        except NOT_SENT_ERRORS as error:
            raise ForwardFailed(str(error), sent=False) from error
        except (
            TimeoutError,
            aiohttp.ClientError,
            codec.InvalidValue,
            ValueError,
        ) as error:
            raise ForwardFailed(repr(error)) from error
        raise ForwardFailed(
            "the receiver's session changed again after a retry", sent=False
        )

    async def _fetch_session(self, address: str) -> None:
        if self._signer.has_session(address):
            return
        timeout = client_timeout(SESSION_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{address}{SESSION_PATH}", timeout=timeout
            ) as response:
                self._signer.set_session(address, int(await response.text()))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise ForwardFailed(repr(error), sent=False) from error


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status >= HTTP_SERVER_ERROR:
        raise ForwardFailed(f"status {response.status}")
    if response.status != HTTP_OK:
        # The receiver rejected the request before it looked at the content.
        raise TanagerkeelError(ResultCode.FORWARD_REFUSED, f"status {response.status}")
