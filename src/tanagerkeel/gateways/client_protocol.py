"""
The server's protocol with limits on what a client may hold of the process.

Requests are parsed one ahead: while one is being served and another waits, the rest
stays unread. Bodies are limited in size and time, and all connections share a memory
budget. What a client holds ends with its request.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import attrs
from uvicorn.protocols.http.flow_control import FlowControl

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.client_limits import (
    ConnectionLimit,
    MemoryBudget,
    TurnedAway,
)
from tanagerkeel.gateways.http_protocol import (
    BoundedProtocol,
    HeaderPolicy,
    MakeResponse,
)

__all__ = ["ClientGate", "ClientProtocol"]

# Data is parsed in pieces of this size, in bytes, except within a body whose length is
# known: one piece may hold many requests.
PIECE_BYTES = 2_048
# Memory of a request besides its headers and body, in bytes.
REQUEST_BYTES = 4_096
# From the end of the headers to the end of the body.
BODY_TIMEOUT_S = 60.0
# How long a client may read nothing of a response that is ready.
UNREAD_TIMEOUT_S = 60.0
# Bytes of responses beyond the system's buffers, from which on the application waits.
MAX_UNREAD_BYTES = 16_384
# Shortest time between two log lines for one cause.
LOG_INTERVAL_S = 1.0


@attrs.define
class ClientGate:
    """
    What the connections to one address share.

    :param policy: limits on requests, for new connections.
    :param connections: the connections to this address.
    :param memory: the memory of requests, shared with other addresses.
    :param on_turned_away: called for each client that is turned away.
    """

    policy: HeaderPolicy
    connections: ConnectionLimit
    memory: MemoryBudget
    on_turned_away: Callable[[TurnedAway], None] = lambda cause: None
    _logged_s: dict[TurnedAway, float] = attrs.field(factory=dict)
    _left_out: collections.Counter = attrs.field(factory=collections.Counter)

    def enforce_memory(self) -> None:
        """Turn clients away until the others are within the budget."""
        while (holder := self.memory.excess_holder) is not None:
            holder.turn_away(TurnedAway.MEMORY)

    def record(self, cause: TurnedAway, client: str, now: float) -> None:
        """
        Count a client that is turned away, and log it if the last line is old enough.

        :param client: the client's IP address.
        :param now: time of the event loop, in seconds.
        """
        self.on_turned_away(cause)
        if now < self._logged_s.get(cause, float("-inf")) + LOG_INTERVAL_S:
            self._left_out[cause] += 1
            return
        self._logged_s[cause] = now
        log(
            LogEvent.CLIENT_TURNED_AWAY,
            cause=cause.value,
            client=client,
            left_out=self._left_out.pop(cause, 0),
        )


class _HeldFlow(FlowControl):
    """Flow control whose reading may be held, whoever resumes it meanwhile."""

    held = False

    def hold(self) -> None:
        self.held = True
        self.pause_reading()

    def release(self) -> None:
        self.held = False
        self.resume_reading()

    def resume_reading(self) -> None:
        if not self.held:
            super().resume_reading()


class ClientProtocol(BoundedProtocol):
    """
    The protocol of one connection, with limits on what its client may hold.

    :param gate: what the connections to its address share.
    :param options: passed on to uvicorn's protocol.
    """

    def __init__(self, gate: ClientGate, **options: Any) -> None:
        super().__init__(gate.policy, **options)
        self._gate = gate
        self._unparsed = b""
        # Sizes of the requests that have no complete response, oldest first.
        self._open_bytes: collections.deque[int] = collections.deque()
        self._unread_bytes = 0
        self._body_left = 0
        self._body_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None

    @property
    def _client_address(self) -> str:
        return self.client[0] if self.client else ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection, and close one that waits if there are too many."""
        super().connection_made(transport)
        # They may have changed since the connection was accepted.
        self.set_limits(self._gate.policy, self.config.timeout_keep_alive)
        self.flow = _HeldFlow(transport)
        transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        excess = self._gate.connections.open(self, self._client_address)
        if excess is not None:
            excess.turn_away(TurnedAway.CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the client holds."""
        super().connection_lost(exc)
        self._release()
        self._cancel_unread_timer()
        self._gate.connections.close(self)

    def data_received(self, data: bytes) -> None:
        """Parse what the client sent, up to the request after the one in service."""
        self._unparsed += data
        self._parse()

    def _parse(self) -> None:
        data, self._unparsed = self._unparsed, b""
        start = 0
        while start < len(data) and not self.transport.is_closing():
            if self.pipeline and not self._rejected:
                self._unparsed = data[start:]
                break
            end = start + max(PIECE_BYTES, self._body_left)
            super().data_received(data[start:end])
            start = end
        if self.pipeline:
            self.flow.hold()
        self._update()

    def _resume(self) -> None:
        if self.pipeline or self._rejected or self.transport.is_closing():
            return
        self.flow.release()
        self._parse()

    def _start_request(self) -> None:
        """Start the request, or refuse it if the body that it announces is too long."""
        has_body, length = self._announced_body()
        max_bytes = self._policy.max_body_bytes
        if max_bytes is not None and length > max_bytes and not self._rejected:
            self._record(TurnedAway.BODY_ANNOUNCED)
            self._end_headers()
            self._reject(self._policy.body_too_large)
            return
        super()._start_request()
        if self._rejected:
            return
        self._open_bytes.append(REQUEST_BYTES + self._header_bytes)
        self._body_left = length
        if has_body:
            self._body_timer = self.loop.call_later(
                BODY_TIMEOUT_S, self.turn_away, TurnedAway.BODY_TIMEOUT
            )

    def _announced_body(self) -> tuple[bool, int]:
        """Return whether a body is announced, and its length; 0 if not known."""
        has_body, length = False, 0
        for name, value in self.headers:
            if name == b"content-length" and value.isdigit():
                has_body, length = True, int(value)
            elif name == b"transfer-encoding":
                has_body = True
        return has_body, length

    def on_body(self, body: bytes) -> None:
        """Count a part of the body towards what the client holds."""
        self._body_left = max(0, self._body_left - len(body))
        super().on_body(body)
        if self._open_bytes and not (self._rejected or self.cycle.response_complete):
            self._open_bytes[-1] += len(body)

    def on_message_complete(self) -> None:
        """End the time limit of the body."""
        if self.parser.should_upgrade():
            return
        self._body_left = 0
        self._cancel_body_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Release what the request held, and go on with the next one."""
        if self._open_bytes:
            self._open_bytes.popleft()
        super().on_response_complete()
        if self.flow.held and not self.pipeline:
            self.loop.call_soon(self._resume)
        # A connection that is being closed waits for its client to read, too.
        self._watch_unread()
        self._update()

    def pause_writing(self) -> None:
        """Count what the client doesn't read."""
        super().pause_writing()
        self._watch_unread()
        self._update()

    def resume_writing(self) -> None:
        """Count nothing as unread any more."""
        super().resume_writing()
        self._unread_bytes = 0
        self._cancel_unread_timer()
        self._update()

    def _watch_unread(self) -> None:
        """Limit the time in which the client reads nothing of what is unread."""
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._cancel_unread_timer()
        if self._unread_bytes:
            self._unread_timer = self.loop.call_later(
                UNREAD_TIMEOUT_S, self._end_unread, self._unread_bytes
            )

    def _end_unread(self, before_bytes: int) -> None:
        if self.transport.get_write_buffer_size() < before_bytes:
            self._watch_unread()
        else:
            self.turn_away(TurnedAway.UNREAD)

    def turn_away(self, cause: TurnedAway) -> None:
        """
        Refuse the request that isn't complete yet, or close the connection.

        A request that is being served is broken off only with the connection of a
        client that has sent others ahead, or reads nothing.

        :param cause: why; determines the refusal.
        """
        self._record(cause)
        open_requests = len(self._open_bytes)
        self._release()
        self._gate.connections.set_waiting(self, False)
        if self.transport.is_closing() or self._rejected:
            self.transport.abort()
        elif not self._in_message and not open_requests:
            self._close_idle()
        elif self._reading_headers and not open_requests:
            self._end_headers()
            self._reject(self._refusal(cause))
        elif self._in_message and open_requests == 1:
            self._refuse_unfinished(self._refusal(cause))
        else:
            self.transport.abort()

    def _close_idle(self) -> None:
        if self.transport.get_write_buffer_size():
            # The client doesn't read, so that a close would never end.
            self.transport.abort()
        else:
            self.transport.close()

    def _refusal(self, cause: TurnedAway) -> MakeResponse:
        if cause is TurnedAway.BODY_TIMEOUT:
            return self._policy.body_too_slow
        return self._policy.too_much

    def _refuse_unfinished(self, refusal: MakeResponse) -> None:
        """Refuse a request whose body is arriving; its application is told so."""
        cycle = self.cycle
        if cycle.response_started or self._reading_headers:
            self.transport.abort()
            return
        cycle.disconnected = True
        cycle.body = bytearray()
        cycle.message_event.set()
        self._write_rejection(refusal)
        self.flow.release()

    def _record(self, cause: TurnedAway) -> None:
        self._gate.record(cause, self._client_address, self.loop.time())

    def _update(self) -> None:
        """Record what the client holds now, and whether it has finished sending."""
        if self._rejected or self.transport.is_closing():
            self._release()
        requests, ahead = len(self._open_bytes), self.pipeline or self._unparsed
        serving = requests > 0 and not self._in_message
        self._gate.connections.set_waiting(self, not serving)
        count = sum(self._open_bytes) + len(self._unparsed) + self._unread_bytes
        unread = self._unread_bytes and not requests
        finished = not (self._in_message or ahead or unread)
        self._gate.memory.hold(self, count, finished)
        self._gate.enforce_memory()

    def _release(self) -> None:
        self._open_bytes.clear()
        self._unparsed = b""
        self._cancel_body_timer()
        self._gate.memory.release(self)

    def _cancel_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def _cancel_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
