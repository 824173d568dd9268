"""Validation of a configuration, beyond the types of its fields."""

import collections
import ipaddress
import math
import re
from collections.abc import Iterable, Iterator

import attrs

from tanagerkeel import codec
from tanagerkeel.configuration._document import (
    BackendKind,
    BackendServer,
    ClientAccount,
    Configuration,
    LengthClassPolicy,
    Model,
    Operation,
    Service,
)

__all__ = ["MAX_DOCUMENT_BYTES", "Violation", "validate"]

# Length of the compact JSON, before compression.
MAX_DOCUMENT_BYTES = 1_000_000
MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
ROLES = ("both", "prefill", "decode")
COLLECTIONS = (
    "markets",
    "client_accounts",
    "models",
    "services",
    "failure_domains",
    "backend_servers",
)


@attrs.frozen
class Violation:
    """
    A rule that a configuration breaks.

    :param path: its place, such as ``client_accounts[3].models[0]``.
    :param text: what is wrong.
    """

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


@attrs.frozen
class _DefinedNames:
    """The defined names that other parts of the document refer to."""

    markets: frozenset[str]
    models: frozenset[str]
    services: frozenset[str]
    failure_domains: frozenset[str]


def validate(configuration: Configuration) -> tuple[Violation, ...]:
    """Return every violation, in a fixed order."""
    names = _DefinedNames(
        _names_of(configuration.markets),
        _names_of(configuration.models),
        _names_of(configuration.services),
        _names_of(configuration.failure_domains),
    )
    return tuple(_violations(configuration, names))


def _violations(
    configuration: Configuration, names: _DefinedNames
) -> Iterator[Violation]:
    for collection in COLLECTIONS:
        yield from _check_names(collection, getattr(configuration, collection))
    yield from _check_unique_digests(configuration.client_accounts)
    yield from _check_unique_addresses(configuration.backend_servers)
    for index, account in enumerate(configuration.client_accounts):
        yield from _check_account(f"client_accounts[{index}]", account, names)
    for index, model in enumerate(configuration.models):
        yield from _check_model(f"models[{index}]", model)
    for index, service in enumerate(configuration.services):
        yield from _check_service(f"services[{index}]", service)
    for index, server in enumerate(configuration.backend_servers):
        yield from _check_backend(f"backend_servers[{index}]", server, names)
    yield from _check_length_classes(configuration.length_classes)
    size = len(codec.encode(configuration))
    if size > MAX_DOCUMENT_BYTES:
        yield Violation("$", f"{size} bytes; at most {MAX_DOCUMENT_BYTES} are allowed")


def _names_of(items: Iterable) -> frozenset[str]:
    return frozenset(item.name for item in items)


def _check_names(collection: str, items: tuple) -> Iterator[Violation]:
    counts = collections.Counter(item.name for item in items)
    for index, item in enumerate(items):
        path = f"{collection}[{index}].name"
        if not NAME_PATTERN.fullmatch(item.name):
            yield Violation(path, f"{item.name!r} is not a valid name")
        if counts[item.name] > 1:
            yield Violation(path, f"{item.name!r} is used more than once")


def _check_unique_digests(accounts: tuple[ClientAccount, ...]) -> Iterator[Violation]:
    counts = collections.Counter(d for a in accounts for d in a.key_digests)
    for index, account in enumerate(accounts):
        for position, digest in enumerate(account.key_digests):
            path = f"client_accounts[{index}].key_digests[{position}]"
            if not DIGEST_PATTERN.fullmatch(digest):
                yield Violation(path, "is not a SHA-256 digest in lower-case hex")
            elif counts[digest] > 1:
                yield Violation(path, "is listed more than once")


def _check_unique_addresses(servers: tuple[BackendServer, ...]) -> Iterator[Violation]:
    counts = collections.Counter(server.address for server in servers)
    for index, server in enumerate(servers):
        path = f"backend_servers[{index}].address"
        if not _is_address(server.address):
            yield Violation(path, f"{server.address!r} is not IP:PORT")
        elif counts[server.address] > 1:
            yield Violation(path, f"{server.address} is used more than once")


def _check_account(
    path: str, account: ClientAccount, names: _DefinedNames
) -> Iterator[Violation]:
    if account.market not in names.markets:
        yield Violation(f"{path}.market", f"unknown market {account.market!r}")
    if not (math.isfinite(account.weight) and account.weight > 0):
        yield Violation(f"{path}.weight", "must be a finite number above 0")
    yield from _check_references(f"{path}.models", account.models, names.models)
    yield from _check_references(f"{path}.services", account.services, names.services)


def _check_references(
    path: str, references: tuple[str, ...], known: frozenset[str]
) -> Iterator[Violation]:
    for index, name in enumerate(references):
        if name not in known:
            yield Violation(f"{path}[{index}]", f"unknown name {name!r}")


def _check_model(path: str, model: Model) -> Iterator[Violation]:
    if model.max_prompt_tokens < 1:
        yield Violation(f"{path}.max_prompt_tokens", "must be at least 1")
    if model.max_output_tokens < 1:
        yield Violation(f"{path}.max_output_tokens", "must be at least 1")


def _check_service(path: str, service: Service) -> Iterator[Violation]:
    yield from _check_names(f"{path}.operations", service.operations)
    for index, operation in enumerate(service.operations):
        yield from _check_operation(f"{path}.operations[{index}]", operation)


def _check_operation(path: str, operation: Operation) -> Iterator[Violation]:
    if not (math.isfinite(operation.timeout_s) and operation.timeout_s > 0):
        yield Violation(f"{path}.timeout_s", "must be a finite number above 0")


def _check_backend(
    path: str, server: BackendServer, names: _DefinedNames
) -> Iterator[Violation]:
    domain = server.failure_domain
    if domain not in names.failure_domains:
        yield Violation(f"{path}.failure_domain", f"unknown failure domain {domain!r}")
    yield from _check_references(f"{path}.models", server.models, names.models)
    yield from _check_references(f"{path}.services", server.services, names.services)
    if server.cold_limit < 1:
        yield Violation(f"{path}.cold_limit", "must be at least 1")
    match server.kind:
        case BackendKind.ENGINE:
            yield from _check_engine(path, server)
        case BackendKind.SERVICE:
            if not server.services:
                yield Violation(
                    f"{path}.services", "must list at least one plain service"
                )


def _check_engine(path: str, server: BackendServer) -> Iterator[Violation]:
    if not server.models:
        yield Violation(f"{path}.models", "must list at least one model")
    if server.memory_tokens < 1:
        yield Violation(f"{path}.memory_tokens", "must be at least 1")
    if server.order.role not in ROLES:
        yield Violation(f"{path}.order.role", f"must be one of {', '.join(ROLES)}")


def _check_length_classes(policy: LengthClassPolicy) -> Iterator[Violation]:
    for name, value in attrs.asdict(policy).items():
        if not (math.isfinite(value) and value > 0):
            yield Violation(f"length_classes.{name}", "must be a finite number above 0")


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
