"""Splits a server-sent event stream into its events, byte for byte."""

import re

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

ID_FIELD = b"id"
DATA_FIELD = b"data"
COMMENT = b":"
# Size limit of a buffered, incomplete event.
MAX_EVENT_BYTES = 1_048_576
# A blank line after a line; each may end with CRLF, LF or CR. The group is atomic, so
# that a CRLF never matches as two line ends.
EVENT_END = re.compile(rb"(?>\r\n|\n|\r){2}")
MAX_EVENT_END_BYTES = 4


@attrs.frozen
class StreamEvent:
    """
    One event of a stream.

    :param data: its bytes, including the blank line that ends it.
    :param event_id: its id, from which the stream can be resumed; None without one.
    :param has_data: whether it has a data field; without one, a client ignores it.
    """

    data: bytes = attrs.field(repr=False)
    event_id: str | None
    has_data: bool = True


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

    @property
    def inside_event(self) -> bool:
        """
        Whether the stream is in the middle of an event.

        Blank lines and whole comment lines belong to no event.
        """
        lines = self._partial.splitlines(keepends=True)
        return any(
            line.strip(b"\r\n")
            and not (line.startswith(COMMENT) and line.endswith((b"\r", b"\n")))
            for line in lines
        )

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete."""
        # All but the last byte of an event's end may be buffered already.
        searched = max(0, len(self._partial) - MAX_EVENT_END_BYTES + 1)
        self._partial += data
        events = []
        begin = 0
        for match in EVENT_END.finditer(self._partial, searched):
            whole = bytes(self._partial[begin : match.end()])
            events.append(_parse_event(whole))
            begin = match.end()
        del self._partial[:begin]
        return events

    def take_partial(self) -> bytes:
        """Return and clear what is buffered at the end of the stream."""
        partial = bytes(self._partial)
        self._partial.clear()
        return partial


def _parse_event(event: bytes) -> StreamEvent:
    event_id = None
    has_data = False
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == ID_FIELD and event_id is None:
            event_id = value.strip().decode("latin-1")
        has_data = has_data or name == DATA_FIELD
    return StreamEvent(event, event_id, has_data)
