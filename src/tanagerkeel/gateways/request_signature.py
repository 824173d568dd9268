"""
Signatures of forwarded requests, each accepted only once.

A signature names the receiving process by its random session number, so requests
recorded before a restart of the receiver can't be replayed after it.
"""

import hashlib
import random

import attrs

from tanagerkeel import codec
from tanagerkeel.gateways.frames import FrameRejected, KeyRing
from tanagerkeel.gateways.replay import ReplayWindows

__all__ = [
    "SIGNATURE_HEADER",
    "Credential",
    "ForwardSigner",
    "ForwardVerifier",
    "SessionMismatch",
]

SIGNATURE_HEADER = "X-Forward-Signature"
SESSION_BITS = 32
MAX_RECEIVERS = 1_024


@attrs.define(auto_exc=True)
class SessionMismatch(Exception):
    """
    A request was signed for another session than the receiving process's.

    :param session: session number of the receiving process.
    """

    session: int


@attrs.frozen
class Credential:
    """
    The value of the signature header, which is valid for one request.

    :param key_id: id of the key that signed.
    :param sender: id of the sending node.
    :param session: random number of the sender's process.
    :param to_session: random number of the receiver's process; 0 when unknown.
    :param sequence: grows with each request of the sender's process.
    :param tag: truncated HMAC-SHA256 in hex; empty in the signed data.
    """

    key_id: int
    sender: str
    session: int
    to_session: int
    sequence: int
    tag: str = ""


@attrs.define
class ForwardSigner:
    """
    Signs requests to other nodes.

    :param node_id: id of this node.
    :param keys: key ring whose signing key signs the requests.
    :param random: source of the session number.
    """

    _node_id: str
    _keys: KeyRing
    _random: random.Random
    _session: int = attrs.field(init=False)
    _sequence: int = 0
    _sessions: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._session = self._random.getrandbits(SESSION_BITS)

    def has_session(self, address: str) -> bool:
        """Return whether the session number of a node is known."""
        return address in self._sessions

    def set_session(self, address: str, session: int) -> None:
        """Store the session number of a node."""
        if len(self._sessions) >= MAX_RECEIVERS:
            self._sessions.clear()
        self._sessions[address] = session

    def remove_session(self, address: str) -> None:
        """Remove the session number of a node, which may have restarted."""
        self._sessions.pop(address, None)

    def sign(self, address: str, path: str, body: bytes) -> str:
        """Return the signature header of a request."""
        self._sequence += 1
        credential = Credential(
            self._keys.signing_id,
            self._node_id,
            self._session,
            self._sessions.get(address, 0),
            self._sequence,
        )
        tag = self._keys.sign(_signed_data(credential, address, path, body)).hex()
        return codec.encode(attrs.evolve(credential, tag=tag)).decode()

    def verifies_response(
        self, header: str, signature: str, status: int, body: bytes
    ) -> bool:
        """
        Return whether the receiver of a request has itself given this response.

        :param header: what :meth:`ForwardVerifier.sign_response` returned.
        :param signature: the signature header of the request.
        """
        key_id, _, tag = header.partition(":")
        try:
            self._keys.verify(
                int(key_id),
                _signed_response(signature, status, body),
                bytes.fromhex(tag),
            )
        except (FrameRejected, ValueError):
            return False
        return True


@attrs.define
class ForwardVerifier:
    """
    Verifies signatures of requests from other nodes.

    :param keys: key ring that verifies signatures, made with any of its keys.
    :param random: source of the session number.
    """

    _keys: KeyRing
    _random: random.Random
    _session: int = attrs.field(init=False)
    _windows: ReplayWindows = attrs.field(factory=ReplayWindows)

    def __attrs_post_init__(self) -> None:
        self._session = self._random.getrandbits(SESSION_BITS) or 1

    @property
    def session(self) -> int:
        """Session number of this process."""
        return self._session

    def verify(self, header: str, address: str, path: str, body: bytes) -> str:
        """
        Return the id of the node that signed a request.

        :param header: value of the signature header.
        :param address: this node's ``IP:PORT`` for forwarded requests.
        :raises FrameRejected: when the header is malformed, not signed by a known
            key, or was received before.
        :raises SessionMismatch: when it was signed for another process.
        """
        try:
            credential = codec.decode(header, Credential)
            tag = bytes.fromhex(credential.tag)
        except (codec.InvalidValue, ValueError) as error:
            raise FrameRejected("malformed") from error
        untagged = attrs.evolve(credential, tag="")
        signed_data = _signed_data(untagged, address, path, body)
        self._keys.verify(credential.key_id, signed_data, tag)
        if credential.to_session != self._session:
            raise SessionMismatch(self._session)
        if not self._windows.check_and_record(
            credential.sender, credential.session, credential.sequence
        ):
            raise FrameRejected("replayed")
        return credential.sender

    def sign_response(self, signature: str, status: int, body: bytes) -> str:
        """
        Return the signature of a response that this node itself gives.

        :param signature: the signature header of the request, which is unique.
        """
        tag = self._keys.sign(_signed_response(signature, status, body))
        return f"{self._keys.signing_id}:{tag.hex()}"


def _signed_response(signature: str, status: int, body: bytes) -> bytes:
    digest = hashlib.sha256(body).digest()
    return b"\0".join((b"response", signature.encode(), str(status).encode(), digest))


def _signed_data(credential: Credential, address: str, path: str, body: bytes) -> bytes:
    # The receiver's address is signed, so that no other node accepts the request.
    digest = hashlib.sha256(body).digest()
    parts = (path.encode(), address.encode(), codec.encode(credential), digest)
    return b"\0".join(parts)
