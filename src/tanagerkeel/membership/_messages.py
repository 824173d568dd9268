"""Messages of the membership protocol between nodes of one failure domain."""

import enum

import attrs

from tanagerkeel.gateways.peers import peer_message
from tanagerkeel.membership._view import NodeInfo

__all__ = [
    "HeavyAccount",
    "Announcement",
    "IndirectProbe",
    "IndirectReply",
    "MemberStatus",
    "MemberUpdate",
    "Probe",
    "ProbeReply",
    "StateExchange",
    "StateReply",
    "Usage",
]


class MemberStatus(enum.IntEnum):
    """
    Status of a node.

    Of two updates with equal incarnation and update number the one with the higher
    status takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class MemberUpdate:
    """
    The status of one node.

    :param info: the node.
    :param status: its status.
    """

    info: NodeInfo
    status: MemberStatus

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two updates for a node the one with the higher value takes precedence."""
        return (self.info.incarnation, self.info.update_number, self.status)


@attrs.frozen
class HeavyAccount:
    """
    Usage of one client account.

    :param account: 32-bit hash of the client account's name.
    :param tokens: its usage in tokens per second.
    """

    account: int
    tokens: int


@attrs.frozen
class Usage:
    """
    The client accounts with the highest usage that a node knows of.

    :param own: usage on the node itself.
    :param remote: usage in other failure domains, from the summaries that the node
        holds.
    """

    own: tuple[HeavyAccount, ...] = ()
    remote: tuple[HeavyAccount, ...] = ()


@peer_message(1)
@attrs.frozen
class Probe:
    """
    Checks whether a node is alive.

    :param revision: configuration revision of the sender.
    :param digest: digest of the sender's view.
    :param updates: recent membership updates.
    :param usage: the client accounts with the highest usage.
    """

    revision: int
    digest: int
    updates: tuple[MemberUpdate, ...] = ()
    usage: Usage = Usage()


@peer_message(2)
@attrs.frozen
class ProbeReply:
    """Answers a probe; the fields are those of :class:`Probe`."""

    revision: int
    digest: int
    updates: tuple[MemberUpdate, ...] = ()
    usage: Usage = Usage()


@peer_message(3)
@attrs.frozen
class IndirectProbe:
    """
    Asks a node to probe another one that did not answer the sender.

    :param target: message address of the node to probe.
    """

    target: str


@peer_message(4)
@attrs.frozen
class IndirectReply:
    """
    Result of an indirect probe.

    :param alive: whether the target answered.
    """

    alive: bool


@peer_message(5)
@attrs.frozen
class StateExchange:
    """
    The full membership state of the sender; asks for the receiver's in return.

    :param updates: one for each known node.
    """

    updates: tuple[MemberUpdate, ...]


@peer_message(6)
@attrs.frozen
class StateReply:
    """
    The full membership state of a node that received a state exchange.

    :param updates: one for each known node.
    """

    updates: tuple[MemberUpdate, ...]


@peer_message(7)
@attrs.frozen
class Announcement:
    """
    Updates that can't wait for the next probe, such as a stop.

    :param updates: the membership updates.
    """

    updates: tuple[MemberUpdate, ...]
