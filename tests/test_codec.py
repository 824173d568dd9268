"""Each encoding restores values with their types and rejects wrong types."""

import attrs

from tanagerkeel import codec
from tanagerkeel.configuration import BackendKind
from tests.support import collect

ENCODINGS = (
    (codec.encode, codec.decode),
    (codec.pack, codec.unpack),
    (codec.pack_compact, codec.unpack_compact),
)


@attrs.frozen
class Sample:
    kind: BackendKind
    text: str = ""
    number: int = 0


def test_each_encoding_keeps_types():
    for encode, decode in ENCODINGS:
        value = decode(encode(Sample(BackendKind.ENGINE, "x", 2)), Sample)
        assert value == Sample(BackendKind.ENGINE, "x", 2)
        assert value.kind is BackendKind.ENGINE


def test_each_encoding_rejects_wrong_types():
    bad = (Sample("none"), Sample("engine", 3), Sample("engine", "x", True))
    for encode, decode in ENCODINGS:
        for value in bad:
            try:
                decode(encode(value), Sample)
            except codec.InvalidValue:
                continue
            raise AssertionError(f"{decode.__name__} accepted {value}")


def load_tests(loader, tests, pattern):
    return collect(globals())
