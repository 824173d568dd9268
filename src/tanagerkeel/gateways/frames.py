"""Signed frames, in which messages between nodes are sent."""

import hashlib
import hmac

import attrs

from tanagerkeel import codec

__all__ = ["Frame", "FrameRejected", "KeyRing", "sign_frame", "verify_frame"]

KEY_ID_BYTES = 2
TAG_BYTES = 16
HEADER_BYTES = KEY_ID_BYTES + TAG_BYTES


@attrs.define(auto_exc=True)
class FrameRejected(Exception):
    """
    A frame or signature is not accepted.

    :param reason: ``malformed``, ``unsigned`` when the signature doesn't match, or
        ``unknown_key``; receivers add ``oversized`` and ``replayed``.
    """

    reason: str


@attrs.frozen
class KeyRing:
    """
    Keys that sign and verify messages between nodes.

    To rotate keys, add the new key on all nodes, then make it the signing key.

    :param secrets: secrets by key id.
    :param signing_id: id of the key that signs; every key verifies.
    """

    _secrets: dict[int, bytes] = attrs.field(repr=False)
    signing_id: int

    def sign(self, data: bytes, key_id: int | None = None) -> bytes:
        """
        Return the truncated HMAC-SHA256 of ``data``.

        :param key_id: id of the key to use; None for the signing key.
        :raises FrameRejected: when the key is unknown.
        """
        secret = self._secrets.get(self.signing_id if key_id is None else key_id)
        if secret is None:
            raise FrameRejected("unknown_key")
        return hmac.digest(secret, data, hashlib.sha256)[:TAG_BYTES]

    def verify(self, key_id: int, data: bytes, tag: bytes) -> None:
        """
        Check the tag of ``data``; the comparison takes constant time.

        :raises FrameRejected: when the tag doesn't match or the key is unknown.
        """
        if not hmac.compare_digest(self.sign(data, key_id), tag):
            raise FrameRejected("unsigned")


@attrs.frozen
class Frame:
    """
    A message with the fields needed to deliver it at most once.

    :param sender: address of the sending node.
    :param session: random number of the sender's process.
    :param to_session: random number of the receiver's process; 0 when unknown.
    :param sequence: grows with each frame to this receiver.
    :param kind: kind number of the message's class; 0 for a frame that only
        carries the sender's session number.
    :param call_id: positive id of a call, its negative for the reply, 0 for a
        message without a reply.
    :param payload: the encoded message.
    """

    sender: str
    session: int
    to_session: int
    sequence: int
    kind: int
    call_id: int = 0
    payload: bytes = b""


def sign_frame(frame: Frame, receiver: str, keys: KeyRing) -> bytes:
    """
    Encode and sign a frame.

    The receiver's address is signed but not sent, so that a frame can't be replayed
    to another node.

    :param receiver: address of the receiving node.
    """
    body = codec.pack_compact(frame)
    tag = keys.sign(receiver.encode() + b"\0" + body)
    return keys.signing_id.to_bytes(KEY_ID_BYTES, "big") + tag + body


def verify_frame(data: bytes, receiver: str, keys: KeyRing) -> Frame:
    """
    Verify the signature of ``data`` and decode the frame.

    :param receiver: address of this node.
    :raises FrameRejected: when it is malformed or not signed by a known key.
    """
    if len(data) <= HEADER_BYTES:
        raise FrameRejected("malformed")
    key_id = int.from_bytes(data[:KEY_ID_BYTES], "big")
    tag = data[KEY_ID_BYTES:HEADER_BYTES]
    body = data[HEADER_BYTES:]
    keys.verify(key_id, receiver.encode() + b"\0" + body, tag)
    try:
        return codec.unpack_compact(body, Frame)
    except codec.InvalidValue as error:
        raise FrameRejected("malformed") from error
