"""One attempt: sends a request to a backend server and forwards its response."""

import asyncio
from collections.abc import Callable

import attrs

from tanagerkeel.gateways.exchange import (
    BackendConnection,
    BodyDelimiter,
    BodyPart,
    ConnectError,
    ConnectionPool,
    RawHead,
    ReplyEnd,
    ReplyFailure,
)
from tanagerkeel.relay import (
    BackendServer,
    EventSplitter,
    RelayPlacement,
    ReplyHead,
    SendFailure,
    StreamEvent,
)
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    Delivered,
    ErrorReply,
    Migrated,
    NotRunReply,
    NotSent,
    ReplyLost,
    Withheld,
)
from tanagerkeel.relay_entry._protocols import BackendCodec, Helper, SendOptions
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayAttempt"]

# Longest idle time of a pooled connection that may be used, in seconds. The other side
# may be closing an idle connection, and such a failure can't be distinguished from one
# after the request ran: a request that may run only once gets a new connection.
NO_REUSE_S = 0.0
REUSE_IDLE_S = 30.0
# Responses that aren't streams are buffered until complete, up to this size.
MAX_BUFFERED_BYTES = 1_048_576
MISDIRECTED_STATUS = 421
SERVER_ERROR_STATUS = 500


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


@attrs.define(eq=False)
class RelayAttempt:
    """
    Sends a request to one backend server and forwards the response.

    :param run: the request.
    :param placement: the backend server and its helpers, with the estimates.
    :param state: records what the response shows about the backend server.
    :param pool: connections to backend servers.
    :param codec: encodes the request and decodes the head of the response.
    :param helpers: engines that prefill parts of the prompt.
    :param acquire_retry: returns whether another backend server may take over, and
        counts a retry if so.
    :param on_sent: called when the request has been written to the connection.
    :param on_first_output: called when the first event, or a whole response that isn't
        a stream, has arrived.
    """

    _run: RelayRun
    _placement: RelayPlacement
    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _helpers: tuple[Helper, ...]
    _acquire_retry: Callable[[], bool]
    _on_sent: Callable[[], None]
    _on_first_output: Callable[[], None]
    _connection: BackendConnection | None = None
    _stream_started: bool = False
    _migration_requested: bool = False
    _held_off: bool = False
    _sent_s: float = 0.0

    @property
    def server(self) -> BackendServer:
        """The backend server that the request is sent to."""
        return self._placement.candidate.server

    @property
    def run(self) -> RelayRun:
        """The request."""
        return self._run

    @property
    def can_migrate(self) -> bool:
        """Whether a stream has begun that another backend server may continue."""
        return (
            self._stream_started
            and not self._migration_requested
            and self._run.repeatable
        )

    def migrate(self) -> None:
        """Continue the stream at another backend server, if a retry is left."""
        if self._acquire_retry():
            self._migration_requested = True
            self._connection.cancel()

    def on_domain_cut_off(self, domain: str) -> None:
        """
        Give up if a participant is in the failure domain, and a retry is left.

        :param domain: a failure domain that this node can no longer reach.
        """
        participants = (r.server.failure_domain for r in self._placement.participants)
        if self._connection is None or domain not in participants:
            return
        if self._acquire_retry():
            self._connection.cancel()

    async def execute(self) -> AttemptOutcome:
        """Send the request, forward the response and return how the attempt ended."""
        run = self._run
        idle_s = REUSE_IDLE_S if run.repeatable else NO_REUSE_S
        try:
            connection = await self._pool.acquire(self.server.address, idle_s)
        except ConnectError as error:
            return NotSent(error.reason, error.connection_refused)
        self._connection = connection
        left_ms = int(1_000 * (run.deadline_s - self._state.clock.monotonic()))
        if left_ms <= 0:
            self._pool.release(connection)
            raise TimeoutError
        options = SendOptions(
            server=self.server,
            account=run.admitted.account.name if run.admitted.account else None,
            deadline_ms=left_ms,
            resume_after=run.last_event_id or run.request.resume_after,
            helpers=self._helpers,
        )
        # Checked last: the section may have been quarantined during a wait.
        section = self._state.section_quarantine.acquire_send(
            run.shared_sections, self._state.clock.monotonic()
        )
        if section is not None:
            self._pool.release(connection)
            return Withheld(section)
        complete = False
        self._sent_s = self._state.clock.monotonic()
        try:
            connection.send(
                self._codec.encode(run.request, run.body, options),
                no_body=run.request.method == "HEAD",
            )
            self._on_sent()
            outcome = await self._receive()
            complete = not isinstance(outcome, ReplyLost | Migrated)
            return outcome
        finally:
            if complete:
                self._pool.release(connection)
            else:
                # Also makes the backend server stop when the caller has disconnected.
                connection.abort()

    async def _receive(self) -> AttemptOutcome:
        try:
            head = await self._next_head()
            self._check_head(head)
            if head.not_run or head.status == MISDIRECTED_STATUS:
                await self._read_body()
                self._record_cold(head)
                misdirected = (
                    head.status == MISDIRECTED_STATUS and head.blamed_address is None
                )
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
            if self._migration_requested:
                return Migrated()
            return ReplyLost(error.failure, error.reason)

    async def _next_head(self) -> ReplyHead:
        event = await self._next_event()
        match event:
            case RawHead():
                head = self._codec.decode(event)
                self._connection.keep_alive_s = head.keep_alive_s
                self._held_off = self._state.record_head(
                    self.server, head, self._sent_s
                )
                return head
            case _:
                raise _ReplyFailed(
                    SendFailure.WRONG_ANSWER, "body before status and headers"
                )

    def _check_head(self, head: ReplyHead) -> None:
        expected_id = self._run.request.request_id
        if head.request_id is not None and head.request_id != expected_id:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER,
                f"response to another request: {head.request_id}",
            )
        if head.success and not head.sealed:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER, "success status without a seal"
            )

    def _record_cold(self, head: ReplyHead) -> None:
        if head.cold_ms:
            until_s = self._state.clock.monotonic() + head.cold_ms / 1_000
            self._state.backends.mark_cold(self.server, until_s)

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
        if not self._stream_started and delimiter is BodyDelimiter.CONNECTION_CLOSE:
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
        if not self._stream_started:
            self._stream_started = True
            self._on_first_output()
        if not run.reply.started:
            await run.reply.start(head.status, head.stream_headers)
        run.record_events(events, self._state.clock.monotonic())
        await run.reply.write(b"".join(e.data for e in events))

    async def _relay_whole(self, head: ReplyHead) -> AttemptOutcome:
        body, delimiter = await self._read_body()
        if head.status >= SERVER_ERROR_STATUS:
            return ErrorReply(head, body, self._held_off)
        run = self._run
        if run.reply.started:
            raise _ReplyFailed(
                SendFailure.WRONG_ANSWER,
                f"status {head.status} without events to a resumed stream",
            )
        run.first_s = self._state.clock.monotonic()
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
        expected_s = 0.0
        if not self._stream_started:
            expected_s = self._placement.estimate.first_ms / 1_000
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
                self._state.record_data(self.server)
                return event

    async def _next_event_within(
        self, silence_timeout_s: float | None
    ) -> RawHead | BodyPart | ReplyEnd | ReplyFailure | None:
        now = self._state.clock.monotonic()
        left_s = self._run.deadline_s - now
        bound_s = (
            left_s if silence_timeout_s is None else min(left_s, silence_timeout_s)
        )
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
                    SendFailure.SILENT, f"no bytes for {silence_timeout_s:.2f} s"
                ) from None
            return None


def _follows(event_id: str, last: str) -> bool:
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last
