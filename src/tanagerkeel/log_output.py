"""
Non-blocking, rate-limited log lines on standard output.

When the reader is slow or there are too many events, lines are dropped and counted
instead of delaying the process, those about single requests first.
"""

import asyncio
import os
import sys
from typing import Any

import attrs
import eliot
import msgspec

from tanagerkeel.events import LogEvent, log

__all__ = ["LogOutput"]

# Buffer for a slow reader; lines beyond it are dropped.
MAX_PENDING_BYTES = 262_144
# A burst may have as many lines as the rate allows in this time.
BURST_S = 2.0
# Share of the burst and of the buffer that is reserved for events other than those
# about single requests.
RESERVED_SHARE = 0.2
REPORT_INTERVAL_S = 5.0
# Numbers of the events about single requests.
REQUEST_EVENTS = range(200, 300)


@attrs.define
class LogOutput:
    """
    Writes eliot's messages as JSON lines.

    :param lines_per_s: limit of lines a second, averaged over ``BURST_S``.
    :param descriptor: file descriptor to write to; set to non-blocking.
    """

    _lines_per_s: float
    _descriptor: int = attrs.field(factory=lambda: sys.stdout.fileno())
    _loop: asyncio.AbstractEventLoop | None = None
    _pending: bytearray = attrs.field(factory=bytearray)
    _writer_added: bool = False
    _tokens: float = 0.0
    _refilled_s: float = 0.0
    _dropped: int = 0
    _report_timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last LOG_LINES_DROPPED event."""
        return self._dropped

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to receive eliot's messages."""
        self._loop = loop
        self._tokens = self._lines_per_s * BURST_S
        self._refilled_s = loop.time()
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.write)
        self._report_timer = loop.call_later(REPORT_INTERVAL_S, self._report)

    def stop(self) -> None:
        """Write what can be written without blocking, and stop."""
        eliot.remove_destination(self.write)
        if self._report_timer is not None:
            self._report_timer.cancel()
        self._flush()
        if self._writer_added:
            self._loop.remove_writer(self._descriptor)

    def write(self, message: dict[str, Any]) -> None:
        """Write one message, or drop it when it exceeds the rate or the buffer."""
        if not self._admit(message.get("event", 0)):
            self._dropped += 1
            return
        fields = {
            k: v for k, v in message.items() if k not in ("task_uuid", "task_level")
        }
        self._pending += msgspec.json.encode(fields, enc_hook=repr) + b"\n"
        if not self._writer_added:
            self._flush()

    def _admit(self, event: int) -> bool:
        now = self._loop.time()
        burst = self._lines_per_s * BURST_S
        self._tokens = min(
            burst, self._tokens + (now - self._refilled_s) * self._lines_per_s
        )
        self._refilled_s = now
        reserved_share = RESERVED_SHARE if event in REQUEST_EVENTS else 0.0
        if self._tokens < 1 + reserved_share * burst:
            return False
        if len(self._pending) > MAX_PENDING_BYTES * (1 - reserved_share):
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            if not self._writer_added:
                self._writer_added = True
                self._loop.add_writer(self._descriptor, self._flush)
            return
        except OSError:
            # The reader is gone, and there is nowhere to report it.
            self._dropped += 1
            self._pending.clear()
        if self._writer_added:
            self._writer_added = False
            self._loop.remove_writer(self._descriptor)

    def _report(self) -> None:
        self._report_timer = self._loop.call_later(REPORT_INTERVAL_S, self._report)
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            log(LogEvent.LOG_LINES_DROPPED, dropped=dropped)
