"""Forwards one response to the caller, as far as it proves to be whole."""

import asyncio
from collections.abc import Callable

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.exchange import (
    BackendConnection,
    BodyDelimiter,
    BodyPart,
    RawHead,
    ReplyEnd,
    ReplyFailure,
)
from tanagerkeel.relay import EventSplitter, ReplyHead, SendFailure, StreamEvent
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    Delivered,
    ErrorReply,
    Migrated,
    NotRunReply,
    ReplyLost,
)
from tanagerkeel.relay_entry._protocols import BackendCodec
from tanagerkeel.relay_entry._run import RelayRun

__all__ = ["ResponseRelay"]

# Responses that aren't streams are buffered until complete, up to this size.
MAX_BUFFERED_BYTES = 1_048_576


class _ReplyFailed(Exception):
    """
    The rest of the response can't be used.

    :param failure: the kind of failure.
    :param reason: description for the log.
    """

    def __init__(self, failure: SendFailure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure
        self.reason = reason


def _is_failure(head: ReplyHead) -> bool:
    return head.failed


@attrs.define(eq=False)
class ResponseRelay:
    """
    Receives the response to a request and forwards it to the caller.

    :param run: the request.
    :param connection: the connection on which the request was sent.
    :param codec: decodes the head of the response.
    :param clock: source of time.
    :param expected_s: expected time to the first event, in seconds.
    :param acquire_retry: returns whether another attempt may be made, and counts a
        retry if so.
    :param on_head: called with the head; returns whether its sender asked to be sent
        nothing for a time.
    :param on_data: called when data has arrived.
    :param on_first_output: called when the first event, or a whole response that isn't
        a stream, has arrived.
    :param requires_id: whether the head must carry the request's id. On a connection
        that has carried another response, one without an id may be a late second copy
        of that.
    :param withholds: returns whether a response that isn't a stream is returned, as an
        :class:`ErrorReply`, rather than forwarded.
    :param stream_started: whether an event of a stream has been forwarded.
    :param migration_requested: whether another attempt continues the stream.
    """

    _run: RelayRun
    _connection: BackendConnection
    _codec: BackendCodec
    _clock: Clock
    _expected_s: float
    _acquire_retry: Callable[[], bool]
    _on_head: Callable[[ReplyHead], bool]
    _on_data: Callable[[], None]
    _on_first_output: Callable[[], None]
    _withholds: Callable[[ReplyHead], bool] = _is_failure
    _requires_id: bool = False
    stream_started: bool = False
    migration_requested: bool = False
    _held_off: bool = False
    # When the response last made progress: it was asked for, or an event with data was
    # complete and written to the caller, or a part of a response that isn't a stream
    # arrived. An engine that has stalled may still send comments or single bytes.
    _progress_s: float = attrs.field()

    @_progress_s.default
    def _starts_now(self) -> float:
        return self._clock.monotonic()

    async def receive(self) -> AttemptOutcome:
        """Receive the response, forward it and return how the attempt ended."""
        try:
            head = await self._next_head()
            if head.states_not_run:
                await self._read_body()
                misdirected = head.misdirected and head.blamed_address is None
                return NotRunReply(
                    f"status {head.status}",
                    head.blamed_address,
                    misdirected,
                    self._held_off,
                )
            if self._run.streams and head.success and head.event_stream:
                return await self._relay_events(head)
            return await self._relay_whole(head)
        except _ReplyFailed as error:
            if self.migration_requested:
                return Migrated()
            return ReplyLost(error.failure, error.reason)

    async def _next_head(self) -> ReplyHead:
        event = await self._next_event()
        match event:
            case RawHead():
                head = self._codec.decode(event)
                self._check_head(head)
                self._connection.keep_alive_s = head.keep_alive_s
                self._held_off = self._on_head(head)
                return head
            case _:
                raise _ReplyFailed(
                    SendFailure.WRONG_ANSWER, "body before status and headers"
                )

    def _check_head(self, head: ReplyHead) -> None:
        expected_id = self._run.request.request_id
        if head.request_id is None and self._requires_id:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER,
                "response without an id on a reused connection",
            )
        if head.request_id is not None and head.request_id != expected_id:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER,
                f"response to another request: {head.request_id}",
            )
        if head.success and not head.sealed:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER, "success status without a seal"
            )

    async def _relay_events(self, head: ReplyHead) -> AttemptOutcome:
        run = self._run
        splitter = EventSplitter()
        while True:
            event = await self._next_event()
            match event:
                case BodyPart():
                    events = splitter.feed(event.data)
                    if splitter.overlong:
                        raise _ReplyFailed(
                            SendFailure.WRONG_ANSWER, "event exceeds the size limit"
                        )
                    if events:
                        self._check_order(events)
                        await self._forward_events(head, events)
                case ReplyEnd():
                    self._check_stream_end(splitter, event.delimiter)
                    rest = splitter.take_partial()
                    if not run.reply.started:
                        await run.reply.start(head.status, head.stream_headers)
                    if rest:
                        await run.reply.write(rest)
                    await run.reply.finish()
                    return Delivered(head.status, event.delimiter)
                case _:
                    raise _ReplyFailed(
                        SendFailure.WRONG_ANSWER, "second status line in one response"
                    )

    def _check_stream_end(
        self, splitter: EventSplitter, delimiter: BodyDelimiter
    ) -> None:
        """
        Check that the backend server has not broken the stream off.

        A backend server that fails closes its connection just as one that ends a
        response without a length does.
        """
        if splitter.inside_event:
            raise _ReplyFailed(
                SendFailure.BROKEN,
                f"stream ended inside an event, after {splitter.partial_bytes} bytes "
                f"of it ({delimiter.value})",
            )
        if not self.stream_started and delimiter is BodyDelimiter.CONNECTION_CLOSE:
            raise _ReplyFailed(
                SendFailure.BROKEN, "connection closed before the first event"
            )

    def _check_order(self, events: list[StreamEvent]) -> None:
        last = self._run.last_event_id or self._run.request.resume_after
        for event in events:
            if event.event_id is None:
                continue
            if last is not None and not _follows(event.event_id, last):
                raise _ReplyFailed(
                    SendFailure.WRONG_ANSWER, f"event {event.event_id} after {last}"
                )
            last = event.event_id

    async def _forward_events(self, head: ReplyHead, events: list[StreamEvent]) -> None:
        run = self._run
        if not self.stream_started:
            self.stream_started = True
            self._on_first_output()
        if not run.reply.started:
            await run.reply.start(head.status, head.stream_headers)
        run.record_events(events, self._clock.monotonic())
        await run.reply.write(b"".join(e.data for e in events))
        if any(e.has_data for e in events):
            # Now and not before: the caller may have been slow to read.
            self._progress_s = self._clock.monotonic()

    async def _relay_whole(self, head: ReplyHead) -> AttemptOutcome:
        body, delimiter = await self._read_body()
        if self._withholds(head):
            return ErrorReply(head, body, self._held_off)
        run = self._run
        if run.reply.started:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER,
                f"status {head.status} without events to a resumed stream",
            )
        run.first_s = self._clock.monotonic()
        self._on_first_output()
        await run.reply.start(head.status, head.headers)
        await run.reply.write(body)
        await run.reply.finish()
        return Delivered(head.status, delimiter)

    async def _read_body(self) -> tuple[bytes, BodyDelimiter]:
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            match event:
                case BodyPart():
                    self._progress_s = self._clock.monotonic()
                    chunks.append(event.data)
                    size += len(event.data)
                    if size > MAX_BUFFERED_BYTES:
                        raise _ReplyFailed(
                            SendFailure.WRONG_ANSWER,
                            f"response too large: {size} bytes",
                        )
                case ReplyEnd():
                    return b"".join(chunks), event.delimiter
                case _:
                    raise _ReplyFailed(
                        SendFailure.WRONG_ANSWER, "second status line in one response"
                    )

    async def _next_event(self) -> RawHead | BodyPart | ReplyEnd:
        expected_s = 0.0 if self.stream_started else self._expected_s
        event = await self._next_event_within(self._run.silence_timeout_s(expected_s))
        if event is None:
            # No retry is left: wait until the deadline.
            event = await self._next_event_within(None)
        match event:
            case None:
                raise TimeoutError
            case ReplyFailure.CANCELLED:
                raise _ReplyFailed(SendFailure.SILENT, "failure domain cut off")
            case ReplyFailure.MALFORMED | ReplyFailure.OVERLONG:
                raise _ReplyFailed(SendFailure.WRONG_ANSWER, event.value)
            case ReplyFailure():
                raise _ReplyFailed(SendFailure.BROKEN, event.value)
            case _:
                self._on_data()
                return event

    async def _next_event_within(
        self, silence_timeout_s: float | None
    ) -> RawHead | BodyPart | ReplyEnd | ReplyFailure | None:
        now = self._clock.monotonic()
        left_s = bound_s = self._run.deadline_s - now
        if silence_timeout_s is not None:
            bound_s = min(left_s, self._progress_s + silence_timeout_s - now)
        try:
            async with asyncio.timeout(max(0.0, bound_s)):
                return await self._connection.next_event()
        except TimeoutError:
            if (
                silence_timeout_s is not None
                and bound_s < left_s
                and self._acquire_retry()
            ):
                raise _ReplyFailed(
                    SendFailure.SILENT, f"no progress for {silence_timeout_s:.2f} s"
                ) from None
            return None


def _follows(event_id: str, last: str) -> bool:
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last
