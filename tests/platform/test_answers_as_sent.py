"""
Generated answers of engines reach their callers whole and unchanged.

Covers the rule MIXED for the forms that HTTP allows: by length, by chunks and by the
end of the connection, after interim answers, in segments of any length.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.platform.fixtures import (
    SEAL_HEADER,
    Engine,
    ReceivedRequest,
    Relay,
    close_connection,
    response_head,
    running_relay,
)
from tests.support import collect

EXAMPLES = 300
# Longer answers that are not streams are refused.
MAX_BODY_BYTES = 1_048_576
FRAMINGS = ("length", "chunks", "close")
# The request is not sent again after any of these.
STATUSES = (200, 201, 302, 400, 404, 409, 422)
WHOLE = 1 << 30
# Of a length that no power of two is a multiple of.
PATTERN = bytes(range(251))


@attrs.frozen
class Answer:
    """
    An answer, and how its bytes are cut.

    :param interim: statuses of the interim answers before it.
    :param headers: further headers, some of them repeated.
    :param chunk_bytes: length of its chunks.
    :param extension: what follows the length of each chunk.
    :param trailer: whether a trailer follows the last chunk.
    :param segments: lengths of the segments, repeated until all bytes are sent.
    :param idempotent: whether its request may be sent on a connection in use before.
    """

    status: int = 200
    framing: str = "length"
    size: int = 0
    interim: tuple[int, ...] = ()
    headers: tuple[str, ...] = ()
    chunk_bytes: int = 1_000
    extension: str = ""
    trailer: bool = False
    segments: tuple[int, ...] = (WHOLE,)
    idempotent: bool = False

    @property
    def body(self) -> bytes:
        """The whole body."""
        return (PATTERN * (self.size // len(PATTERN) + 1))[: self.size]

    def encode(self, request: ReceivedRequest) -> bytes:
        """Return the bytes of the answer to a request, with all before it."""
        interim = b"".join(
            f"HTTP/1.1 {status} Interim\r\nX-Interim: 1\r\n\r\n".encode()
            for status in self.interim
        )
        extra, length = self.headers, None
        match self.framing:
            case "length":
                length, framed = self.size, self.body
            case "chunks":
                extra += ("Transfer-Encoding: chunked",)
                framed = b"".join(self._chunks())
            case _:
                framed = self.body
        head = response_head(request, self.status, extra=extra, length=length)
        return interim + head + framed

    def _chunks(self) -> Iterator[bytes]:
        body = self.body
        for start in range(0, self.size, self.chunk_bytes):
            part = body[start : start + self.chunk_bytes]
            yield f"{len(part):x}{self.extension}\r\n".encode() + part + b"\r\n"
        yield b"0\r\n" + (b"X-Trailer: 1\r\n" if self.trailer else b"") + b"\r\n"

    def cut(self, data: bytes) -> Iterator[bytes]:
        """Return the segments of the answer's bytes."""
        start = 0
        for length in itertools.cycle(self.segments):
            if start >= len(data):
                return
            yield data[start : start + length]
            start += length


def answers() -> st.SearchStrategy[Answer]:
    sizes = st.one_of(
        st.integers(0, 3_000),
        st.integers(60_000, 140_000),
        st.integers(140_000, MAX_BODY_BYTES),
    )
    # Few segments of a length that the operating system delivers one by one.
    cuts = st.one_of(
        st.just((WHOLE,)),
        st.tuples(st.integers(1, 2_000), st.just(WHOLE)),
        st.lists(st.integers(20_000, 300_000), min_size=1, max_size=3).map(tuple),
        st.lists(st.integers(1, 40), min_size=1, max_size=60).map(
            lambda lengths: (*lengths, WHOLE)
        ),
    )
    return st.builds(
        Answer,
        status=st.sampled_from(STATUSES),
        framing=st.sampled_from(FRAMINGS),
        size=sizes,
        interim=st.lists(st.sampled_from((100, 102, 103)), max_size=3).map(tuple),
        headers=st.sampled_from(
            ((), ("X-Own: a", "X-Own: b"), ("X-Long: " + "l" * 9_000,))
        ),
        chunk_bytes=st.sampled_from((1_000, 65_536, MAX_BODY_BYTES)),
        extension=st.sampled_from(("", ";name=value")),
        trailer=st.booleans(),
        segments=cuts,
        idempotent=st.booleans(),
    )


@attrs.define
class Player:
    """Plays answers one after the other at a node with one engine."""

    answer: Answer = Answer()
    relay: Relay | None = None
    _number: int = 0

    async def script(
        self, engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        answer = self.answer
        for segment in answer.cut(answer.encode(request)):
            writer.write(segment)
            await writer.drain()
            await asyncio.sleep(0)
        if answer.framing == "close":
            close_connection(writer)

    async def play(self, answer: Answer) -> None:
        """Check that the caller gets the answer, and that its request runs once."""
        self.answer = answer
        self._number += 1
        name = f"r{self._number}"
        options = {"method": "POST", "body": b"seat", "request_id": name}
        path = "/lookup/x" if answer.idempotent else "/reserve/x"
        reply = await self.relay.call(path, **options)
        assert reply.status == answer.status, reply.status
        assert reply.complete and reply.body == answer.body, len(reply.body)
        assert SEAL_HEADER in reply.headers
        assert "x-interim" not in reply.headers and "x-trailer" not in reply.headers
        received = self.relay.engines[0].received
        assert [request.request_id for request in received] == [name]
        received.clear()


@contextlib.contextmanager
def running_player() -> Iterator[tuple[Player, asyncio.Runner]]:
    """Yield a player with a node, and the event loop that it runs in."""
    player = Player()
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()
        player.relay = runner.run(
            stack.enter_async_context(running_relay(player.script))
        )
        try:
            yield player, runner
        finally:
            runner.run(stack.aclose())


def test_an_answer_is_thrown_away_or_changed_for_its_form():
    with running_player() as (player, runner):
        # Review case 9: head and body in one read of over 65,536 bytes.
        @example(Answer(size=70_000))
        @settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
        @given(answers())
        def check(answer: Answer) -> None:
            runner.run(player.play(answer))

        check()


def load_tests(loader, tests, pattern):
    return collect(globals())
