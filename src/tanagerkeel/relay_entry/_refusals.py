"""Refusals by the node itself, sent as ``application/problem+json``."""

from tanagerkeel import codec
from tanagerkeel.errors import Ran, TanagerkeelError
from tanagerkeel.gateways.problems import PROBLEM_MEDIA_TYPE, problem_of
from tanagerkeel.relay_entry._admit import Refusal
from tanagerkeel.relay_entry._protocols import CallerReply

__all__ = ["send_refusal"]


async def send_refusal(
    reply: CallerReply, refusal: Refusal, request_id: str, ran: Ran = Ran.NO
) -> None:
    """
    Send a refusal to the caller.

    :param reply: where the response is written.
    :param refusal: result code and Retry-After; the reason isn't sent.
    :param request_id: id that the caller gave the request.
    :param ran: whether a backend server may have run it.
    """
    error = TanagerkeelError(refusal.code, "", ran)
    body = codec.encode(problem_of(error, request_id))
    headers = [
        (b"content-type", PROBLEM_MEDIA_TYPE.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    if refusal.retry_after_s is not None:
        headers.append((b"retry-after", f"{refusal.retry_after_s:.3f}".encode()))
    await reply.send_own(refusal.code.status, tuple(headers), body)
