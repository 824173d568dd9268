"""Problem documents of RFC 9457."""

import functools
import http
import math
import re
import typing
import uuid

import attrs

from tanagerkeel import codec
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.http_protocol import HeaderPolicy, Headers, MakeResponse

if typing.TYPE_CHECKING:
    # A node that relays opaque requests doesn't use falcon; importing it takes time.
    import falcon.asgi

__all__ = [
    "REQUEST_ID_HEADER",
    "Problem",
    "header_policy",
    "problem_of",
    "safe_request_id",
    "send_problem",
]

REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
REQUEST_ID_HEADER = "X-Request-Id"

PROBLEM_MEDIA_TYPE = "application/problem+json"
# Retry-After of a client that held too much, in seconds.
NODE_FULL_RETRY_S = 1


@attrs.frozen
class Problem:
    """
    The body of every error response.

    :param type: a URN that identifies the result code.
    :param title: one line for people; always the same for one code.
    :param status: HTTP status, as in the status line.
    :param code: result code, such as ``TK-2001``.
    :param detail: what happened in this request.
    :param ran: whether the request was executed: ``no``, ``yes`` or ``unknown``.
    :param request_id: as in the ``X-Request-Id`` header.
    """

    type: str
    title: str
    status: int
    code: str
    detail: str
    ran: str
    request_id: str


def problem_of(error: TanagerkeelError, request_id: str) -> Problem:
    """Return the problem document of an error."""
    result = error.result
    return Problem(
        type=f"urn:tanagerkeel:result:{result.number}",
        title=result.title,
        status=result.status,
        code=result.code,
        detail=error.detail,
        ran=error.ran.value,
        request_id=request_id,
    )


def send_problem(
    response: "falcon.asgi.Response", error: TanagerkeelError, request_id: str
) -> None:
    """Fill in ``response`` with the problem document of an error."""
    response.status = error.result.status
    response.content_type = PROBLEM_MEDIA_TYPE
    response.data = codec.encode(problem_of(error, request_id))
    response.set_header(REQUEST_ID_HEADER, request_id)
    if error.retry_after_s is not None:
        response.set_header("Retry-After", str(math.ceil(error.retry_after_s)))


def safe_request_id(value: str | None) -> str:
    """Return the caller's request id if it is valid, otherwise a new one."""
    if value is not None and REQUEST_ID_PATTERN.fullmatch(value):
        return value
    return uuid.uuid4().hex


def header_policy(max_bytes: int, max_body_bytes: int | None = None) -> HeaderPolicy:
    """
    Return a policy that answers rejected requests with problem documents.

    :param max_bytes: largest header block that is accepted, in bytes.
    :param max_body_bytes: longest body that may be announced, in bytes; None for any.
    """

    def refusal(result: ResultCode, detail: str = "") -> MakeResponse:
        return functools.partial(_raw_problem, result, detail)

    return HeaderPolicy(
        max_bytes,
        refusal(ResultCode.HEADERS_TOO_LARGE, f"more than {max_bytes} bytes"),
        refusal(ResultCode.MALFORMED_REQUEST),
        max_body_bytes=max_body_bytes,
        body_too_large=refusal(
            ResultCode.BODY_TOO_LARGE, f"more than {max_body_bytes} bytes"
        ),
        body_too_slow=refusal(ResultCode.BODY_TIMEOUT),
        too_much=refusal(ResultCode.NODE_FULL),
    )


def _raw_problem(result: ResultCode, detail: str, headers: Headers) -> bytes:
    name = REQUEST_ID_HEADER.lower().encode()
    received = next((v.decode("latin-1") for n, v in headers if n == name), None)
    request_id = safe_request_id(received)
    body = codec.encode(problem_of(TanagerkeelError(result, detail), request_id))
    lines = (
        f"HTTP/1.1 {result.status} {http.HTTPStatus(result.status).phrase}",
        f"Content-Type: {PROBLEM_MEDIA_TYPE}",
        f"Content-Length: {len(body)}",
        f"{REQUEST_ID_HEADER}: {request_id}",
        "Connection: close",
    )
    if result is ResultCode.NODE_FULL:
        lines = (*lines, f"Retry-After: {NODE_FULL_RETRY_S}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
