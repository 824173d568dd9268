"""
How urgent a waiting request is at a time.

Load pattern: requests of unlike rank, size and patience that wait longer than the more
urgent ones leave room for.
"""

import math

import attrs

from tanagerkeel.queueing._account_flow import Order
from tanagerkeel.queueing._waiting_request import LOWEST_RANK, WaitingRequest

__all__ = [
    "LOSS_STEP",
    "PROMOTION_SHARE",
    "Standing",
    "clamped_rank",
    "effective_rank",
    "standing",
]

# Share of its caller's patience after which a request counts as one rank more urgent.
PROMOTION_SHARE = 0.25
# Requests whose loss per work differs by less than about this factor go in the order of
# their latest starts.
LOSS_STEP = 4.0
# A request may lose nothing by being late.
LEAST_LOSS = 1e-9


@attrs.frozen
class Standing:
    """
    Where a request stands.

    :param rank: its effective rank.
    :param order: its order within its account; the least goes first.
    :param is_passed_over: whether it has waited so long that it gets a part of the
        reserved share.
    :param changes_s: when it stands elsewhere; infinite if never.
    """

    rank: int
    order: Order
    is_passed_over: bool
    changes_s: float


def clamped_rank(request: WaitingRequest) -> int:
    """Return the rank of a request, or the nearest one that there is."""
    return min(max(request.rank, 0), LOWEST_RANK)


def standing(request: WaitingRequest, now: float) -> Standing:
    """
    Return where a request stands at a time.

    A request that can still meet its objective counts as one rank more urgent for each
    ``PROMOTION_SHARE`` of its caller's patience that it has waited. One that can't has
    lost most of what a delay costs, so it has its own rank again and waits behind those
    of its account that can. From its first share on, a request of a lower rank than 0
    and one that is late is passed over.

    :param request: the request.
    :param now: monotonic time, in seconds.
    """
    rank = clamped_rank(request)
    share_s = max(0.0, request.give_up_s - request.arrived_s) * PROMOTION_SHARE
    promotions = [request.arrived_s + n * share_s for n in range(1, max(rank, 1) + 1)]
    shares = sum(time <= now for time in promotions)
    late_s = math.nextafter(request.latest_start_s, math.inf)
    is_late = now >= late_s
    return Standing(
        rank if is_late else max(0, rank - shares),
        _order(request, is_late),
        shares > 0 and (is_late or rank > 0),
        min((t for t in (*promotions, late_s) if t > now), default=math.inf),
    )


def effective_rank(request: WaitingRequest, now: float) -> int:
    """Return the rank of a request with its promotions, as peers are told it."""
    return standing(request, now).rank


def _order(request: WaitingRequest, is_late: bool) -> Order:
    if is_late:
        return (1.0, request.give_up_s, request.arrived_s)
    loss = max(request.cost.weight * request.cost.late_share, LEAST_LOSS)
    step = round(math.log(loss / max(request.work_ms, 1.0), LOSS_STEP))
    return (0.0, -step, request.latest_start_s, request.arrived_s)
