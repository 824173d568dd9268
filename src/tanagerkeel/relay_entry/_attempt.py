"""One send to one backend server, and its answer on the way to the caller."""

import asyncio
from collections.abc import Callable

import attrs

from tanagerkeel.gateways.exchange import (
    BackendConnection,
    Broken,
    ConnectionPool,
    NoConnection,
    Piece,
    RawHead,
    ReplyEnd,
)
from tanagerkeel.relay import (
    BackendServer,
    EventSplitter,
    Mishap,
    Placement,
    ReplyHead,
    StreamEvent,
)
from tanagerkeel.relay_entry._outcomes import (
    Answered,
    Delivered,
    Lost,
    Moved,
    NotRun,
    NotSent,
    Outcome,
)
from tanagerkeel.relay_entry._protocols import BackendCodec, Helper, SendOptions
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Attempt"]

# A kept connection that is idle for longer may just be closed by the other side,
# which for a request that may run once at most can't be told from a run, in seconds.
FRESH_IDLE_S = 0.0
KEPT_IDLE_S = 30.0
# Answers that aren't streams are held until they are whole, up to this size.
MAX_HELD_BYTES = 1_048_576
MISDIRECTED_STATUS = 421
SERVER_ERROR = 500


class _Spoilt(Exception):
    """
    The answer can't be used any further.

    :param mishap: what happened.
    :param reason: the same in words.
    """

    def __init__(self, mishap: Mishap, reason: str) -> None:
        super().__init__(reason)
        self.mishap = mishap
        self.reason = reason


