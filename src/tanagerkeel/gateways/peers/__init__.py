"""Messages between nodes: the interface, and its implementation with pynng."""

from tanagerkeel.gateways.frames import (
    Frame,
    FrameRejected,
    KeyRing,
    sign_frame,
    verify_frame,
)
from tanagerkeel.gateways.peers._nng import NngPeerBus, PeerCounters
from tanagerkeel.gateways.peers._protocol import (
    PeerBus,
    PeerUnreachable,
    Received,
    UnknownKind,
    kind_of,
    message_class,
    peer_message,
)
from tanagerkeel.gateways.replay import ReplayWindows

__all__ = [
    "Frame",
    "FrameRejected",
    "KeyRing",
    "NngPeerBus",
    "PeerBus",
    "PeerCounters",
    "PeerUnreachable",
    "Received",
    "ReplayWindows",
    "UnknownKind",
    "kind_of",
    "message_class",
    "peer_message",
    "sign_frame",
    "verify_frame",
]
