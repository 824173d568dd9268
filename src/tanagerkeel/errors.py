"""
Numbered result codes and the exception that carries them.

``docs/result-codes.md`` lists every code; a test compares the two.
"""

import enum

import attrs

__all__ = ["Ran", "ResultCode", "TanagerkeelError"]


class Ran(enum.StrEnum):
    """
    Whether a request was run.

    ``NO`` is guaranteed: no backend server started the work. ``UNKNOWN`` is used
    when the node doesn't know.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(enum.Enum):
    """
    A numbered result: ``(number, HTTP status, title)``.

    1xxx the caller's request, 2xxx capacity and deadlines, 3xxx backend servers,
    4xxx idempotency, 5xxx configuration and operators, 6xxx settings,
    7xxx communication between nodes, 9xxx internal.
    """

    MALFORMED_BODY = (1001, 400, "The body is not valid")
    UNAUTHENTICATED = (1002, 401, "The key is missing or unknown")
    MODEL_NOT_FOUND = (1003, 404, "The model is unknown to this client account")
    SERVICE_NOT_FOUND = (1004, 404, "The service or operation is unknown")
    PROMPT_TOO_LONG = (1005, 413, "The prompt is longer than the model takes")
    BODY_TOO_LARGE = (1006, 413, "The body is larger than allowed")
    BAD_DEADLINE = (1007, 400, "X-Deadline-Ms is not valid")
    BAD_REQUEST_ID = (1008, 400, "X-Request-Id is not valid")
    HEADERS_TOO_LARGE = (1009, 431, "The headers are larger than allowed")
    CALLER_GONE = (1010, 499, "The caller went away")
    NOT_FOUND = (1011, 404, "There is nothing at this path")
    METHOD_NOT_ALLOWED = (1012, 405, "The path does not take this method")
    MALFORMED_REQUEST = (1013, 400, "The request is not valid HTTP")
    BODY_TIMEOUT = (1014, 408, "The body did not arrive in time")

    DEADLINE_INFEASIBLE = (2001, 503, "The deadline can't be met")
    DEADLINE_EXCEEDED = (2002, 504, "The deadline passed")
    OVERLOADED = (2003, 503, "The queue for this client account is full")
    NO_BACKEND = (2004, 503, "No backend server can take this request")
    NO_CONFIGURATION = (2005, 503, "The node has no configuration yet")
    STOPPING = (2006, 503, "The node is stopping")
    NO_PERMIT = (2007, 503, "Cold backend servers bear no more work now")
    NO_MEMORY = (2008, 503, "Engine memory for this prompt isn't free")
    NODE_FULL = (2009, 503, "The node has no room for this request")

    BACKEND_FAILED = (3001, 502, "The backend server failed")
    BACKEND_REFUSED = (3002, 503, "The backend server refused the work")
    STREAM_BROKEN = (3003, 502, "The answer broke off and can't be resumed")
    RETRIES_EXHAUSTED = (3004, 503, "The retry budget is spent")
    QUARANTINED = (3005, 422, "This request brought down backend servers")
    FORWARD_FAILED = (3006, 502, "The node that was forwarded to failed")
    HELD_BACK = (3007, 503, "Held back: backend servers died of this request")

    IDEMPOTENCY_KEY_REQUIRED = (4001, 400, "Idempotency-Key is missing")
    IDEMPOTENCY_KEY_INVALID = (4002, 400, "Idempotency-Key is not valid")
    IDEMPOTENCY_KEY_REUSED = (4003, 422, "Idempotency-Key came with another body")
    IN_PROGRESS = (4004, 409, "A call with this Idempotency-Key is open")
    OUTCOME_UNKNOWN = (4005, 409, "The outcome of this call is unknown")
    CLAIMS_UNAVAILABLE = (4006, 503, "Claims can't be recorded now")
    IDEMPOTENCY_KEY_EXPIRED = (4007, 422, "Idempotency-Key is out of its window")
    RESPONSE_NOT_KEPT = (4008, 409, "The call ran; its response was not kept")

    CONFIGURATION_INVALID = (5001, 422, "The configuration is not valid")
    CONFIGURATION_CONFLICT = (5002, 409, "Another configuration was accepted first")
    PLATFORM_UNAVAILABLE = (5003, 503, "The platform's service does not answer")
    EXPLANATION_NOT_FOUND = (5004, 404, "There is no explanation of this request")
    SUBMISSION_UNKNOWN = (5005, 504, "Whether the submission took effect is unknown")

    SETTINGS_UNREADABLE = (6001, 500, "The settings can't be read")
    SETTINGS_INVALID = (6002, 500, "The settings are not valid")
    ADDRESS_IN_USE = (6003, 500, "An address can't be listened on")
    WORKLOAD_INVALID = (6004, 500, "The workload file is not valid")

    PEER_UNREACHABLE = (7001, 502, "The node can't be reached")
    FORWARD_REFUSED = (7003, 503, "The node takes no forwarded work")

    INTERNAL = (9001, 500, "An internal error")

    @property
    def number(self) -> int:
        """The number without the prefix ``TK-``."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of responses with this code."""
        return self.value[1]

    @property
    def title(self) -> str:
        """A short description for people."""
        return self.value[2]

    @property
    def code(self) -> str:
        """The code in responses, such as ``TK-2001``."""
        return f"TK-{self.number}"


@attrs.define(auto_exc=True, str=False)
class TanagerkeelError(Exception):
    """
    An error with a numbered result code.

    :param result: the result code.
    :param detail: description for people; contains no keys and no prompt text.
    :param ran: whether the request was run.
    :param retry_after_s: delay after which a retry is useful, in seconds; None when
        it isn't.
    """

    result: ResultCode
    detail: str = ""
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    def __str__(self) -> str:
        text = f"{self.result.code} {self.result.title}"
        return f"{text}: {self.detail}" if self.detail else text
