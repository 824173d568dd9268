"""Interface of the message bus between nodes, and the registry of message classes."""

import asyncio
from typing import Generic, Protocol, TypeVar

import attrs

__all__ = [
    "PeerBus",
    "PeerUnreachable",
    "Received",
    "UnknownKind",
    "kind_of",
    "message_class",
    "peer_message",
]

M = TypeVar("M")
R = TypeVar("R")

_classes: dict[int, type] = {}
_kinds: dict[type, int] = {}


@attrs.define(auto_exc=True)
class PeerUnreachable(Exception):
    """
    A node did not reply in time, or not with the expected message.

    :param address: address of the node that was called.
    """

    address: str


@attrs.define(auto_exc=True)
class UnknownKind(Exception):
    """
    A message has a kind that this version doesn't know.

    :param kind: kind number of the message.
    """

    kind: int


@attrs.frozen
class Received(Generic[M]):
    """
    A message from another node.

    :param sender: address of the node that sent it.
    :param message: instance of a class registered with :func:`peer_message`.
    :param call_id: id of the call to reply to; 0 when no reply is expected.
    """

    sender: str
    message: M
    call_id: int = 0


def peer_message(kind: int) -> type:
    """
    Register an attrs class as a message between nodes.

    Kinds by subject: 1-19 membership, 20-29 configuration, 30-39 permits,
    40-49 claims, 50-59 quarantine and usage, 60-69 loads, 70-79 failure domains.

    :param kind: unique number on the wire; never reused for a class with other fields.
    """

    def register(cls: type) -> type:
        if kind in _classes:
            raise ValueError(f"kind {kind} is taken by {_classes[kind].__name__}")
        _classes[kind] = cls
        _kinds[cls] = kind
        return cls

    return register


def kind_of(message: object) -> int:
    """Return the kind number of a message."""
    return _kinds[type(message)]


def message_class(kind: int) -> type:
    """
    Return the message class of a kind number.

    :raises UnknownKind: when no class is registered for it.
    """
    try:
        return _classes[kind]
    except KeyError as error:
        raise UnknownKind(kind) from error


class PeerBus(Protocol):
    """
    Sends and receives messages between nodes; signed, and with replays dropped.

    A node's address is its ``IP:PORT`` for these messages. Delivery is at most
    once, and a message may be lost without notice.
    """

    def subscribe(self, cls: type[M], queue: "asyncio.Queue[Received[M]]") -> None:
        """Put messages of a class on ``queue``; they are dropped when it is full."""

    async def send(self, address: str, message: object) -> None:
        """Send a message without a reply; it is lost when the node is unreachable."""

    async def call(
        self, address: str, message: object, reply: type[R], timeout_s: float
    ) -> R:
        """
        Send a message and return its reply.

        :param reply: class that the reply must have.
        :raises PeerUnreachable: when no such reply comes within ``timeout_s``.
        """

    async def reply(self, received: Received, message: object) -> None:
        """Reply to a message that was sent with :meth:`call`."""
