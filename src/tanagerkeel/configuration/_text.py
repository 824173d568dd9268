"""Configurations as deterministic JSON text, and the differences between two."""

import json
from collections.abc import Iterator

import attrs

from tanagerkeel import codec
from tanagerkeel.configuration._document import Configuration
from tanagerkeel.configuration._validation import COLLECTIONS, validate
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["Difference", "diff", "parse", "render"]

INDENT_SPACES = 2


@attrs.frozen
class Difference:
    """
    One difference between two configurations.

    :param path: its place, such as ``client_accounts/agency-1/weight``.
    :param before: the old value in JSON; empty when it was added.
    :param after: the new value in JSON; empty when it was removed.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        if not self.before:
            return f"+ {self.path}"
        if not self.after:
            return f"- {self.path}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def render(configuration: Configuration) -> str:
    """
    Return the same JSON text for equal configurations.

    Items are sorted by name, so that an added item gives a small diff to review.
    """
    ordered = attrs.evolve(
        configuration,
        **{
            collection: _sorted_by_name(getattr(configuration, collection))
            for collection in COLLECTIONS
        },
    )
    return json.dumps(codec.unstructure(ordered), indent=INDENT_SPACES) + "\n"


def parse(text: str | bytes) -> Configuration:
    """
    Return the valid configuration that JSON ``text`` holds.

    :raises TanagerkeelError: CONFIGURATION_INVALID, with one line for each problem
        and its path.
    """
    try:
        configuration = codec.decode(text, Configuration)
    except codec.InvalidValue as error:
        raise TanagerkeelError(
            ResultCode.CONFIGURATION_INVALID, "\n".join(error.problems)
        ) from error
    violations = validate(configuration)
    if violations:
        raise TanagerkeelError(
            ResultCode.CONFIGURATION_INVALID, "\n".join(map(str, violations))
        )
    return configuration


def diff(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """
    Return how two configurations differ, by item name and field.

    Their submission ids and histories are not compared.
    """
    return tuple(_differences(before, after))


def _sorted_by_name(items: tuple) -> tuple:
    return tuple(sorted(items, key=lambda item: item.name))


def _differences(before: Configuration, after: Configuration) -> Iterator[Difference]:
    for collection in COLLECTIONS:
        old = {item.name: item for item in getattr(before, collection)}
        new = {item.name: item for item in getattr(after, collection)}
        for name in sorted(old.keys() | new.keys()):
            path = f"{collection}/{name}"
            yield from _item_differences(path, old.get(name), new.get(name))
    yield from _item_differences(
        "length_classes", before.length_classes, after.length_classes
    )


def _item_differences(
    path: str, old: object | None, new: object | None
) -> Iterator[Difference]:
    if old is None or new is None:
        yield Difference(path, _json(old), _json(new))
        return
    for field in attrs.fields(type(old)):
        old_json = _json(getattr(old, field.name))
        new_json = _json(getattr(new, field.name))
        if old_json != new_json:
            yield Difference(f"{path}/{field.name}", old_json, new_json)


def _json(value: object | None) -> str:
    return "" if value is None else json.dumps(codec.unstructure(value))
