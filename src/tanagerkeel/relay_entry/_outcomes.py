"""How one send to a backend server ended."""

import attrs

from tanagerkeel.relay import Mishap, ReplyHead

__all__ = [
    "Answered",
    "Delivered",
    "Lost",
    "Moved",
    "NoMemory",
    "NotRun",
    "NotSent",
    "Outcome",
]


@attrs.frozen
class Delivered:
    """
    The caller has the whole answer.

    :param status: its HTTP status.
    """

    status: int


@attrs.frozen
class NotSent:
    """
    Nothing has left this node.

    :param reason: why.
    :param crashed: whether nothing listens where the backend server did.
    """

    reason: str
    crashed: bool = False


@attrs.frozen
class NoMemory:
    """
    An engine did not set memory aside, and nothing was sent.

    :param backend_id: the engine.
    """

    backend_id: str


@attrs.frozen
class NotRun:
    """
    The backend server says that it did not run the request and never will.

    :param reason: what it said.
    :param at_fault: address of the backend server that it blames; None for itself.
    :param misdirected: whether it isn't the backend server that was meant.
    """

    reason: str
    at_fault: str | None = None
    misdirected: bool = False


@attrs.frozen
class Answered:
    """
    The backend server's own failure, complete and not yet passed on.

    :param head: its status and headers.
    :param body: its whole body.
    """

    head: ReplyHead
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class Lost:
    """
    The request may have run, and the rest of its answer is lost.

    :param mishap: what happened.
    :param reason: the same in words.
    """

    mishap: Mishap
    reason: str


@attrs.frozen
class Moved:
    """The answer goes on at another backend server; nothing is wrong with this one."""


Outcome = Delivered | NotSent | NoMemory | NotRun | Answered | Lost | Moved
