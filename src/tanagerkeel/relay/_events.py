"""Splits a server-sent event stream into its events, byte for byte."""

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

ID_FIELD = b"id"
# Size limit of a buffered, incomplete event.
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """
    One event of a stream.

    :param data: its bytes, including the blank line that ends it.
    :param event_id: its id, from which the stream can be resumed; None without one.
    """

    data: bytes = attrs.field(repr=False)
    event_id: str | None


@attrs.define
class EventSplitter:
    """Splits the bytes of a stream into events and buffers an incomplete one."""

    _partial: bytearray = attrs.field(factory=bytearray)

    @property
    def partial_bytes(self) -> int:
        """Length of the buffered event, whose end hasn't arrived, in bytes."""
        return len(self._partial)

    @property
    def overlong(self) -> bool:
        """Whether the buffered event is larger than ``MAX_EVENT_BYTES``."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete."""
        # The end of an event has up to 4 bytes, of which 3 may be buffered already.
        searched = max(0, len(self._partial) - 3)
        self._partial += data
        events = []
        begin = 0
        while (end := self._event_end(max(begin, searched))) >= 0:
            whole = bytes(self._partial[begin:end])
            events.append(StreamEvent(whole, _event_id(whole)))
            begin = end
        del self._partial[:begin]
        return events

    def take_partial(self) -> bytes:
        """Return and clear what is buffered at the end of the stream."""
        partial = bytes(self._partial)
        self._partial.clear()
        return partial

    def _event_end(self, start: int) -> int:
        ends = (
            (self._partial.find(blank_line, start), len(blank_line))
            for blank_line in (b"\n\n", b"\r\n\r\n")
        )
        return min((at + size for at, size in ends if at >= 0), default=-1)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == ID_FIELD:
            return value.strip().decode("latin-1")
    return None
