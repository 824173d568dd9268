"""What the platform's store tells, once decoded."""

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
    """A version of the operators' configuration."""

    configuration: RelayConfiguration


@attrs.frozen
class BackendFact:
    """A backend server's entry."""

    server: BackendServer


@attrs.frozen
class BackendGoneFact:
    """A backend server's entry is gone."""

    backend_id: str


@attrs.frozen
class DomainOutFact:
    """Nothing more is to be sent to a failure domain's backend servers."""

    failure_domain: str


@attrs.frozen
class DomainInFact:
    """A failure domain may be used again."""

    failure_domain: str


Fact = ConfigurationFact | BackendFact | BackendGoneFact | DomainOutFact | DomainInFact


@attrs.define(auto_exc=True)
class UnreadableEntry(Exception):
    """
    An entry is not of the shape that it should have.

    :param reason: what is wrong.
    """

    reason: str


class StoreDecoder(Protocol):
    """Turns the store's keys and values into facts; a gateway implements it."""

    def written(self, key: str, value: bytes) -> Fact | None:
        """
        Return what a written key tells; None for a key that tells nothing.

        :raises UnreadableEntry: when the value can't be read.
        """

    def deleted(self, key: str) -> Fact | None:
        """Return what a deleted key tells; None for a key that tells nothing."""
