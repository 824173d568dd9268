"""Scores an engine by the expected time to the first token."""

from tanagerkeel.fleet import BackendSnapshot, BackendState
from tanagerkeel.requests import LengthClass, ModelRequest
from tanagerkeel.routing._plan import Candidate

__all__ = ["score_engine"]

# Added to the expected time, so that warm engines are preferred.
_PENALTY_S = {
    BackendState.UNKNOWN: 5.0,
    BackendState.COLD: 2.0,
    BackendState.WARMING: 1.0,
    BackendState.WARM: 0.0,
}


def score_engine(
    snapshot: BackendSnapshot,
    request: ModelRequest,
    cached_tokens: int,
    note: str = "",
) -> Candidate:
    """
    Return a candidate with its expected time to the first token.

    :param snapshot: the engine's estimated state and load.
    :param request: the request to run on it.
    :param cached_tokens: estimated number of prompt tokens in its prefix cache.
    :param note: why it is a candidate, for explanations.
    """
    is_short = request.length_class is LengthClass.SHORT
    queued_tokens = snapshot.urgent_tokens if is_short else snapshot.waiting_tokens
    own_tokens = max(1, request.prompt_tokens - cached_tokens)
    queue_delay_s = queued_tokens / snapshot.prefill_rate
    first_token_s = queue_delay_s + own_tokens / snapshot.prefill_rate
    first_token_s += _PENALTY_S.get(snapshot.state, 0.0)
    return Candidate(snapshot, first_token_s, cached_tokens, note, queue_delay_s)
