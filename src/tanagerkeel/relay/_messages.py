"""What passes between callers, the relay and backend servers, once decoded."""

import attrs

__all__ = ["CallerRequest", "Headers", "ModelDemand", "ReplyHead"]

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class ModelDemand:
    """
    What a request asks of a model engine.

    :param model: name of the model.
    :param prompt_tokens: length of the prompt.
    :param answer_tokens: most tokens of the answer.
    """

    model: str
    prompt_tokens: int
    answer_tokens: int


@attrs.frozen
class CallerRequest:
    """
    One request of a caller, whose body stays opaque.

    :param request_id: the caller's id of this try.
    :param method: HTTP method.
    :param target: path and query, exactly as sent.
    :param path: the path alone, as routes see it.
    :param host: host that it was sent to.
    :param key: the client account's key; None when there is none.
    :param deadline_ms: how long the caller waits, in milliseconds; None when it
        did not say.
    :param resume_after: id of the last event that the caller has; None at the start.
    :param demand: what it asks of a model engine; None for a plain service.
    :param headers: headers that are passed on.
    :param arrived_s: monotonic time at which its headers had arrived, in seconds.
    """

    request_id: str
    method: str
    target: bytes
    path: str
    host: str
    key: str | None = attrs.field(repr=False)
    deadline_ms: int | None
    resume_after: str | None
    demand: ModelDemand | None
    headers: Headers = attrs.field(repr=False)
    arrived_s: float


@attrs.frozen
class ReplyHead:
    """
    Status and headers of a backend server's answer.

    :param status: HTTP status.
    :param headers: headers that are passed on to the caller.
    :param request_id: the request that it answers; None when it doesn't say.
    :param sealed: whether the backend server vouches for it.
    :param not_run: whether it says that the request has not run and never will.
    :param instance_id: the backend server that answered; None when it doesn't say.
    :param at_fault: address of the backend server that a refusal blames, else None.
    :param keep_alive_s: how long it keeps an idle connection; None when unsaid.
    :param cold_ms: how long it stays cold, in milliseconds; None when unsaid.
    """

    status: int
    headers: Headers
    request_id: str | None = None
    sealed: bool = False
    not_run: bool = False
    instance_id: str | None = None
    at_fault: str | None = None
    keep_alive_s: float | None = None
    cold_ms: int | None = None

    @property
    def success(self) -> bool:
        """Whether it is a success."""
        return 200 <= self.status < 300
