"""A configuration in force, indexed for the request path."""

import functools
import hashlib
import hmac

import attrs

from tanagerkeel.configuration._document import (
    BackendServer,
    ClientAccount,
    Configuration,
    FailureDomain,
    Model,
    Operation,
    Service,
)

__all__ = ["Catalog", "hash_key"]


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a bearer key in hex, as in ``key_digests``."""
    return hashlib.sha256(key.encode()).hexdigest()


@attrs.frozen(slots=False)
class Catalog:
    """
    A configuration in force and its indexes.

    :param revision: its revision in the platform's key-value service.
    :param configuration: the document.
    """

    revision: int
    configuration: Configuration

    @functools.cached_property
    def accounts(self) -> dict[str, ClientAccount]:
        """Client accounts by name."""
        return {a.name: a for a in self.configuration.client_accounts}

    @functools.cached_property
    def models(self) -> dict[str, Model]:
        """Models by name."""
        return {m.name: m for m in self.configuration.models}

    @functools.cached_property
    def services(self) -> dict[str, Service]:
        """Plain services by name."""
        return {s.name: s for s in self.configuration.services}

    @functools.cached_property
    def domains(self) -> dict[str, FailureDomain]:
        """Failure domains by name."""
        return {d.name: d for d in self.configuration.failure_domains}

    @functools.cached_property
    def backends(self) -> dict[str, BackendServer]:
        """Backend servers by name."""
        return {b.name: b for b in self.configuration.backend_servers}

    @functools.cached_property
    def _accounts_by_digest(self) -> dict[str, ClientAccount]:
        accounts = self.configuration.client_accounts
        return {digest: a for a in accounts for digest in a.key_digests}

    def account_of_key(self, key: str) -> ClientAccount | None:
        """
        Return the client account that a bearer key belongs to, or None.

        The key is hashed before the look-up and the digests are compared in
        constant time, so that response times reveal nothing about a key.
        """
        digest = hash_key(key)
        account = self._accounts_by_digest.get(digest)
        known = digest if account is not None else "0" * len(digest)
        return account if hmac.compare_digest(known, digest) else None

    def operation(self, service: str, name: str) -> Operation | None:
        """Return an operation of a plain service, or None."""
        found = self.services.get(service)
        operations = found.operations if found is not None else ()
        return next((o for o in operations if o.name == name), None)

    def backends_in(self, domain: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a failure domain."""
        servers = self.configuration.backend_servers
        return tuple(b for b in servers if b.failure_domain == domain)
