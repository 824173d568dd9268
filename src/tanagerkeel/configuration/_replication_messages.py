"""Peer messages with which nodes fetch a configuration from each other."""

import attrs

from tanagerkeel.configuration._replication import ConfigurationPatch
from tanagerkeel.gateways.peers import peer_message

__all__ = ["ConfigurationAnswer", "ConfigurationQuery"]


@peer_message(20)
@attrs.frozen
class ConfigurationQuery:
    """
    Asks for the patches from a revision to the one in force.

    :param revision: the sender's revision; 0 asks for the whole document.
    """

    revision: int


@peer_message(21)
@attrs.frozen
class ConfigurationAnswer:
    """
    The configuration in force, as patches or as a whole.

    :param revision: its revision; 0 when the node has none.
    :param digest: its digest, which detects a patch that was applied wrongly.
    :param patches: the patches from the revision asked for; empty when the node
        does not have them.
    :param document: the whole document in compressed JSON if there are no patches.
    """

    revision: int
    digest: int = 0
    patches: tuple[ConfigurationPatch, ...] = ()
    document: bytes = attrs.field(default=b"", repr=False)
