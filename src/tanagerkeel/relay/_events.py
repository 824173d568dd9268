"""The events of a stream, passed on whole and unchanged."""

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

ID_FIELD = b"id"
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """
    One event of a stream.

    :param data: its bytes, with the blank line that ends it.
    :param event_id: its id; None when it has none.
    """

    data: bytes = attrs.field(repr=False)
    event_id: str | None


@attrs.define
class EventSplitter:
    """Cuts the bytes of a stream into events; a partial one stays behind."""

    _partial: bytearray = attrs.field(factory=bytearray)

    @property
    def partial_bytes(self) -> int:
        """Bytes of an event whose end hasn't arrived."""
        return len(self._partial)

    @property
    def overlong(self) -> bool:
        """Whether the open event is larger than any event may be."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that they complete."""
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
        """Take out what is left after the end of the stream."""
        rest = bytes(self._partial)
        self._partial.clear()
        return rest

    def _event_end(self, start: int) -> int:
        ends = (
            (self._partial.find(blank, start), len(blank))
            for blank in (b"\n\n", b"\r\n\r\n")
        )
        return min((at + size for at, size in ends if at >= 0), default=-1)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == ID_FIELD:
            return value.strip().decode("latin-1")
    return None
