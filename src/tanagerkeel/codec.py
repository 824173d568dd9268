"""Converts typed values to and from JSON and MessagePack, with cattrs and msgspec."""

import enum
import re
from collections.abc import Callable
from typing import TypeVar

import attrs
import cattrs
import msgspec
from cattrs.preconf.json import make_converter

from tanagerkeel._compact import compact_reader

__all__ = [
    "InvalidValue",
    "decode",
    "decode_native",
    "encode",
    "encode_native",
    "pack",
    "pack_compact",
    "structure",
    "unpack",
    "unpack_compact",
    "unpack_compact_leniently",
    "unstructure",
]

T = TypeVar("T")
# The field in the message of an attrs validator, such as "'port' must be > 0: -1".
_VALIDATED_FIELD = re.compile(r"(?:Length of )?'(\w+)' ")


def _strict_hook(
    cls: type, accepted: tuple[type, ...]
) -> Callable[[object, type], object]:
    def structure_strictly(value: object, _: type) -> object:
        # In Python bool is a subclass of int; a document must not mix them.
        if type(value) not in accepted:
            raise TypeError(f"expected {cls.__name__}, got {type(value).__name__}")
        return cls(value)

    return structure_strictly


def _structure_enum(value: object, cls: type[enum.Enum]) -> enum.Enum:
    return cls(value)


def _register_strict(converter: cattrs.Converter, classes: tuple[type, ...]) -> None:
    for cls in classes:
        accepted = (int, float) if cls is float else (cls,)
        converter.register_structure_hook(cls, _strict_hook(cls, accepted))
    # Otherwise the hooks of str and int, their base classes, would make plain values.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    converter.register_structure_hook(enum.IntEnum, _structure_enum)


def _make_json_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=forbid_extra_keys)
    _register_strict(converter, (str, int, bool, float))
    return converter


_json_converter = _make_json_converter(forbid_extra_keys=True)
# For data from other systems and versions, which may have keys unknown here.
_lenient_json_converter = _make_json_converter(forbid_extra_keys=False)


_compact_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
)


@attrs.define(auto_exc=True, str=False)
class InvalidValue(Exception):
    """
    A value does not match its class.

    :param problems: one line for each error, with the path of the value.
    """

    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.problems)


def unstructure(value: object) -> object:
    """Return an attrs value as dictionaries, lists and scalars."""
    return _json_converter.unstructure(value)


def _describe(error: BaseException, expected: type | None) -> str:
    # The message of a validator may hold the value, which may be a key.
    text = cattrs.v.format_exception(error, expected)
    if expected is None and isinstance(error, ValueError) and error.args:
        field = _VALIDATED_FIELD.match(str(error.args[0]))
        if field is not None:
            return f"{text} of {field[1]}"
    return text


def structure(unstructured: object, cls: type[T], lenient: bool = False) -> T:
    """
    Return the instance of ``cls`` that dictionaries, lists and scalars describe.

    :param lenient: whether unknown keys are ignored.
    :raises InvalidValue: with the path of every error.
    """
    converter = _lenient_json_converter if lenient else _json_converter
    try:
        return converter.structure(unstructured, cls)
    except cattrs.BaseValidationError as error:
        problems = cattrs.transform_error(error, format_exception=_describe)
        raise InvalidValue(tuple(problems)) from error
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidValue((f"{error} @ $",)) from error


def encode(value: object) -> bytes:
    """Return the JSON of an attrs value, with keys in the order of the class."""
    return msgspec.json.encode(unstructure(value))


def decode(data: bytes | str, cls: type[T], lenient: bool = False) -> T:
    """
    Return the instance of ``cls`` that JSON ``data`` holds.

    :param lenient: whether unknown keys are ignored.
    :raises InvalidValue: when it isn't JSON or doesn't match the class.
    """
    try:
        unstructured = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidValue((f"not JSON: {error} @ $",)) from error
    return structure(unstructured, cls, lenient)


def encode_native(value: object) -> bytes:
    """
    Return the JSON of an attrs value whose fields have only types of JSON.

    Faster than :func:`encode`, since msgspec reads the attributes directly. The
    order of keys is not guaranteed.
    """
    return msgspec.json.encode(value)


def decode_native(data: bytes | bytearray | memoryview, cls: type[T]) -> T:
    """
    Return the instance of ``cls`` that JSON ``data`` holds.

    The fields of ``cls`` have only types of JSON. Unknown keys are ignored.

    :raises InvalidValue: when it isn't JSON or doesn't match the class.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidValue((f"{error} @ $",)) from error


def pack(value: object) -> bytes:
    """Return the MessagePack of an attrs value, with field names as keys."""
    return msgspec.msgpack.encode(unstructure(value))


def unpack(data: bytes, cls: type[T]) -> T:
    """
    Return the instance of ``cls`` that MessagePack ``data`` holds.

    :raises InvalidValue: when it isn't MessagePack or doesn't match the class.
    """
    try:
        unstructured = msgspec.msgpack.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidValue((f"not MessagePack: {error} @ $",)) from error
    return structure(unstructured, cls)


def pack_compact(value: object) -> bytes:
    """Return the MessagePack of an attrs value as an array, without field names."""
    return msgspec.msgpack.encode(_compact_converter.unstructure(value))


def unpack_compact(data: bytes, cls: type[T]) -> T:
    """
    Return the instance of ``cls`` that :func:`pack_compact` encoded.

    Fields are identified by position, so new fields go to the end of a class and have
    defaults. Further items, from a build with more fields, are ignored.

    :raises InvalidValue: when it isn't MessagePack or doesn't match the class.
    """
    return _decode_compact(lambda: compact_reader(cls).read(data))


def unpack_compact_leniently(data: bytes, cls: type[T]) -> tuple[T, tuple[str, ...]]:
    """
    Return the instance of ``cls`` that a build with other fields may have encoded.

    An entry of a tuple that doesn't match is left out, and a field that doesn't match
    gets its default, so that what this build can't read costs nothing else.

    :returns: the instance, and a line for everything that was left out.
    :raises InvalidValue: when it isn't MessagePack, or a field without a default
        doesn't match.
    """
    reader = compact_reader(cls)
    try:
        return reader.read(data), ()
    except (msgspec.DecodeError, TypeError, ValueError):
        left_out: list[str] = []
        value = _decode_compact(lambda: reader.read_leniently(data, left_out))
        return value, tuple(left_out)


def _decode_compact(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidValue((f"not the expected MessagePack: {error}",)) from error
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidValue((f"{error} @ $",)) from error
