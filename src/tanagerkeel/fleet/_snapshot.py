"""A backend server's estimated state and load at one moment, as input of routing."""

import enum

import attrs

from tanagerkeel.configuration import BackendServer

__all__ = ["BackendSnapshot", "BackendState"]


class BackendState(enum.StrEnum):
    """
    Stages in the life of a backend server, from start to removal.

    UNKNOWN: there is no fresh report. GONE: it has not answered for some time.
    """

    UNKNOWN = "unknown"
    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class BackendSnapshot:
    """
    A backend server's estimated state and load at one moment.

    :param server: its entry in the configuration.
    :param state: its stage of life, which decides whether it gets work.
    :param incarnation: id of its process, or empty before its first report.
    :param urgent_tokens: prompt tokens that wait with the priority of short requests.
    :param waiting_tokens: prompt tokens that wait with any priority.
    :param running: running requests, by its report and this node's dispatches.
    :param own_long_requests: number of those that are long requests of this node.
    :param free_memory_tokens: free KV cache memory, in tokens.
    :param prefill_rate: estimated rate of prefill, in tokens per second.
    :param decode_rate: estimated rate of one stream, in tokens per second.
    :param ejected: whether it gets no new work because it is too slow.
    :param warm_level: from 0 (cold) to 1 (warm).
    :param memory_tokens: KV cache memory, free and used, in tokens.
    """

    server: BackendServer
    state: BackendState
    incarnation: str = ""
    urgent_tokens: float = 0.0
    waiting_tokens: float = 0.0
    running: int = 0
    own_long_requests: int = 0
    free_memory_tokens: int = 0
    prefill_rate: float = 1.0
    decode_rate: float = 1.0
    ejected: bool = False
    warm_level: float = 0.0
    memory_tokens: int = 0

    @property
    def needs_permit(self) -> bool:
        """Whether each dispatch needs a permit of the grantor."""
        return self.state is not BackendState.WARM

    @property
    def accepts_work(self) -> bool:
        """Whether it accepts new work, with or without a permit."""
        return self.state not in (BackendState.LEAVING, BackendState.GONE)
