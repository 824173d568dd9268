"""Encoding of a configuration for other nodes: the whole document or patches."""

import collections
import json
import zlib
from collections.abc import Iterable

import attrs
import jsonpatch
import jsonpointer
import xxhash

from tanagerkeel import codec
from tanagerkeel.configuration._document import Configuration
from tanagerkeel.configuration._text import parse
from tanagerkeel.configuration._validation import COLLECTIONS, MAX_DOCUMENT_BYTES
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = [
    "ConfigurationPatch",
    "PatchLog",
    "apply_patch",
    "configuration_digest",
    "decode_document",
    "encode_document",
    "make_patch",
    "normalise",
]

MAX_PATCHES = 16
MAX_LOG_BYTES = 256_000
# MAX_DOCUMENT_BYTES applies to compact JSON with its keys in the order of the
# classes; a sender may format the same document in another way.
MAX_UNPACKED_BYTES = 2 * MAX_DOCUMENT_BYTES
# Compressed data starts with this byte; JSON text never does.
ZLIB_FIRST_BYTE = 0x78
# Keys of an excerpt, which holds only the items and fields that differ. The paths of
# JSON patches contain them, so they are part of the peer protocol.
ITEMS = "rows"
OTHER = "rest"


@attrs.frozen
class ConfigurationPatch:
    """
    The difference between one revision and a later one.

    :param base_revision: the revision that it applies to.
    :param revision: the revision that it results in.
    :param data: compressed JSON patch of the items and fields that differ.
    """

    base_revision: int
    revision: int
    data: bytes = attrs.field(repr=False)


def normalise(configuration: Configuration) -> Configuration:
    """Return the configuration with each collection sorted by item name."""
    ordered = {
        name: tuple(sorted(getattr(configuration, name), key=lambda item: item.name))
        for name in COLLECTIONS
    }
    return attrs.evolve(configuration, **ordered)


def configuration_digest(configuration: Configuration) -> int:
    """Return a 64-bit checksum, which detects a patch that was applied wrongly."""
    return xxhash.xxh64_intdigest(codec.encode(configuration))


def encode_document(configuration: Configuration) -> bytes:
    """Return the whole configuration as compressed JSON."""
    return zlib.compress(codec.encode(configuration))


def decode_document(data: bytes) -> Configuration:
    """
    Return the validated and normalised configuration in ``data``.

    :param data: JSON, compressed or not.
    :raises TanagerkeelError: CONFIGURATION_INVALID when it can't be decoded or
        breaks a rule.
    """
    if data[:1] == bytes([ZLIB_FIRST_BYTE]):
        data = _decompress(data)
    return normalise(parse(data))


def make_patch(
    old: Configuration, new: Configuration, base_revision: int, revision: int
) -> ConfigurationPatch:
    """
    Return the patch that turns ``old`` into ``new``; both must be normalised.

    Items are addressed by their names, so that an inserted item does not shift the
    others. Equal items are left out before the comparison.

    :param base_revision: revision of ``old``.
    :param revision: revision of ``new``.
    """
    names = {
        collection: _changed_names(getattr(old, collection), getattr(new, collection))
        for collection in COLLECTIONS
    }
    other_fields = [f for f in _other_fields() if getattr(old, f) != getattr(new, f)]
    operations = jsonpatch.make_patch(
        _excerpt(old, names, other_fields), _excerpt(new, names, other_fields)
    ).patch
    data = zlib.compress(json.dumps(operations, separators=(",", ":")).encode())
    return ConfigurationPatch(base_revision, revision, data)


def apply_patch(old: Configuration, patch: ConfigurationPatch) -> Configuration:
    """
    Return ``old`` with a patch applied.

    A patch of another document may apply without an error: the caller compares the
    digest of the result.

    :raises TanagerkeelError: CONFIGURATION_INVALID when the patch can't be applied.
    """
    try:
        operations = json.loads(_decompress(patch.data))
        names, other_fields = _patched_names(operations)
        excerpt = jsonpatch.apply_patch(_excerpt(old, names, other_fields), operations)
        changed = {
            c: _with_patched_items(old, c, item_names, excerpt)
            for c, item_names in names.items()
        }
        fields = attrs.fields_dict(Configuration)
        for name in other_fields:
            changed[name] = codec.structure(excerpt[OTHER][name], fields[name].type)
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        codec.InvalidValue,
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
    ) as error:
        raise TanagerkeelError(
            ResultCode.CONFIGURATION_INVALID, f"patch does not apply: {error!r}"
        ) from error
    return attrs.evolve(old, **changed)


@attrs.define
class PatchLog:
    """The most recent patches up to the revision in force, in bounded memory."""

    _patches: "collections.deque[ConfigurationPatch]" = attrs.field(
        factory=collections.deque
    )

    def add(self, patch: ConfigurationPatch) -> None:
        """Append a patch; one that doesn't continue the chain replaces it."""
        if self._patches and self._patches[-1].revision != patch.base_revision:
            self._patches.clear()
        self._patches.append(patch)
        while len(self._patches) > MAX_PATCHES or self._size() > MAX_LOG_BYTES:
            self._patches.popleft()

    def since(self, revision: int) -> tuple[ConfigurationPatch, ...]:
        """Return the patches that follow a revision; () when the log lacks it."""
        chain = tuple(p for p in self._patches if p.base_revision >= revision)
        return chain if chain and chain[0].base_revision == revision else ()

    def _size(self) -> int:
        return sum(len(patch.data) for patch in self._patches)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise TanagerkeelError(
            ResultCode.CONFIGURATION_INVALID, f"not zlib-compressed data: {error}"
        ) from error
    if not decompressor.eof:
        raise TanagerkeelError(
            ResultCode.CONFIGURATION_INVALID,
            f"data is truncated, or over {MAX_UNPACKED_BYTES} bytes when unpacked",
        )
    return unpacked


def _other_fields() -> tuple[str, ...]:
    names = (field.name for field in attrs.fields(Configuration))
    return tuple(name for name in names if name not in COLLECTIONS)


def _changed_names(old: Iterable, new: Iterable) -> set[str]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    names = before.keys() | after.keys()
    return {name for name in names if before.get(name) != after.get(name)}


def _excerpt(
    configuration: Configuration,
    names: dict[str, set[str]],
    other_fields: Iterable[str],
) -> dict[str, object]:
    items = {
        collection: {
            item.name: codec.unstructure(item)
            for item in getattr(configuration, collection)
            if item.name in selected
        }
        for collection, selected in names.items()
    }
    fields = {
        name: codec.unstructure(getattr(configuration, name)) for name in other_fields
    }
    return {ITEMS: items, OTHER: fields}


def _patched_names(operations: list[dict]) -> tuple[dict[str, set[str]], set[str]]:
    names: dict[str, set[str]] = {collection: set() for collection in COLLECTIONS}
    other_fields: set[str] = set()
    paths = (op[key] for op in operations for key in ("path", "from") if key in op)
    for path in paths:
        section, field_name, *item_path = jsonpointer.JsonPointer(path).parts
        if section == ITEMS:
            names[field_name].add(item_path[0])
        else:
            other_fields.add(field_name)
    return names, other_fields


def _with_patched_items(
    old: Configuration, collection: str, names: set[str], excerpt: dict
) -> tuple:
    item_type = attrs.fields_dict(Configuration)[collection].type.__args__[0]
    result = [item for item in getattr(old, collection) if item.name not in names]
    patched = excerpt[ITEMS][collection].values()
    result += [codec.structure(item, item_type) for item in patched]
    return tuple(sorted(result, key=lambda item: item.name))
