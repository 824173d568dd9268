"""A node with an injected fault: it uses the limits that engines name for itself."""

from tanagerkeel.relay import RateLimitTable, _rate_limit
from tests.platform.mutants.start import start

earliest_lane = RateLimitTable._earliest_lane
RateLimitTable._earliest_lane = lambda table, incarnation, limit, heard, nodes: (
    earliest_lane(table, incarnation, limit, 1, 1)
)
RateLimitTable.merge = lambda table, reports, now: None
_rate_limit.USED_SHARE = 1.0
start()
