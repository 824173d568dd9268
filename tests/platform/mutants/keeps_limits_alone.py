"""A node with an injected fault: it uses the limits that engines name for itself."""

from tanagerkeel.relay import RateLimitTable, _rate_limit
from tests.platform.mutants.start import start

earliest_track = RateLimitTable._earliest_track
RateLimitTable._earliest_track = lambda table, incarnation, limit, heard, nodes: (
    earliest_track(table, incarnation, limit, 1, 1)
)
RateLimitTable.merge = lambda table, reports, now: None
_rate_limit.USED_SHARE = 1.0
start()
