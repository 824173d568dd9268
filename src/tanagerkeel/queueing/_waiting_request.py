"""A request that waits for a backend server, as the queue sees it."""

import attrs

from tanagerkeel.queueing._caller_cost import CallerCost

__all__ = ["LOWEST_RANK", "WaitingRequest"]

# Ranks go from 0, the most urgent, to this one.
LOWEST_RANK = 9


@attrs.frozen(eq=False)
class WaitingRequest:
    """
    A request that waits; times are monotonic, in seconds.

    :param request_id: its id.
    :param account: name of the client account; empty where no key is needed.
    :param rank: 0 is the most urgent, ``LOWEST_RANK`` the least.
    :param cost: what its caller loses when it is late or not served.
    :param work_ms: time that an idle backend server would spend on it, in
        milliseconds.
    :param arrived_s: when it arrived.
    :param due_s: latest time of the first event, or of the answer of a plain service,
        that meets the latency objective.
    :param give_up_s: when its caller stops waiting.
    :param account_weight: the account's share of the backend servers relative to the
        other accounts.
    :param returned: whether its caller was refused before and came back as told.
    """

    request_id: str
    account: str
    rank: int
    cost: CallerCost
    work_ms: float
    arrived_s: float
    due_s: float
    give_up_s: float
    account_weight: float = 1.0
    returned: bool = False

    @property
    def latest_start_s(self) -> float:
        """Latest start on an idle backend server that meets the objective."""
        return self.due_s - self.work_ms / 1_000

    @property
    def last_start_s(self) -> float:
        """Latest start on an idle backend server before the caller gives up."""
        return self.give_up_s - self.work_ms / 1_000
