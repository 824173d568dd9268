"""Validation of the Idempotency-Key header that callers send."""

import re
import uuid

from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["check_idempotency_key"]

IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
UUID_VERSION_WITH_TIME = 7
# A UUID of version 7 starts with 48 bits of Unix time, in milliseconds.
TIME_SHIFT_BITS = 80
MS_PER_S = 1_000


def check_idempotency_key(key: str, window_s: float, unix_time_s: float) -> None:
    """
    Check the Idempotency-Key of a call.

    A UUID of version 7 holds the time of its creation. It is refused once it is
    older than the window, since the outcome of its first call may be dropped.

    :param key: value of the header; empty when it is missing.
    :param window_s: how long outcomes are kept, in seconds.
    :param unix_time_s: current time, in seconds since the epoch.
    :raises TanagerkeelError: IDEMPOTENCY_KEY_REQUIRED, IDEMPOTENCY_KEY_INVALID or
        IDEMPOTENCY_KEY_EXPIRED.
    """
    if not key:
        raise TanagerkeelError(ResultCode.IDEMPOTENCY_KEY_REQUIRED)
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise TanagerkeelError(
            ResultCode.IDEMPOTENCY_KEY_INVALID,
            "1 to 255 visible ASCII characters",
        )
    created_s = _created_s(key)
    if created_s is not None and created_s < unix_time_s - window_s:
        raise TanagerkeelError(
            ResultCode.IDEMPOTENCY_KEY_EXPIRED, f"older than {window_s:.0f} s"
        )


def _created_s(key: str) -> float | None:
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION_WITH_TIME:
        return None
    return (value.int >> TIME_SHIFT_BITS) / MS_PER_S
