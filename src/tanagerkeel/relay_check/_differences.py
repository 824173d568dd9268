"""
How a configuration differs from the one in force; keys appear as digests only.

Load pattern: none, because operators compare before they send.
"""

import hashlib
from collections.abc import Iterable, Iterator
from typing import TypeAlias

import attrs

from tanagerkeel.relay import (
    CallerAccount,
    EngineProfile,
    RelayConfiguration,
    Route,
    WeightedService,
)
from tanagerkeel.relay_check._findings import Collection
from tanagerkeel.relay_check._names import as_text

__all__ = ["Added", "Changed", "Difference", "KeysChanged", "Removed", "compare"]

# Enough to recognise one's own key, too little to guess it.
DIGEST_CHARACTERS = 4


@attrs.frozen
class Added:
    """
    An entry that is new.

    :param collection: the list that it is in.
    :param name: its name.
    """

    collection: Collection
    name: str


@attrs.frozen
class Removed:
    """
    An entry that is gone.

    :param collection: the list that it was in.
    :param name: its name.
    """

    collection: Collection
    name: str


@attrs.frozen
class Changed:
    """
    A field with another value.

    :param collection: the part of the configuration.
    :param name: name of the entry; empty outside lists.
    :param field: name of the field; a field of an engine is ``engine.NAME``.
    :param before: the value in force; None if there is none.
    :param after: the new value; None if there is none.
    """

    collection: Collection
    name: str
    field: str
    before: str | float | None
    after: str | float | None


@attrs.frozen
class KeysChanged:
    """
    Keys that a client account gets or loses.

    :param name: name of the client account.
    :param added: beginnings of the digests (SHA-256) of its new keys.
    :param removed: beginnings of the digests of the keys that it loses.
    """

    name: str
    added: tuple[str, ...]
    removed: tuple[str, ...]


Difference: TypeAlias = Added | Removed | Changed | KeysChanged


def compare(
    before: RelayConfiguration, after: RelayConfiguration
) -> tuple[Difference, ...]:
    """
    Return what a configuration changes, by names of entries and fields.

    :param before: the configuration in force.
    :param after: the one to be sent.
    """
    return tuple(_differences(before, after))


def _differences(
    before: RelayConfiguration, after: RelayConfiguration
) -> Iterator[Difference]:
    yield from _list_differences(Collection.ROUTES, before.routes, after.routes)
    yield from _list_differences(Collection.SERVICES, before.services, after.services)
    keys_needed = [c.accounts is not None for c in (before, after)]
    if keys_needed[0] != keys_needed[1]:
        states = ["needed" if needed else "not needed" for needed in keys_needed]
        yield Changed(Collection.ACCOUNTS, "", "keys", *states)
    yield from _list_differences(
        Collection.ACCOUNTS, before.accounts or (), after.accounts or ()
    )
    yield from _field_differences(Collection.LIMITS, "", before.limits, after.limits)


def _list_differences(
    collection: Collection, before: Iterable, after: Iterable
) -> Iterator[Difference]:
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield Added(collection, name)
            yield from _key_differences(name, None, new[name])
        elif name not in new:
            yield Removed(collection, name)
            yield from _key_differences(name, old[name], None)
        else:
            yield from _field_differences(collection, name, old[name], new[name])
            yield from _key_differences(name, old[name], new[name])


def _field_differences(
    collection: Collection, name: str, before: object, after: object
) -> Iterator[Difference]:
    old, new = dict(_fields(before)), dict(_fields(after))
    for field in {**old, **new}:
        # In tuples, a value that isn't equal to itself (NaN) is compared by identity.
        values = old.get(field), new.get(field)
        if values[:1] != values[1:]:
            yield Changed(collection, name, field, *values)


def _fields(entry: object) -> Iterator[tuple[str, str | float | None]]:
    """Yield the names and values of all fields but the name and the keys."""
    for attribute in attrs.fields(type(entry)):
        field = attribute.name
        match entry, getattr(entry, field):
            case Route(), tuple(services):
                yield field, _split_text(services)
            case CallerAccount(), tuple():
                continue
            case _, EngineProfile() as engine:
                yield from ((f"{field}.{name}", v) for name, v in _fields(engine))
            case _, value if field != "name":
                yield field, value


def _split_text(services: tuple[WeightedService, ...]) -> str:
    if len(services) == 1:
        return services[0].name
    return ", ".join(
        f"{service.name} {as_text(service.weight)}" for service in services
    )


def _key_differences(name: str, before: object, after: object) -> Iterator[Difference]:
    old, new = _keys(before), _keys(after)
    if old != new:
        yield KeysChanged(name, _digests(new - old), _digests(old - new))


def _keys(entry: object) -> frozenset[str]:
    match entry:
        case CallerAccount(keys=keys):
            return frozenset(keys)
        case _:
            return frozenset()


def _digests(keys: Iterable[str]) -> tuple[str, ...]:
    digests = (
        hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest() for key in keys
    )
    return tuple(sorted(digest[:DIGEST_CHARACTERS] for digest in digests))
