"""
Delta encoding between two versions of a large JSON value.

A configuration has hundreds of routes, of which a new version changes a few. A value is
split at the boundaries of its JSON objects. Pieces that the old value has, too, are
referred to by their index; others are included as bytes.
"""

import msgspec

__all__ = ["apply_delta", "make_delta"]

SEPARATOR = b"},{"
# A run of the old value's pieces (index of the first, count), or the bytes of a new
# piece.
_Part = tuple[int, int] | bytes
_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(list[tuple[int, int] | bytes])


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return the delta from ``old`` to ``new``, as :func:`apply_delta` expects it."""
    indices = {piece: index for index, piece in enumerate(old.split(SEPARATOR))}
    parts: list[_Part] = []
    for piece in new.split(SEPARATOR):
        index = indices.get(piece)
        last = parts[-1] if parts else None
        if index is None:
            parts.append(piece)
        elif isinstance(last, tuple) and index == last[0] + last[1]:
            parts[-1] = (last[0], last[1] + 1)
        else:
            parts.append((index, 1))
    return _encode(parts)


def apply_delta(old: bytes, delta: bytes, max_bytes: int) -> bytes:
    """
    Return the value that results from applying a delta.

    :param old: the value that the delta was made from.
    :param delta: what :func:`make_delta` returned.
    :param max_bytes: size limit of the new value, in bytes.
    :raises ValueError: when the delta can't be decoded, refers to pieces that ``old``
        doesn't have, or the new value is too large.
    """
    pieces = old.split(SEPARATOR)
    new: list[bytes] = []
    size = 0
    try:
        parts = _decoder.decode(delta)
    except msgspec.DecodeError as error:
        raise ValueError(f"delta can't be decoded: {error}") from error
    for part in parts:
        match part:
            case bytes():
                taken = [part]
            case (first, count):
                if first < 0 or count < 1 or first + count > len(pieces):
                    raise ValueError("delta refers to pieces that the old value lacks")
                taken = pieces[first : first + count]
        size += sum(len(piece) + len(SEPARATOR) for piece in taken)
        if size > max_bytes + len(SEPARATOR):
            raise ValueError(f"delta gives a value of over {max_bytes} bytes")
        new += taken
    return SEPARATOR.join(new)
