"""
Changes of a large value, told as what is new in it.

A configuration has hundreds of routes, of which a version changes a few. A value is cut
at the borders of its objects; pieces that the old value has are told by their number.
"""

import msgspec

__all__ = ["apply_delta", "make_delta"]

BORDER = b"},{"
# A run of old pieces (first, count), or bytes that are new.
_Part = tuple[int, int] | bytes
_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(list[tuple[int, int] | bytes])


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return what makes ``new`` out of ``old``."""
    places = {piece: place for place, piece in enumerate(old.split(BORDER))}
    parts: list[_Part] = []
    for piece in new.split(BORDER):
        place = places.get(piece)
        last = parts[-1] if parts else None
        if place is None:
            parts.append(piece)
        elif isinstance(last, tuple) and place == last[0] + last[1]:
            parts[-1] = (last[0], last[1] + 1)
        else:
            parts.append((place, 1))
    return _encode(parts)


def apply_delta(old: bytes, delta: bytes, most_bytes: int) -> bytes:
    """
    Return the new value.

    :param old: the value that the delta was made from.
    :param delta: what :func:`make_delta` returned.
    :param most_bytes: largest value that is made.
    :raises ValueError: when the delta doesn't fit, or makes a larger value.
    """
    pieces = old.split(BORDER)
    found: list[bytes] = []
    size = 0
    try:
        parts = _decoder.decode(delta)
    except msgspec.DecodeError as error:
        raise ValueError(f"a delta can't be read: {error}") from error
    for part in parts:
        match part:
            case bytes():
                taken = [part]
            case (first, count):
                if first < 0 or count < 1 or first + count > len(pieces):
                    raise ValueError("a delta names pieces that aren't there")
                taken = pieces[first : first + count]
        size += sum(len(piece) + len(BORDER) for piece in taken)
        if size > most_bytes + len(BORDER):
            raise ValueError(f"a delta makes over {most_bytes} bytes")
        found += taken
    return BORDER.join(found)
