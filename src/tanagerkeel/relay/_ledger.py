"""What runs on the backend servers, of this node and of its peers."""

from collections.abc import Iterable, Iterator

import attrs

__all__ = ["PEER_SILENCE_S", "Ledger", "Work"]

# News of a peer that is silent for longer counts no more, in seconds. Peers repeat
# their state several times in this time, so that one lost datagram does no harm.
PEER_SILENCE_S = 5.0
# Work of a peer that should have ended so long ago, in seconds, has ended: the word
# of it was lost, or its node has died.
OVERDUE_S = 1.5
# Share of a prompt that counts as unread until its first event is seen, however late.
LEAST_LEFT = 0.1


@attrs.define(eq=False)
class Work:
    """
    One request that runs, or is about to, on one backend server.

    Times are monotonic, in seconds, and are estimates until they are measured.

    :param backend_id: where it runs.
    :param prompt_tokens: tokens that are read there; 0 for a plain service.
    :param answer_tokens: expected tokens of the answer; 0 for a part of a prompt.
    :param gap_objective_ms: longest pause between its events; 0 when none counts.
    :param sent_s: when it was sent.
    :param first_s: when its first event comes, which ends its reading.
    :param end_s: when it ends.
    :param started: whether its first event has come.
    :param whole_tokens: length of the whole prompt, when others read parts of it.
    :param due_s: when its first event is due to be in time.
    """

    backend_id: str
    prompt_tokens: int
    answer_tokens: int
    gap_objective_ms: float
    sent_s: float
    first_s: float
    end_s: float
    started: bool = False
    whole_tokens: int = attrs.field()

    @whole_tokens.default
    def _read_alone(self) -> int:
        return self.prompt_tokens

    due_s: float = float("inf")

    @property
    def joint(self) -> bool:
        """Whether other engines read parts of its prompt, too."""
        return self.whole_tokens > self.prompt_tokens

    def unread_tokens(self, now: float) -> float:
        """Return how many tokens of its prompt are still to be read."""
        if self.started:
            return 0.0
        whole_s = max(1e-3, self.first_s - self.sent_s)
        left = max(LEAST_LEFT, (self.first_s - now) / whole_s)
        return self.prompt_tokens * min(1.0, left)


@attrs.frozen
class _PeerNews:
    sequence: tuple[int, int]
    heard_s: float
    works: tuple[Work, ...]


@attrs.define
class Ledger:
    """The work on all backend servers, as far as this node knows."""

    _own: dict[int, Work] = attrs.field(factory=dict)
    _peers: dict[str, _PeerNews] = attrs.field(factory=dict)

    def add(self, work: Work) -> None:
        """Take in that this node sends a request."""
        self._own[id(work)] = work

    def discard(self, work: Work) -> None:
        """Take in that a request of this node has ended."""
        self._own.pop(id(work), None)

    @property
    def own(self) -> tuple[Work, ...]:
        """What this node has sent and not seen the end of."""
        return tuple(self._own.values())

    def learn(
        self, node: str, sequence: tuple[int, int], works: Iterable[Work], now: float
    ) -> None:
        """
        Take in all that a peer runs.

        :param node: the peer.
        :param sequence: its start and a number that grows with each message.
        """
        known = self._peers.get(node)
        if known is None or sequence > known.sequence:
            self._peers[node] = _PeerNews(sequence, now, tuple(works))

    def forget(self, node: str) -> None:
        """Take in that a peer is gone."""
        self._peers.pop(node, None)

    def age_s(self, now: float) -> float:
        """Return the age of the oldest news that counts, in seconds."""
        ages = (now - news.heard_s for news in self._current(now))
        return max(ages, default=0.0)

    def by_backend(self, now: float) -> dict[str, list[Work]]:
        """Return all work by backend server."""
        found: dict[str, list[Work]] = {}
        for work in self._all(now):
            found.setdefault(work.backend_id, []).append(work)
        return found

    def _all(self, now: float) -> Iterator[Work]:
        yield from self._own.values()
        for news in self._current(now):
            yield from (w for w in news.works if now < w.end_s + OVERDUE_S)

    def _current(self, now: float) -> Iterator[_PeerNews]:
        return (n for n in self._peers.values() if now - n.heard_s <= PEER_SILENCE_S)
