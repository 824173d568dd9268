"""Decoded changes of the platform's store, and the protocol of the decoder."""

from typing import Protocol

import attrs

from tanagerkeel.relay import BackendServer, RelayConfiguration

__all__ = [
    "BackendFact",
    "BackendGoneFact",
    "ConfigurationFact",
    "DomainInFact",
    "DomainOutFact",
    "Fact",
    "StoreDecoder",
    "UnreadableEntry",
]


@attrs.frozen
class ConfigurationFact:
    """A version of the operators' configuration was written."""

    configuration: RelayConfiguration


@attrs.frozen
class BackendFact:
    """A backend server's entry was written."""

    server: BackendServer


@attrs.frozen
class BackendGoneFact:
    """A backend server's entry was deleted."""

    backend_id: str


@attrs.frozen
class DomainOutFact:
    """A failure domain was taken out: its backend servers get no more requests."""

    failure_domain: str


@attrs.frozen
class DomainInFact:
    """A failure domain was taken in again: its backend servers may get requests."""

    failure_domain: str


Fact = ConfigurationFact | BackendFact | BackendGoneFact | DomainOutFact | DomainInFact


@attrs.define(auto_exc=True)
class UnreadableEntry(Exception):
    """
    The value of a store entry can't be decoded or is not valid.

    :param reason: what is wrong with it.
    """

    reason: str


class StoreDecoder(Protocol):
    """Decodes the store's keys and values; a gateway to the platform implements it."""

    def written(self, key: str, value: bytes) -> Fact | None:
        """
        Return the change that a written key means; None if it means nothing.

        :raises UnreadableEntry: when the value can't be decoded or is not valid.
        """

    def deleted(self, key: str) -> Fact | None:
        """Return the change that a deleted key means; None if it means nothing."""
