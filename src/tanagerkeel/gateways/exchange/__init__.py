"""Opaque requests to backend servers over HTTP/1.1."""

from tanagerkeel.gateways.exchange._connection import (
    BackendConnection,
    Broken,
    Piece,
    RawHead,
    ReplyEnd,
)
from tanagerkeel.gateways.exchange._pool import ConnectionPool, NoConnection

__all__ = [
    "BackendConnection",
    "Broken",
    "ConnectionPool",
    "NoConnection",
    "Piece",
    "RawHead",
    "ReplyEnd",
]
