"""The keys that sign messages between nodes, and the change from one to another."""

import hashlib
from collections.abc import Callable

import attrs

from tanagerkeel.gateways.frames import FrameRejected, KeyRing

__all__ = ["CurrentKeyRing", "SigningKeys"]

KEY_ID_BYTES = 2
# How long a node still signs with its old key after it has learnt another one, in
# seconds. Nodes learn the new one at different times and accept both then.
CHANGE_DELAY_S = 3.0


def _key_id(secret: bytes) -> int:
    """Return an id that all nodes derive from a key alone."""
    return int.from_bytes(hashlib.sha256(secret).digest()[:KEY_ID_BYTES], "big")


@attrs.define
class SigningKeys:
    """
    The newest key and the one before it.

    Nodes may have different keys for a moment if the store has returned from a copy
    without the key, and a node that has just started has written another one.
    """

    _secrets: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    # The keys, signing with the one before the newest, and with the newest.
    _rings: tuple[KeyRing | None, KeyRing | None] = (None, None)
    _sign_with_newest_s: float = float("-inf")

    @property
    def newest(self) -> bytes | None:
        """The newest key; None before the first."""
        return self._secrets[-1] if self._secrets else None

    @property
    def newest_id(self) -> int:
        """Id of the newest key."""
        return _key_id(self._secrets[-1])

    def adopt(self, secret: bytes, now: float) -> bool:
        """
        Make a key the newest one; return whether it was not.

        :param secret: the key.
        :param now: monotonic time, in seconds.
        """
        if secret == self.newest:
            return False
        if self._secrets:
            self._sign_with_newest_s = now + CHANGE_DELAY_S
        self._secrets = (*self._secrets[-1:], secret)
        by_id = {_key_id(secret): secret for secret in self._secrets}
        self._rings = tuple(
            KeyRing(by_id, _key_id(self._secrets[index])) for index in (0, -1)
        )
        return True

    def ring(self, now: float) -> KeyRing | None:
        """Return the keys in use; None before the first."""
        before, newest = self._rings
        return newest if now >= self._sign_with_newest_s else before


@attrs.frozen
class CurrentKeyRing:
    """
    A key ring, as :class:`KeyRing`, of the keys that are in use at each call.

    :param current: returns the keys in use; None before the first.
    """

    _current: Callable[[], KeyRing | None]

    @property
    def signing_id(self) -> int:
        """Id of the key that signs."""
        return self._ring().signing_id

    def sign(self, data: bytes) -> bytes:
        """Return the truncated HMAC-SHA256 of ``data``."""
        return self._ring().sign(data)

    def verify(self, key_id: int, data: bytes, tag: bytes) -> None:
        """Check the tag of ``data``; raise FrameRejected when it doesn't match."""
        self._ring().verify(key_id, data, tag)

    def _ring(self) -> KeyRing:
        ring = self._current()
        if ring is None:
            raise FrameRejected("unknown_key")
        return ring
