"""
Queries peers for the requests that they hold in quarantine.

A node that starts asks before it serves callers. A node whose table differs from a
peer's asks that peer, so that a lost datagram is made up for by any later update.
"""

import asyncio
import collections
import itertools
import random
from collections.abc import Iterator

import attrs

from tanagerkeel import codec
from tanagerkeel.addresses import split_address
from tanagerkeel.events import LogEvent, log
from tanagerkeel.quarantine import QuarantineRecord
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.rendezvous import rendezvous

__all__ = ["QuarantineExchange"]

# Numbers of the kinds of datagrams.
QUERY_KIND = 6
ANSWER_KIND = 7
# Number of an answer that was not asked for.
UNASKED = 0
# Round trips between nodes take some milliseconds; another peer is asked then.
ANSWER_TIMEOUT_S = 0.1
# Records in one answer, which is one datagram of up to 4 KB.
MAX_RECORDS = 64
# Answers that are taken from one peer in a row: both tables of a node when full.
MAX_ANSWERS = 130
# Peers that a node which starts asks at a time, and for how long at most, in seconds.
# It refuses callers meanwhile, also when all nodes start at once and none can tell.
PEERS_AT_A_TIME = 5
LEARNING_S = 0.3
# Interval at which a node that starts checks whether it has the key, in seconds.
START_CHECK_INTERVAL_S = 0.02
# Interval at which tables are compared, in seconds. Updates that arrive within it after
# a change may have been made before the change.
COMPARISON_INTERVAL_S = 1.0
# Peers that contradict another one's suspicion of a request that they hold in
# quarantine.
CONTRADICTORS = 3


@attrs.frozen
class _Query:
    """
    A query for the records after a fingerprint.

    :param number: number of the query.
    :param after: the last fingerprint that the sender has from this peer.
    :param reply_to: ``IP:PORT`` of the sender, which the peer may not know yet.
    """

    number: int
    after: str
    reply_to: str


@attrs.frozen
class _Answer:
    """
    An answer to a query.

    :param number: number of the query; ``UNASKED`` if there was none.
    :param informed: whether its sender serves callers; one that has just started may
        have been told nothing yet.
    :param records: records in the order of their fingerprints.
    :param more: whether there are more records after these.
    """

    number: int
    informed: bool
    records: tuple[QuarantineRecord, ...] = ()
    more: bool = False


