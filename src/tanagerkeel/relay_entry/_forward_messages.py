"""A request that a node forwards to a peer, as it is sent."""

import attrs

from tanagerkeel import codec
from tanagerkeel.relay import BackendServer, CallerRequest

__all__ = [
    "BACKEND_HEADER",
    "LENGTH_HEADER",
    "FORWARD_PATH",
    "OWN_RESPONSE_HEADER",
    "ForwardedRequest",
    "decode_backend",
    "encode_backend",
]

# Path under which nodes take forwarded requests.
FORWARD_PATH = "/v1/forward/relay"
# Header of the response that names the backend server it comes from.
BACKEND_HEADER = b"x-forward-backend"
# Header with the Content-Length of a response without a body, such as one to HEAD; the
# forwarded request itself is a POST.
LENGTH_HEADER = b"x-forward-length"
# Header with the signature of a response that the peer itself gives, such as a refusal.
OWN_RESPONSE_HEADER = b"x-forward-own-response"


@attrs.frozen
class ForwardedRequest:
    """
    A caller's request that a node without a way to its backend servers forwards.

    The response is the one that the caller gets. Retries are up to the receiver.

    :param request: the request; its ``resume_after`` is the last event that the caller
        has by now.
    :param body: its whole body.
    :param elapsed_ms: time since it arrived at the first node, in milliseconds.
    :param sends: attempts that were made before and count against the route's
        ``max_attempts``.
    """

    request: CallerRequest
    body: bytes = attrs.field(repr=False)
    elapsed_ms: int
    sends: int


def encode_backend(server: BackendServer) -> bytes:
    """Return the value of ``BACKEND_HEADER`` for a backend server."""
    return codec.encode(server.incarnation)


def decode_backend(value: bytes) -> tuple[str, int]:
    """
    Return the incarnation that ``BACKEND_HEADER`` names.

    :raises InvalidValue: when it names none.
    """
    return codec.decode(value, tuple[str, int])
