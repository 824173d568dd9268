"""Decoded changes of the platform's store, and the protocol of the decoder."""

from typing import Protocol

import attrs

from tanagerkeel.relay import BackendServer, RelayConfiguration

__all__ = [
    "BackendUpdate",
    "BackendRemoval",
    "ConfigurationUpdate",
    "DomainRestored",
    "DomainTakenOut",
    "StoreUpdate",
    "StoreDecoder",
    "UnreadableEntry",
]


@attrs.frozen
class ConfigurationUpdate:
    """A version of the operators' configuration was written."""

    configuration: RelayConfiguration


@attrs.frozen
class BackendUpdate:
    """A backend server's entry was written."""

    server: BackendServer


@attrs.frozen
class BackendRemoval:
    """A backend server's entry was deleted."""

    backend_id: str


@attrs.frozen
class DomainTakenOut:
    """A failure domain was taken out of service: its servers get no more requests."""

    failure_domain: str


@attrs.frozen
class DomainRestored:
    """A failure domain was put back into service: its servers may get requests."""

    failure_domain: str


StoreUpdate = (
    ConfigurationUpdate
    | BackendUpdate
    | BackendRemoval
    | DomainTakenOut
    | DomainRestored
)


@attrs.define(auto_exc=True)
class UnreadableEntry(Exception):
    """
    The value of a store entry can't be decoded or is not valid.

    :param reason: what is wrong with it.
    """

    reason: str


class StoreDecoder(Protocol):
    """Decodes the store's keys and values; a gateway to the platform implements it."""

    def decode_written(self, key: str, value: bytes) -> StoreUpdate | None:
        """
        Decode an entry that was written; return None for a key that nodes don't use.

        :raises UnreadableEntry: when the value can't be decoded or is not valid.
        """

    def decode_deleted(self, key: str) -> StoreUpdate | None:
        """Decode a key that was deleted; return None for a key that nodes don't use."""
