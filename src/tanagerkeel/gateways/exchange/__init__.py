"""HTTP/1.1 connections to backend servers that carry requests as raw bytes."""

from tanagerkeel.gateways.exchange._connection import (
    BackendConnection,
    BodyDelimiter,
    BodyPart,
    RawHead,
    ReplyEnd,
    ReplyFailure,
)
from tanagerkeel.gateways.exchange._pool import ConnectError, ConnectionPool

__all__ = [
    "BackendConnection",
    "BodyDelimiter",
    "BodyPart",
    "ConnectError",
    "ConnectionPool",
    "RawHead",
    "ReplyEnd",
    "ReplyFailure",
]
