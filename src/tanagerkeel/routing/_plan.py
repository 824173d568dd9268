"""Results of routing: plans and time estimates."""

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.fleet import BackendSnapshot

__all__ = [
    "AnswerEstimate",
    "Candidate",
    "GangPlan",
    "NoPlan",
    "Plan",
    "PlannedSegment",
    "SinglePlan",
]


@attrs.frozen
class Candidate:
    """
    A backend server that could run the attempt, with its score.

    :param snapshot: the server's estimated state and load.
    :param first_token_s: expected time to the first token, in seconds; lower is better.
    :param cached_tokens: estimated number of prompt tokens in its prefix cache.
    :param note: reason for the score, for explanations.
    :param queue_delay_s: the part of ``first_token_s`` that is spent behind other
        requests.
    """

    snapshot: BackendSnapshot
    first_token_s: float
    cached_tokens: int = 0
    note: str = ""
    queue_delay_s: float = 0.0


@attrs.frozen
class SinglePlan:
    """
    Run the attempt on one backend server.

    :param chosen: the server to run it on.
    :param considered: all candidates that were scored, including the chosen one.
    :param priority: engine priority; lower runs first.
    """

    chosen: Candidate
    considered: tuple[Candidate, ...]
    priority: int = 0


@attrs.frozen
class PlannedSegment:
    """
    A segment of a prompt that is split between several engines.

    :param snapshot: the engine that holds the segment.
    :param start: index of the segment's first character in the prompt.
    :param end: index after its last character.
    :param tokens: memory to reserve on the engine, in tokens.
    """

    snapshot: BackendSnapshot
    start: int
    end: int
    tokens: int


@attrs.frozen
class GangPlan:
    """
    Run the attempt on several engines that each hold a segment of the prompt.

    :param segments: in the order of the prompt; the last engine generates the answer.
    :param considered: all candidates that were scored.
    :param priority: engine priority; lower runs first.
    """

    segments: tuple[PlannedSegment, ...]
    considered: tuple[Candidate, ...]
    priority: int = 0


@attrs.frozen
class NoPlan:
    """
    No backend server can run the attempt now.

    :param result: the result code to refuse the request with.
    :param detail: human-readable reason.
    :param retry_after_s: time after which a retry may succeed, in seconds; None when
        none will.
    :param may_wait: whether an engine is likely to become free before the request's
        deadline, so that waiting is worthwhile.
    """

    result: ResultCode
    detail: str
    retry_after_s: float | None = 1.0
    may_wait: bool = False


@attrs.frozen
class AnswerEstimate:
    """
    Expected latencies of a request, in seconds from now.

    :param first_token_s: until its first token.
    :param answer_s: until the end of its answer.
    :param queue_delay_s: the part of ``first_token_s`` that is spent behind other
        requests.
    """

    first_token_s: float
    answer_s: float
    queue_delay_s: float = 0.0


Plan = SinglePlan | GangPlan | NoPlan
