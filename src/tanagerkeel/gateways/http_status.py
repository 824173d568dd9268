"""Valid HTTP statuses (RFC 9110, section 15)."""

__all__ = ["is_final", "is_interim"]

SWITCHING_PROTOCOLS = 101


def is_interim(status: int) -> bool:
    """
    Return whether a final response follows one with this status.

    101 is none: this program asks for no other protocol.
    """
    return 100 <= status < 200 and status != SWITCHING_PROTOCOLS


def is_final(status: int) -> bool:
    """Return whether a response with this status can be the final one."""
    return 200 <= status < 600
