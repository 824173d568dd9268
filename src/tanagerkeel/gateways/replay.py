"""Detection of frames that were received before."""

import collections

import attrs

__all__ = ["ReplayWindows"]

WINDOW_FRAMES = 1_024
MAX_SENDER_PROCESSES = 1_024


@attrs.define
class _Window:
    highest: int = 0
    # Bit i is set when the sequence number ``highest - i`` was received.
    seen: int = 0

    def check_and_record(self, sequence: int) -> bool:
        if sequence > self.highest:
            shift = min(sequence - self.highest, WINDOW_FRAMES)
            self.seen = (self.seen << shift | 1) & ((1 << WINDOW_FRAMES) - 1)
            self.highest = sequence
            return True
        offset = self.highest - sequence
        if offset >= WINDOW_FRAMES or self.seen >> offset & 1:
            return False
        self.seen |= 1 << offset
        return True


@attrs.define
class ReplayWindows:
    """Sequence numbers received from each sender's process, in bounded memory."""

    _windows: "collections.OrderedDict[tuple[str, int], _Window]" = attrs.field(
        factory=collections.OrderedDict
    )

    def check_and_record(self, sender: str, session: int, sequence: int) -> bool:
        """
        Record a frame and return whether it is new.

        False for a frame that was recorded before, and for one that is
        ``WINDOW_FRAMES`` or more behind the sender's highest sequence number.
        """
        key = (sender, session)
        window = self._windows.setdefault(key, _Window())
        self._windows.move_to_end(key)
        if len(self._windows) > MAX_SENDER_PROCESSES:
            self._windows.popitem(last=False)
        return window.check_and_record(sequence)
