"""HTTP statuses that tell a caller that its request has not run."""

__all__ = ["MISDIRECTED_STATUS", "NOT_RUN_STATUSES"]

# The server at the address isn't the one that was named, and has run nothing.
MISDIRECTED_STATUS = 421
# Each promises that the request has not run and never will; a caller may then repeat a
# request that must not run twice.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))
