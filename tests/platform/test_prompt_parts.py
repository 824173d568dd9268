"""Requests whose prompts share a part that crashes each engine that answers them."""

from panunumpa import PlatformCallerCodec
from tests.support import collect


def shared_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the shared parts that the codec reads from a header's value."""
    headers = [(b"tanagerkeel-token-count", b"1000,430")]
    if value is not None:
        headers.append((b"tanagerkeel-prompt-prefix", value))
    scope = {"headers": headers, "method": "POST", "raw_path": b"/chat/x"}
    return PlatformCallerCodec().decode(scope, 0.0).demand.shared_parts


def test_every_part_but_the_last_is_read_from_any_list():
    assert shared_parts(None) == ()
    assert shared_parts(b"") == ()
    assert shared_parts(b"5c1e07a2:800") == ()
    assert shared_parts(b"5c1e07a2:800,91BD3F06:410,e4:250") == ("5c1e07a2", "91bd3f06")
    assert shared_parts(b"aa:1, bb:2 ,aa:3,cc:4") == ("aa", "bb")
    assert shared_parts(b"zz:1,:2,,aa:x,-1:3,bb,cc:4") == ("aa", "bb")
    assert shared_parts(b"\xff\x00:1,aa:1,bb:1") == ("aa",)
    assert len(shared_parts(b",".join(b"%x:1" % n for n in range(3_000)))) == 1_024


def load_tests(loader, tests, pattern):
    return collect(globals())
