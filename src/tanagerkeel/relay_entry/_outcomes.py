"""How one attempt at a backend server ended."""

import attrs

from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.gateways.exchange import BodyDelimiter
from tanagerkeel.relay import ReplyHead, SendFailure

__all__ = [
    "Delivered",
    "ErrorReply",
    "Migrated",
    "NoMemory",
    "NotRunReply",
    "NotSent",
    "AttemptOutcome",
    "RefusedByPeer",
    "ReplyLost",
    "StalePlacement",
    "Withheld",
]


@attrs.frozen
class Delivered:
    """
    The complete response was forwarded to the caller.

    :param status: HTTP status of the response.
    :param delimiter: what marked the end of its body.
    """

    status: int
    delimiter: BodyDelimiter


@attrs.frozen
class NotSent:
    """
    No connection came up, so nothing was sent.

    :param reason: why the connection failed.
    :param connection_refused: whether nothing listens at the backend server's address,
        as after a crash.
    """

    reason: str
    connection_refused: bool = False


@attrs.frozen
class NoMemory:
    """
    An engine did not reserve memory, so the request wasn't sent.

    :param backend_id: the engine.
    """

    backend_id: str


@attrs.frozen
class NotRunReply:
    """
    The response states that the request has not run and never will.

    :param reason: status of the response, for the log.
    :param blamed_address: address of the backend server that the response names as the
        cause, such as a helper; None for the one that responded.
    :param misdirected: whether another backend server has taken over the address.
    :param held_off: whether the backend server asked to be sent nothing for a time.
    """

    reason: str
    blamed_address: str | None = None
    misdirected: bool = False
    held_off: bool = False


@attrs.frozen
class ErrorReply:
    """
    A complete response of a backend server that failed, not yet forwarded.

    Its status is 5xx, or promises "not run" without the statement that makes it true.

    :param head: its status and headers.
    :param body: its whole body.
    :param held_off: whether the backend server asked to be sent nothing for a time.
    """

    head: ReplyHead
    body: bytes = attrs.field(repr=False)
    held_off: bool = False

    @property
    def reason(self) -> str:
        """Description for the log."""
        reason = f"backend server answered with status {self.head.status}"
        if self.head.promises_unstated:
            return f'{reason}, "not run" not stated'
        return reason


@attrs.frozen
class ReplyLost:
    """
    The request may have run, and the rest of the response is lost.

    :param failure: the kind of failure.
    :param reason: description for the log.
    """

    failure: SendFailure
    reason: str


@attrs.frozen
class Migrated:
    """The stream continues at another backend server; this one did not fail."""


@attrs.frozen
class Withheld:
    """
    The request was not sent, as a section of its prompt is quarantined.

    :param section: id of the section.
    """

    section: str


@attrs.frozen
class StalePlacement:
    """
    The request was not sent, as its placement no longer holds.

    :param backend_id: the backend server, or helper, that takes no new work any more.
    """

    backend_id: str


@attrs.frozen
class RefusedByPeer:
    """
    A peer to which the request was forwarded refused it or failed to serve it.

    :param code: the peer's result code.
    :param ran: whether a backend server may have run the request.
    :param retry_after_s: when a retry may help, in seconds; None if it doesn't.
    :param try_another: whether another peer may be able to serve it.
    """

    code: ResultCode
    ran: Ran
    retry_after_s: float | None = None
    try_another: bool = False


AttemptOutcome = (
    Delivered
    | NotSent
    | NoMemory
    | NotRunReply
    | ErrorReply
    | ReplyLost
    | Migrated
    | StalePlacement
    | Withheld
    | RefusedByPeer
)
