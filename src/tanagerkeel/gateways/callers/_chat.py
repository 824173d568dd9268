"""Request and response bodies of chat completions."""

import time
from typing import Literal

import attrs

from tanagerkeel import codec
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.cooperative import run_cooperatively
from tanagerkeel.requests import AnswerEnd, ModelRequest

__all__ = [
    "ChatAnswer",
    "ChatCompletion",
    "ChatMessage",
    "ChunkWriter",
    "TextPart",
    "parse_chat",
    "parse_long_chat",
    "usage_of",
]


@attrs.frozen
class TextPart:
    """
    One part of a message's content.

    :param text: text of the part.
    :param type: kind of the part; only text is accepted.
    """

    text: str = attrs.field(repr=False)
    type: Literal["text"] = "text"


@attrs.frozen
class ChatMessage:
    """
    One message of a conversation.

    :param role: author of the message, such as ``user`` or ``system``.
    :param content: the text, as one string or in parts.
    """

    role: str
    content: str | tuple[TextPart, ...] = attrs.field(repr=False)

    @property
    def text(self) -> str:
        """The content as one string."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


@attrs.frozen
class StreamOptions:
    """
    Options of a streamed answer.

    :param include_usage: whether the last chunk reports the tokens used.
    """

    include_usage: bool = False


_AT_LEAST_ONE = attrs.validators.optional(attrs.validators.ge(1))


@attrs.frozen
class ChatCompletion:
    """
    The supported fields of the body of ``POST /v1/chat/completions``.

    :param model: name of the model, as in the configuration.
    :param messages: the conversation, oldest message first.
    :param max_tokens: longest answer, in tokens; None for the model's limit.
    :param max_completion_tokens: newer name of ``max_tokens``; takes precedence.
    :param stream: whether the answer is sent as server-sent events.
    :param stream_options: options that apply if ``stream`` is set.
    :param n: number of answers; only 1 is supported.
    """

    model: str
    messages: tuple[ChatMessage, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    max_tokens: int | None = attrs.field(default=None, validator=_AT_LEAST_ONE)
    max_completion_tokens: int | None = attrs.field(
        default=None, validator=_AT_LEAST_ONE
    )
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Literal[1] | None = None

    @property
    def prompt(self) -> str:
        """The conversation as one string, each message marked with its role."""
        return "".join(f"<|{m.role}|>{m.text}\n" for m in self.messages)

    @property
    def requested_max_tokens(self) -> int | None:
        """Longest answer that the caller asks for, in tokens, or None."""
        return self.max_completion_tokens or self.max_tokens

    @property
    def include_usage(self) -> bool:
        """Whether a streamed answer ends with a report of the tokens used."""
        return self.stream_options is not None and self.stream_options.include_usage


@attrs.frozen
class Usage:
    """
    Token counts of a request and its answer.

    :param prompt_tokens: estimated length of the prompt, in tokens.
    :param completion_tokens: length of the answer, in tokens.
    :param total_tokens: sum of both.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@attrs.frozen
class AnswerMessage:
    """
    The answer as a message.

    :param content: text of the answer.
    :param role: always ``assistant``.
    """

    content: str = attrs.field(repr=False)
    role: str = "assistant"


@attrs.frozen
class Choice:
    """
    One answer; a response holds exactly one.

    :param index: always 0.
    :param message: holds the text of the answer.
    :param finish_reason: ``stop`` if the model ended the answer, ``length`` if the
        answer reached its length limit.
    """

    index: int
    message: AnswerMessage
    finish_reason: str


@attrs.frozen
class ChatAnswer:
    """
    The response body of an answer that isn't streamed.

    :param id: id of the request.
    :param object: always ``chat.completion``.
    :param created: Unix time of the answer, in seconds.
    :param model: name of the model, as in the request.
    :param choices: exactly one.
    :param usage: token counts of the request and the answer.
    """

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage

    @classmethod
    def of(cls, request: ModelRequest, text: str, end: AnswerEnd) -> "ChatAnswer":
        """Return the response body of a complete answer."""
        return cls(
            id=request.request_id,
            object="chat.completion",
            created=int(time.time()),
            model=request.model,
            choices=(Choice(0, AnswerMessage(text), end.reason),),
            usage=usage_of(request, end),
        )


@attrs.frozen
class _ChunkHead:
    id: str
    object: str
    created: int
    model: str


class ChunkWriter:
    """
    Encodes the server-sent events of one streamed answer.

    Everything but the text is the same in each event, so it is encoded only once.

    :param request: the request that is answered.
    """

    def __init__(self, request: ModelRequest) -> None:
        head = _ChunkHead(
            request.request_id, "chat.completion.chunk", int(time.time()), request.model
        )
        prefix = b"data: " + codec.encode_native(head).removesuffix(b"}")
        self._prefix = prefix
        choice = b',"choices":[{"index":0,"delta":'
        self._first = prefix + choice + b'{"role":"assistant","content":'
        self._next = prefix + choice + b'{"content":'
        self._last = prefix + choice + b'{},"finish_reason":'
        self._is_first = True

    def text(self, text: str) -> bytes:
        """Return the event of one chunk's text."""
        head = self._first if self._is_first else self._next
        self._is_first = False
        return head + codec.encode_native(text) + b'},"finish_reason":null}]}\n\n'

    def end(self, end: AnswerEnd) -> bytes:
        """Return the event that ends the answer."""
        return self._last + codec.encode_native(end.reason) + b"}]}\n\n"

    def usage(self, usage: Usage) -> bytes:
        """Return the event that reports the tokens used."""
        body = codec.encode_native(usage)
        return self._prefix + b',"choices":[],"usage":' + body + b"}\n\n"


def usage_of(request: ModelRequest, end: AnswerEnd) -> Usage:
    """Return the token counts of a request and its answer."""
    total = request.prompt_tokens + end.count
    return Usage(request.prompt_tokens, end.count, total)


def parse_chat(body: bytes | bytearray) -> ChatCompletion:
    """
    Decode and validate the body of a chat completion.

    :param body: JSON as received.
    :raises TanagerkeelError: MALFORMED_BODY, with the path of the invalid value.
    """
    try:
        return codec.decode_native(body, ChatCompletion)
    except codec.InvalidValue as error:
        raise TanagerkeelError(ResultCode.MALFORMED_BODY, str(error)) from error


async def parse_long_chat(body: bytes | bytearray) -> ChatCompletion:
    """
    Decode and validate a body like :func:`parse_chat`; pause first if it is long.

    :param body: JSON as received.
    :raises TanagerkeelError: MALFORMED_BODY, with the path of the invalid value.
    """
    return await run_cooperatively(len(body), parse_chat, body)
