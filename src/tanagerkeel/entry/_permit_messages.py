"""Messages between nodes about permits."""

import attrs

from tanagerkeel.gateways.peers import peer_message

__all__ = [
    "PermitAnswer",
    "RequestPermit",
    "ReleasePermit",
    "ShareAnswer",
    "RequestShare",
    "ReturnShare",
]


@peer_message(30)
@attrs.frozen
class RequestPermit:
    """
    Requests a permit from the grantor of a backend server.

    :param backend: name of the backend server.
    :param permit_id: unique id, chosen by the node that requests the permit.
    """

    backend: str
    permit_id: str


@peer_message(31)
@attrs.frozen
class PermitAnswer:
    """
    Answer to :class:`RequestPermit`.

    :param granted: whether the permit is granted.
    """

    granted: bool


@peer_message(32)
@attrs.frozen
class ReleasePermit:
    """Returns a permit to its grantor because its request has ended."""

    backend: str
    permit_id: str


@peer_message(33)
@attrs.frozen
class RequestShare:
    """
    Asks a node to lend the grantor its share of a backend server's permits.

    :param backend: name of the backend server.
    :param limit: number of concurrent requests that the backend server can take.
    """

    backend: str
    limit: int


@peer_message(34)
@attrs.frozen
class ShareAnswer:
    """
    Answer to :class:`RequestShare`.

    :param count: number of permits that the grantor may grant from the node's share.
    """

    count: int


@peer_message(35)
@attrs.frozen
class ReturnShare:
    """Returns a share to the node that lent it, when the grantor stops."""

    backend: str
