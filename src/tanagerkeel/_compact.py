"""
Reads attrs values from arrays of MessagePack, with decoders that msgspec compiles.

msgspec reads attrs classes from maps only. So each class gets a Struct of the same
fields that is read from an array, and whose values are then passed to the class.
"""

import functools
import types
import typing
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs
import msgspec

__all__ = ["CompactReader", "compact_reader"]

T = TypeVar("T")
Convert = Callable[[Any], Any]


@attrs.frozen
class _FieldReader:
    """
    Reads one field of a class.

    :param name: the field's name.
    :param decoder: reads the whole field.
    :param convert: makes the field's value from what msgspec has read; None if that is
        the value.
    :param item: reads one entry of a field that is a tuple of any length; None for
        other fields.
    """

    name: str
    decoder: msgspec.msgpack.Decoder
    convert: Convert | None
    item: "_FieldReader | None" = None

    def read(self, raw: msgspec.Raw) -> Any:
        """
        Return the field's value.

        :raises msgspec.DecodeError: when ``raw`` doesn't match the field's type.
        """
        value = self.decoder.decode(raw)
        return value if self.convert is None else self.convert(value)


@attrs.frozen
class CompactReader(Generic[T]):
    """
    Reads the instances of one attrs class.

    :param cls: the class.
    :param decoder: reads a whole instance, as a Struct.
    :param convert: makes the instance of that Struct.
    :param fields: read one field each, in the order of the class.
    """

    _cls: type[T]
    _decoder: msgspec.msgpack.Decoder
    _convert: Convert
    _fields: tuple[_FieldReader, ...]

    def read(self, data: bytes) -> T:
        """
        Return the instance that ``data`` holds.

        :raises msgspec.DecodeError: when it doesn't match the class.
        :raises ValueError: when a validator of the class refuses a value.
        """
        return self._convert(self._decoder.decode(data))

    def read_leniently(self, data: bytes, left_out: list[str]) -> T:
        """
        Return the instance that ``data`` holds, without what doesn't match.

        :param left_out: gets a line for everything that doesn't match.
        :raises msgspec.DecodeError: when ``data`` isn't an array.
        :raises TypeError: when a field without a default is missing.
        """
        values = {}
        for field, raw in zip(self._fields, _RAW_ITEMS.decode(data), strict=False):
            try:
                values[field.name] = _read_field(field, raw, left_out)
            except (msgspec.DecodeError, TypeError, ValueError) as error:
                left_out.append(f"{field.name}: {error}")
        return self._cls(**values)


_RAW_ITEMS = msgspec.msgpack.Decoder(list[msgspec.Raw])


def _read_field(field: _FieldReader, raw: msgspec.Raw, left_out: list[str]) -> Any:
    if field.item is None:
        return field.read(raw)
    items = []
    for index, raw_item in enumerate(_RAW_ITEMS.decode(raw)):
        try:
            items.append(field.item.read(raw_item))
        except (msgspec.DecodeError, TypeError, ValueError) as error:
            left_out.append(f"{field.name}[{index}]: {error}")
    return tuple(items)


@functools.cache
def compact_reader(cls: type[T]) -> CompactReader[T]:
    """Return the reader of an attrs class."""
    read_type, convert = _read_type(cls)
    attrs.resolve_types(cls)
    return CompactReader(
        cls,
        msgspec.msgpack.Decoder(read_type),
        convert,
        tuple(_field_reader(f.alias, f.type) for f in attrs.fields(cls) if f.init),
    )


def _field_reader(name: str, declared: Any) -> _FieldReader:
    read_type, convert = _read_type(declared)
    arguments = typing.get_args(declared)
    item = None
    if typing.get_origin(declared) is tuple and arguments[1:] == (Ellipsis,):
        item = _field_reader(name, arguments[0])
    return _FieldReader(name, msgspec.msgpack.Decoder(read_type), convert, item)


def _read_type(declared: Any) -> tuple[Any, Convert | None]:
    """Return the type that msgspec reads, and what makes the declared type of it."""
    if attrs.has(declared):
        return _struct_of(declared)
    if declared is object:
        return Any, None
    origin, arguments = typing.get_origin(declared), typing.get_args(declared)
    if origin is None or not arguments:
        return declared, None
    if origin in (types.UnionType, typing.Union):
        return _read_optional(declared, arguments)
    read_types = [a if a is Ellipsis else _read_type(a) for a in arguments]
    converts = [None if r is Ellipsis else r[1] for r in read_types]
    if not any(converts):
        return declared, None
    read_type = origin[tuple(r if r is Ellipsis else r[0] for r in read_types)]
    if origin is dict:
        return read_type, functools.partial(_convert_values, converts[1])
    if origin is tuple and arguments[1:] != (Ellipsis,):
        return read_type, functools.partial(_convert_each, tuple(converts))
    return read_type, functools.partial(_convert_items, origin, converts[0])


def _read_optional(
    declared: Any, arguments: tuple[Any, ...]
) -> tuple[Any, Convert | None]:
    read_types = [_read_type(a) for a in arguments]
    converts = [convert for _, convert in read_types if convert is not None]
    if not converts:
        return declared, None
    if len(converts) > 1 or len(arguments) != 2 or type(None) not in arguments:
        raise TypeError(f"a union of several classes can't be read: {declared}")
    read_type = typing.Union[tuple(read for read, _ in read_types)]  # noqa: UP007
    return read_type, functools.partial(_convert_optional, converts[0])


@functools.cache
def _struct_of(cls: type) -> tuple[type[msgspec.Struct], Convert]:
    attrs.resolve_types(cls)
    fields = [f for f in attrs.fields(cls) if f.init]
    read_types = [_read_type(f.type) for f in fields]
    struct = msgspec.defstruct(
        cls.__name__,
        [
            (field.alias, read_type)
            if field.default is attrs.NOTHING
            else (field.alias, _or_missing(read_type), msgspec.UNSET)
            for field, (read_type, _) in zip(fields, read_types, strict=True)
        ],
        array_like=True,
    )
    converts = tuple(
        (index, convert)
        for index, (_, convert) in enumerate(read_types)
        if convert is not None
    )
    return struct, functools.partial(_convert_struct, cls, converts)


def _or_missing(read_type: Any) -> Any:
    return typing.Union[read_type, msgspec.UnsetType]  # noqa: UP007


def _convert_struct(
    cls: type, converts: tuple[tuple[int, Convert], ...], struct: msgspec.Struct
) -> Any:
    values = msgspec.structs.astuple(struct)
    if values and values[-1] is msgspec.UNSET:
        # Only the last fields can be missing in an array.
        values = values[: values.index(msgspec.UNSET)]
    if not converts:
        return cls(*values)
    converted = list(values)
    for index, convert in converts:
        if index < len(converted):
            converted[index] = convert(converted[index])
    return cls(*converted)


def _convert_items(container: Callable, convert: Convert, items: Any) -> Any:
    return container(map(convert, items))


def _convert_each(converts: tuple[Convert | None, ...], items: tuple) -> tuple:
    return tuple(
        item if convert is None else convert(item)
        for convert, item in zip(converts, items, strict=True)
    )


def _convert_values(convert: Convert, items: dict) -> dict:
    return {key: convert(value) for key, value in items.items()}


def _convert_optional(convert: Convert, value: Any) -> Any:
    return None if value is None else convert(value)
