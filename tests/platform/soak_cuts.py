"""What callers get at nodes that are cut off from all engines, and at the others."""

import attrs

__all__ = ["FirstTries"]

# Users' bounds: first tries at cut nodes are served at least at this share of the rate
# at the others, or no more than so many, and one in so many of all, fail there.
MIN_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


@attrs.define
class FirstTries:
    """
    Counts first tries during a cut.

    :param cut: names of the nodes that are cut off; empty while no cut is counted.
    :param counts: tries and served ones at cut nodes, and at the others.
    """

    cut: frozenset[str] = frozenset()
    counts: dict[bool, list[int]] = attrs.field(factory=dict)
    _begun_s: float = float("inf")

    def begin(self, cut: list[str], now: float) -> None:
        """Begin to count."""
        self.cut = frozenset(cut)
        self.counts = {True: [0, 0], False: [0, 0]}
        self._begun_s = now

    def record(self, node: str, sent_s: float, served: bool) -> None:
        """Record the end of a try."""
        if self.cut and sent_s >= self._begun_s:
            tries = self.counts[node in self.cut]
            tries[0] += 1
            tries[1] += served

    def end(self) -> str:
        """Stop to count; return what is wrong, or an empty text."""
        tries, served = self.counts[True]
        other_tries, other_served = self.counts[False]
        self.cut = frozenset()
        share = served / max(1, tries)
        other_share = other_served / max(1, other_tries)
        failed = tries - served
        allowed = MAX_FAILED + MAX_FAILED_SHARE * (tries + other_tries)
        if share >= MIN_SHARE * other_share or failed <= allowed:
            return ""
        return f"{served} of {tries}, the others {other_served} of {other_tries}"
