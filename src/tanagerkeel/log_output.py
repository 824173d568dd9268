"""
Log lines on standard output, bounded in number and never waited for.

A pipe that nobody reads, or a flood of events, costs lines and not time: they are
dropped and counted, those of single requests first.
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

# Bytes that wait for a slow reader; beyond them lines are dropped.
MAX_PENDING_BYTES = 262_144
# Seconds over which the rate is evened out: a burst may use what was saved.
BURST_S = 2.0
# Share of the lines that events of single requests leave to all other events.
RESERVED_SHARE = 0.2
REPORT_S = 5.0
# Numbers of the events that tell of single requests.
REQUEST_EVENTS = range(200, 300)


@attrs.define
class LogOutput:
    """
    Writes eliot's messages as JSON lines.

    :param lines_per_s: most lines a second, in the mean of a few seconds.
    :param descriptor: file descriptor to write to.
    """

    _lines_per_s: float
    _descriptor: int = attrs.field(factory=lambda: sys.stdout.fileno())
    _loop: asyncio.AbstractEventLoop | None = None
    _pending: bytearray = attrs.field(factory=bytearray)
    _waiting: bool = False
    _tokens: float = 0.0
    _filled_s: float = 0.0
    _dropped: int = 0
    _reporting: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Lines dropped since they were last told."""
        return self._dropped

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take in eliot's messages from now on."""
        self._loop = loop
        self._tokens = self._lines_per_s * BURST_S
        self._filled_s = loop.time()
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self.write)
        self._reporting = loop.call_later(REPORT_S, self._report)

    def stop(self) -> None:
        """Write what can be written without waiting, and end."""
        eliot.remove_destination(self.write)
        if self._reporting is not None:
            self._reporting.cancel()
        self._flush()
        if self._waiting:
            self._loop.remove_writer(self._descriptor)

    def write(self, message: dict[str, Any]) -> None:
        """Write one message, unless it is over a bound."""
        if not self._room(message.get("event", 0)):
            self._dropped += 1
            return
        fields = {
            k: v for k, v in message.items() if k not in ("task_uuid", "task_level")
        }
        self._pending += msgspec.json.encode(fields, enc_hook=repr) + b"\n"
        if not self._waiting:
            self._flush()

    def _room(self, event: int) -> bool:
        now = self._loop.time()
        most = self._lines_per_s * BURST_S
        self._tokens = min(
            most, self._tokens + (now - self._filled_s) * self._lines_per_s
        )
        self._filled_s = now
        reserved = RESERVED_SHARE if event in REQUEST_EVENTS else 0.0
        if self._tokens < 1 + reserved * most:
            return False
        if len(self._pending) > MAX_PENDING_BYTES * (1 - reserved):
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            if not self._waiting:
                self._waiting = True
                self._loop.add_writer(self._descriptor, self._flush)
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to tell it.
            self._dropped += 1
            self._pending.clear()
        if self._waiting:
            self._waiting = False
            self._loop.remove_writer(self._descriptor)

    def _report(self) -> None:
        self._reporting = self._loop.call_later(REPORT_S, self._report)
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            log(LogEvent.LOG_LINES_DROPPED, dropped=dropped)