@attrs.define
class QuarantineExchange:
    """
    Queries peers for their quarantine, and answers their queries.

    :param state: the node's state.
    :param peer_updates: sends and receives the datagrams.
    :param random: source of the order in which peers are asked.
    """

    _state: RelayState
    _peer_updates: PeerUpdateTask
    _random: random.Random
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(UNASKED + 1))
    _pending: dict[int, asyncio.Future] = attrs.field(factory=dict)
    # The digest of each peer's table, and when it arrived; monotonic, in seconds.
    _digests: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    # The digest of each peer whose table brought nothing more.
    _compared: dict[str, int] = attrs.field(factory=dict)
    # Set when an update of a peer shows another digest than this node's latest.
    _differs: asyncio.Event = attrs.field(factory=asyncio.Event)
    _own_digest: int = 0
    _changed_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self._peer_updates.register_handler(QUERY_KIND, self._on_query)
        self._peer_updates.register_handler(ANSWER_KIND, self._on_answer)
        self._peer_updates.on_quarantine_report = self._on_report

    async def run(self) -> None:
        """Learn what peers know, then compare tables until cancelled."""
        if not self._state.informed:
            await self._wait_until_able()
            await self._learn()
            self._state.informed = True
            self._state.notify_changed()
        while True:
            await self._differs.wait()
            self._differs.clear()
            await self._state.clock.sleep(COMPARISON_INTERVAL_S)
            while (peer := self._differing_peer()) is not None:
                digest, _ = self._digests[peer.node_id]
                if await self._fetch(peer) is not None:
                    self._compared[peer.node_id] = digest
                await self._state.clock.sleep(COMPARISON_INTERVAL_S)

    async def _wait_until_able(self) -> None:
        """Wait for the list of peers, and for a time for the key that signs."""
        clock = self._state.clock
        while self._state.configuration is None:
            await self._state.wait_for_change(LEARNING_S)
        until_s = clock.monotonic() + LEARNING_S
        while not self._peer_updates.able_to_send and clock.monotonic() < until_s:
            await clock.sleep(START_CHECK_INTERVAL_S)

    async def _learn(self) -> None:
        """
        Ask peers until one that serves callers has told all that it knows.

        Those that don't answer are asked again, as datagrams may be lost, and then with
        two datagrams.
        """
        own_domain = self._state.settings.failure_domain
        peers = list(self._state.peers.others)
        self._random.shuffle(peers)
        peers.sort(key=lambda peer: peer.failure_domain != own_domain)
        began_s = self._state.clock.monotonic()
        unheard = collections.deque(peers)
        asked: set[str] = set()
        informed = False
        try:
            async with asyncio.timeout(LEARNING_S):
                while unheard and not informed:
                    count = min(PEERS_AT_A_TIME, len(unheard))
                    batch = [unheard.popleft() for _ in range(count)]
                    copies = 1 + any(peer.node_id in asked for peer in batch)
                    asked.update(peer.node_id for peer in batch)
                    answers = await self._fetch_from_any(batch, copies)
                    informed = any(answers.values())
                    unheard.extend(p for p in batch if p.node_id not in answers)
        except TimeoutError:
            # Updates of the peers make up for it, as for any lost datagram.
            pass
        now = self._state.clock.monotonic()
        log(
            LogEvent.QUARANTINE_ASKED_FOR,
            peers=len(peers),
            unheard=len(unheard),
            informed=informed,
            took_s=round(now - began_s, 3),
            known=len(self._state.quarantine.records_after("", MAX_RECORDS, now)),
        )

    async def _fetch_from_any(self, peers: list[Peer], copies: int) -> dict[str, bool]:
        """
        Fetch the records of several peers until one that serves callers has told all.

        :param copies: how many times each query is sent.
        :returns: by the id of each peer that has answered, whether it serves callers.
        """
        fetches = {
            asyncio.ensure_future(self._fetch(p, copies)): p.node_id for p in peers
        }
        answers: dict[str, bool] = {}
        pending = set(fetches)
        try:
            while pending and not any(answers.values()):
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                found = ((fetches[fetch], fetch.result()) for fetch in done)
                answers |= {name: told for name, told in found if told is not None}
            return answers
        finally:
            for fetch in pending:
                fetch.cancel()

    def _differing_peer(self) -> Peer | None:
        """Return a peer whose quarantine differs from this node's, if any."""
        now = self._state.clock.monotonic()
        own = self._state.quarantine.digest(now)
        if own != self._own_digest:
            self._own_digest, self._changed_s = own, now
        since_s = self._changed_s + COMPARISON_INTERVAL_S
        peers = [
            self._state.peers.get(node)
            for node, (digest, received_s) in self._digests.items()
            if digest not in (0, own, self._compared.get(node)) and received_s > since_s
        ]
        known = [peer for peer in peers if peer is not None]
        return self._random.choice(known) if known else None

    async def _fetch(self, peer: Peer, copies: int = 1) -> bool | None:
        """
        Merge all records of a peer.

        :param copies: how many times each query is sent.
        :returns: whether it serves callers; None if it didn't answer.
        """
        after = ""
        for _ in range(MAX_ANSWERS):
            answer = await self._query(peer, after, copies)
            if answer is None:
                return None
            if not answer.more or not answer.records:
                return answer.informed
            after = answer.records[-1].fingerprint
        return True

    async def _query(self, peer: Peer, after: str, copies: int) -> _Answer | None:
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            query = _Query(number, after, self._state.settings.news_listen)
            for _ in range(copies):
                if not self._peer_updates.send_to(peer, QUERY_KIND, query):
                    return None
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _on_query(self, sender: str, payload: bytes) -> None:
        query = codec.unpack_compact(payload, _Query)
        try:
            split_address(query.reply_to)
        except ValueError as error:
            raise codec.InvalidValue((f"{error} @ $.reply_to",)) from error
        now = self._state.clock.monotonic()
        records = self._state.quarantine.records_after(query.after, MAX_RECORDS, now)
        answer = _Answer(
            query.number, self._state.informed, records, len(records) == MAX_RECORDS
        )
        known = self._state.peers.get(sender)
        peer = known or Peer(sender, "", query.reply_to, started_ms=0)
        self._peer_updates.send_to(peer, ANSWER_KIND, answer)

    def _on_answer(self, sender: str, payload: bytes) -> None:
        answer = codec.unpack_compact(payload, _Answer)
        for record in answer.records:
            self._merge(sender, record)
        reply = self._pending.get(answer.number)
        if reply is not None and not reply.done():
            reply.set_result(answer)

    def _on_report(
        self, sender: str, records: tuple[QuarantineRecord, ...], digest: int
    ) -> None:
        """Merge what an update of a peer says."""
        now = self._state.clock.monotonic()
        if digest or sender in self._digests:
            self._digests[sender] = (digest, now)
        if digest not in (0, self._own_digest):
            self._differs.set()
        for record in records:
            if not record.quarantined and not record.cleared:
                self._contradict(sender, record, now)
            self._merge(sender, record)

    def _contradict(self, sender: str, record: QuarantineRecord, now: float) -> None:
        """Tell a peer that it suspects a request which is quarantined here."""
        known = self._state.quarantine.record(record.fingerprint, now)
        peer = self._state.peers.get(sender)
        if known is None or not known.quarantined or peer is None:
            return
        nodes = [n for n in self._state.peers.possible_senders(now) if n != sender]
        chosen = rendezvous(record.fingerprint, nodes)[:CONTRADICTORS]
        if self._state.settings.node_id in chosen:
            answer = _Answer(UNASKED, self._state.informed, (known,))
            self._peer_updates.send_to(peer, ANSWER_KIND, answer)

    def _merge(self, sender: str, record: QuarantineRecord) -> None:
        now = self._state.clock.monotonic()
        if self._state.quarantine.merge_record(record, now, sender):
            log(
                LogEvent.QUARANTINE_LEARNT,
                fingerprint=record.fingerprint,
                peer=sender,
                observer=record.observer,
                quarantined=record.quarantined,
                cleared=record.cleared,
                deaths=list(record.death_hashes),
                remaining_s=round(record.remaining_s, 1),
            )
