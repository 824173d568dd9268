"""The change from one key that signs messages between nodes to another."""

from tanagerkeel.gateways.frames import Frame, sign_frame, verify_frame
from tanagerkeel.relay_entry._signing_keys import SigningKeys
from tests.support import collect

FIRST, SECOND, THIRD = b"a" * 32, b"b" * 32, b"c" * 32


def keys(*changes):
    """Return keys that were adopted, each at a time in seconds."""
    signing = SigningKeys()
    for secret, now in changes:
        assert signing.adopt(secret, now)
    return signing


def accepts(receiver, sender, now):
    frame = Frame("n1", 1, 0, 1, 1)
    data = sign_frame(frame, "*", sender.ring(now))
    try:
        return verify_frame(data, "*", receiver.ring(now)) == frame
    except Exception as error:
        assert "unknown_key" in repr(error)
        return False


def test_there_is_no_ring_before_the_first_key():
    assert SigningKeys().ring(0.0) is None and SigningKeys().newest is None


def test_a_known_key_changes_nothing():
    assert not keys((FIRST, 0.0)).adopt(FIRST, 1.0)


def test_nodes_that_change_at_different_times_never_stop_hearing_each_other():
    early, late = keys((FIRST, 0.0), (SECOND, 10.0)), keys((FIRST, 0.0))
    for now in (10.0, 11.0, 12.9):
        assert accepts(late, early, now) and accepts(early, late, now)
    late.adopt(SECOND, 12.9)
    for now in (12.9, 13.1, 15.8, 16.0, 60.0):
        assert accepts(late, early, now) and accepts(early, late, now)


def test_only_the_newest_two_keys_are_accepted():
    signing = keys((FIRST, 0.0), (SECOND, 10.0), (THIRD, 20.0))
    assert accepts(signing, keys((SECOND, 0.0)), 20.0)
    assert accepts(signing, keys((THIRD, 0.0)), 20.0)
    assert not accepts(signing, keys((FIRST, 0.0)), 20.0)


def load_tests(loader, tests, pattern):
    return collect(globals())
