"""HTTP/1.1 connections to backend servers that carry requests as raw bytes."""

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