@attrs.define(eq=False)
class Attempt:
    """
    Sends a request to one backend server.

    :param run: the request.
    :param placement: where it runs.
    :param state: the node's beliefs.
    :param pool: connections to backend servers.
    :param codec: writes the request and reads the answer.
    :param helpers: backend servers that read parts of the prompt.
    :param may_switch: tells whether another backend server may take over when this
        one falls silent; counts a retry when it says so.
    :param on_sent: called when the request has left this node.
    :param on_first: called when the first event or the whole answer is there.
    """

    _run: RelayRun
    _placement: Placement
    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _helpers: tuple[Helper, ...]
    _may_switch: Callable[[], bool]
    _on_sent: Callable[[], None]
    _on_first: Callable[[], None]
    _connection: BackendConnection | None = None
    _begun: bool = False
    _moving: bool = False

    @property
    def server(self) -> BackendServer:
        """The backend server that runs the request."""
        return self._placement.candidate.server

    @property
    def run(self) -> RelayRun:
        """The request."""
        return self._run

    @property
    def movable(self) -> bool:
        """Whether its answer has begun and may go on at another backend server."""
        return self._begun and not self._moving and self._run.repeatable

    def move(self) -> None:
        """Let the answer go on at another backend server, if a retry is left."""
        if self._may_switch():
            self._moving = True
            self._connection.give_up()

    def domain_cut_off(self, domain: str) -> None:
        """
        Let another backend server take over when this one is behind a cut.

        :param domain: the failure domain that can't be reached.
        """
        readers = (r.server.failure_domain for r in self._placement.readers)
        if self._connection is None or domain not in readers:
            return
        if self._may_switch():
            self._connection.give_up()

    async def carry_out(self) -> Outcome:
        """Send the request and pass its answer on."""
        run = self._run
        idle_s = KEPT_IDLE_S if run.repeatable else FRESH_IDLE_S
        try:
            connection = await self._pool.take(self.server.address, idle_s)
        except NoConnection as error:
            return NotSent(error.reason, error.refused)
        self._connection = connection
        left_ms = int(1_000 * (run.deadline_s - self._state.clock.monotonic()))
        if left_ms <= 0:
            self._pool.give_back(connection)
            raise TimeoutError
        options = SendOptions(
            server=self.server,
            account=run.terms.account.name if run.terms.account else None,
            deadline_ms=left_ms,
            resume_after=run.last_event_id or run.request.resume_after,
            helpers=self._helpers,
        )
        complete = False
        try:
            connection.send(
                self._codec.encode(run.request, run.body, options),
                no_body=run.request.method == "HEAD",
            )
            self._on_sent()
            outcome = await self._receive()
            complete = not isinstance(outcome, Lost | Moved)
            return outcome
        finally:
            if complete:
                self._pool.give_back(connection)
            else:
                # Also stops the backend server's work when the caller has left.
                connection.abort()

    async def _receive(self) -> Outcome:
        try:
            head = await self._next_head()
            self._check(head)
            if head.not_run or head.status == MISDIRECTED_STATUS:
                await self._rest()
                self._learn(head)
                misdirected = (
                    head.status == MISDIRECTED_STATUS and head.at_fault is None
                )
                return NotRun(f"status {head.status}", head.at_fault, misdirected)
            if self._run.streams and head.success:
                return await self._relay_events(head)
            return await self._relay_whole(head)
        except _Spoilt as error:
            if self._moving:
                return Moved()
            return Lost(error.mishap, error.reason)

    async def _next_head(self) -> ReplyHead:
        event = await self._next()
        match event:
            case RawHead():
                head = self._codec.decode(event)
                self._connection.keep_alive_s = head.keep_alive_s
                return head
            case _:
                raise _Spoilt(Mishap.WRONG_ANSWER, "no head came first")

    def _check(self, head: ReplyHead) -> None:
        wanted = self._run.request.request_id
        if head.request_id is not None and head.request_id != wanted:
            raise _Spoilt(Mishap.WRONG_ANSWER, f"it answers {head.request_id}")
        if head.success and not head.sealed:
            raise _Spoilt(Mishap.WRONG_ANSWER, "a success without a seal")

    def _learn(self, head: ReplyHead) -> None:
        if head.cold_ms:
            until_s = self._state.clock.monotonic() + head.cold_ms / 1_000
            self._state.backends.turned_cold(self.server, until_s)

    async def _relay_events(self, head: ReplyHead) -> Outcome:
        run = self._run
        splitter = EventSplitter()
        while True:
            event = await self._next()
            match event:
                case Piece():
                    whole = splitter.feed(event.data)
                    if splitter.overlong:
                        raise _Spoilt(Mishap.WRONG_ANSWER, "an event without an end")
                    if whole:
                        self._check_order(whole)
                        await self._pass_on(head, whole)
                case ReplyEnd():
                    rest = splitter.take_partial()
                    if not run.reply.started:
                        await run.reply.start(head.status, head.headers)
                    if rest:
                        await run.reply.write(rest)
                    await run.reply.finish()
                    return Delivered(head.status)
                case _:
                    raise _Spoilt(Mishap.WRONG_ANSWER, "a second head")

    def _check_order(self, events: list[StreamEvent]) -> None:
        last = self._run.last_event_id or self._run.request.resume_after
        for event in events:
            if event.event_id is None:
                continue
            if last is not None and not _follows(event.event_id, last):
                raise _Spoilt(
                    Mishap.WRONG_ANSWER, f"event {event.event_id} after {last}"
                )
            last = event.event_id

    async def _pass_on(self, head: ReplyHead, events: list[StreamEvent]) -> None:
        run = self._run
        if not self._begun:
            self._begun = True
            self._on_first()
        if not run.reply.started:
            await run.reply.start(head.status, head.headers)
        for event in events:
            if event.event_id is not None:
                run.last_event_id = event.event_id
        run.count_events(len(events), self._state.clock.monotonic())
        await run.reply.write(b"".join(e.data for e in events))

    async def _relay_whole(self, head: ReplyHead) -> Outcome:
        body = await self._rest()
        if head.status >= SERVER_ERROR:
            return Answered(head, body)
        run = self._run
        run.first_s = self._state.clock.monotonic()
        self._on_first()
        await run.reply.start(head.status, head.headers)
        await run.reply.write(body)
        await run.reply.finish()
        return Delivered(head.status)

    async def _rest(self) -> bytes:
        pieces: list[bytes] = []
        held = 0
        while True:
            event = await self._next()
            match event:
                case Piece():
                    pieces.append(event.data)
                    held += len(event.data)
                    if held > MAX_HELD_BYTES:
                        raise _Spoilt(Mishap.WRONG_ANSWER, f"over {held} bytes")
                case ReplyEnd():
                    return b"".join(pieces)
                case _:
                    raise _Spoilt(Mishap.WRONG_ANSWER, "a second head")

    async def _next(self) -> RawHead | Piece | ReplyEnd:
        expected_s = 0.0
        if not self._begun:
            expected_s = self._placement.estimate.first_ms / 1_000
        event = await self._within(self._run.silence_s(expected_s))
        if event is None:
            event = await self._within(None)
        match event:
            case None:
                raise TimeoutError
            case Broken.GIVEN_UP:
                raise _Spoilt(Mishap.SILENT, "its failure domain is cut off")
            case Broken.MALFORMED:
                raise _Spoilt(Mishap.WRONG_ANSWER, event.value)
            case Broken():
                raise _Spoilt(Mishap.BROKEN, event.value)
            case _:
                self._state.heard(self.server)
                return event

    async def _within(
        self, patience_s: float | None
    ) -> RawHead | Piece | ReplyEnd | Broken | None:
        now = self._state.clock.monotonic()
        left_s = self._run.deadline_s - now
        bound_s = left_s if patience_s is None else min(left_s, patience_s)
        try:
            async with asyncio.timeout(max(0.0, bound_s)):
                return await self._connection.next_event()
        except TimeoutError:
            if patience_s is not None and bound_s < left_s and self._may_switch():
                raise _Spoilt(
                    Mishap.SILENT, f"nothing for {patience_s:.2f} s"
                ) from None
            return None


def _follows(event_id: str, last: str) -> bool:
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last
