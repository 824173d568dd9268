"""Messages of a forwarded request, encoded as JSON."""

import attrs

from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.requests import AnswerEnd, LengthClass, TokenChunk

__all__ = [
    "ForwardError",
    "ForwardLine",
    "ForwardReply",
    "ForwardedCall",
    "ForwardedModelRequest",
    "raise_forward_error",
    "to_forward_error",
]


@attrs.frozen
class ForwardedModelRequest:
    """
    A model request that is forwarded to another failure domain.

    :param forward_id: unique id, which each chunk of the answer carries as its
        attempt id.
    :param forwarded_by: id of the forwarding node; the receiver takes it from the
        signature.
    :param remaining_ms: time until the deadline, in milliseconds.

    The other fields are those of ``ModelRequest``.
    """

    forward_id: str
    forwarded_by: str
    request_id: str
    account: str
    model: str
    prompt: str = attrs.field(repr=False)
    prompt_tokens: int
    max_tokens: int
    length_class: LengthClass
    remaining_ms: int
    traceparent: str = ""


@attrs.frozen
class ForwardedCall:
    """
    A call of a plain service that is forwarded to another failure domain.

    :param forwarded_by: id of the forwarding node; the receiver takes it from the
        signature.
    :param remaining_ms: time until the deadline, in milliseconds.

    The other fields are those of ``ServiceRequest``.
    """

    forwarded_by: str
    request_id: str
    account: str
    service: str
    operation: str
    body: bytes = attrs.field(repr=False)
    content_type: str
    idempotency_key: str
    remaining_ms: int
    traceparent: str = ""


@attrs.frozen
class ForwardError:
    """
    An error that the receiving node reports to the forwarding one.

    :param number: number of the result code.
    :param detail: description for people.
    :param ran: whether the request was run.
    :param retry_after_s: delay after which a retry is useful, in seconds; None when
        it isn't.
    """

    number: int
    detail: str
    ran: Ran
    retry_after_s: float | None = None


@attrs.frozen
class ForwardReply:
    """
    The reply of a plain service.

    :param status: HTTP status that the service sent.
    :param body: response body; base85 in the JSON.
    :param content_type: media type of the body.
    """

    status: int
    body: bytes = attrs.field(repr=False)
    content_type: str


@attrs.frozen
class ForwardLine:
    """
    One line of the response: exactly one field is set.

    Only lines with a token are followed by another line.
    """

    token: TokenChunk | None = None
    end: AnswerEnd | None = None
    reply: ForwardReply | None = None
    error: ForwardError | None = None


def to_forward_error(error: TanagerkeelError) -> ForwardError:
    """Return the message for an error."""
    return ForwardError(
        error.result.number, error.detail, error.ran, error.retry_after_s
    )


def raise_forward_error(error: ForwardError) -> None:
    """
    Raise the error that the other node reported.

    :raises TanagerkeelError: always; FORWARD_FAILED when the number is unknown here.
    """
    numbers = {code.number: code for code in ResultCode}
    result = numbers.get(error.number, ResultCode.FORWARD_FAILED)
    raise TanagerkeelError(result, error.detail, error.ran, error.retry_after_s)
