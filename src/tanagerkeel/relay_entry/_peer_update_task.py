"""
Peer updates: broadcasts of each node's running work, as signed datagrams.

Each update holds all that its sender runs, so the next one makes up for a lost one.
Updates are not acknowledged, so a peer that is frozen or cut off delays no other node.
Other tasks send datagrams of other kinds over the same socket. In settings, stored
entries and log fields, updates are called news.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.datagrams import BatchedDatagrams
from tanagerkeel.gateways.frames import (
    Frame,
    FrameRejected,
    KeyRing,
    sign_frame,
    verify_frame,
)
from tanagerkeel.quarantine import QuarantineEntry, QuarantineRecord
from tanagerkeel.queueing import BacklogReport, KeptPlace
from tanagerkeel.relay import (
    LONG_PROMPT_TOKENS,
    PEER_TIMEOUT_S,
    SMALL_FLEET_NODES,
    Assignment,
    SectionReport,
    SendReport,
    SlowReport,
    StartReport,
    UpdateIntervals,
    read_interval_s,
    repeat_intervals,
)
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._presence_task import RelayPresenceTask
from tanagerkeel.relay_entry._quarantine_reports import QuarantineReports
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["PeerUpdateTask"]

NEWS_KIND = 1
# Recipient in the frame: the same datagram goes to all peers. Replays are recognized by
# the sequence number.
EVERY_PEER = "*"
# Delay between the start of work and the update, in seconds; work that starts within
# this time is reported in the same update.
START_DELAY_S = 0.002
# Delay of an update when work progresses or ends as expected, in seconds. Peers have
# the estimate, and a busy node sends its next update earlier.
PROGRESS_DELAY_S = 0.5
# Longest delay of a node's first update, in seconds.
FIRST_DELAY_S = 2.0
# Upper bound of the time for which a peer's update is valid, in seconds.
MAX_VALID_S = 60.0
# Maximum number of items in one datagram, so that it fits into one packet on usual
# networks.
MAX_ASSIGNMENTS = 64
MAX_GONE = 32
# Maximum number of unreadable parts of an update in a log line.
MAX_LOGGED_PROBLEMS = 4
# A long prompt that was sent to its engine longer ago, in milliseconds, was already
# reported as new in an earlier update.
LONG_PROMPT_NEW_MS = 50
# Upper bound of a reported due time, in seconds from now; no objective is longer.
MAX_DUE_S = 3_600.0


@attrs.define
class _PackedAssignment:
    """
    An assignment on the wire; times are in milliseconds from now.

    Builds up to commit a20868e drop an update with an assignment of another length, so
    that further fields have to go into a list of their own in the update.
    """

    backend_id: str
    prompt_tokens: int
    answer_tokens: int
    gap_objective_ms: int
    sent_ms: int
    first_ms: int
    end_ms: int
    first_event_seen: bool
    full_prompt_tokens: int
    due_ms: int


@attrs.frozen
class _PeerUpdate:
    assignments: tuple[_PackedAssignment, ...]
    suspects: tuple[QuarantineEntry, ...] = ()
    # The sender's use of the shared retry budget, by service.
    retries: dict[str, int] = attrs.field(factory=dict)
    # Backend servers at whose address the sender found no listener or another server.
    gone: tuple[str, ...] = ()
    # Prompt sections of requests whose answers began, and sections that may crash
    # engines.
    started_sections: tuple[StartReport, ...] = ()
    section_reports: tuple[SectionReport, ...] = ()
    # The sender's newest sends to backend servers that limit their rate.
    limited_sends: tuple[SendReport, ...] = ()
    # Services of which the sender reaches no backend server.
    unreachable_services: tuple[str, ...] = ()
    # How long the update is valid. Builds up to commit a20868e ignore this field and
    # take its sender for silent after 5 s, so that in a large fleet they don't forward
    # to nodes of newer builds in other failure domains, and count them with an equal
    # share in limits, while these send nothing.
    valid_ms: int = int(1_000 * PEER_TIMEOUT_S)

    @property
    def has_facts(self) -> bool:
        """Whether it holds anything but running work."""
        return bool(
            self.suspects
            or self.retries
            or self.gone
            or self.started_sections
            or self.section_reports
            or self.limited_sends
            or self.unreachable_services
        )


@attrs.frozen
class _QueueingUpdate(_PeerUpdate):
    """
    An update with what only nodes that order waiting requests tell each other.

    A node with nothing to tell of it sends a ``_PeerUpdate``, whose bytes are those of
    builds that have none of this; these ignore the further fields.
    """

    # What waits at the sender, for the nodes of its failure domain.
    backlogs: tuple[BacklogReport, ...] = ()
    # Backend servers that the sender or a peer found slow, as the sender measured them.
    slow_servers: tuple[SlowReport, ...] = ()
    # Places that the sender keeps for callers that it refused.
    kept_places: tuple[KeptPlace, ...] = ()


@attrs.frozen
class _QuarantineUpdate(_QueueingUpdate):
    """
    An update of a node that holds requests in quarantine, or has found new suspects.

    Builds without it ignore the further fields, and read ``suspects``.
    """

    # What ``suspects`` says, with the evidence.
    quarantine_records: tuple[QuarantineRecord, ...] = ()
    # Hash of the requests that the sender holds in quarantine; 0 if there are none.
    quarantine_digest: int = 0

    @property
    def has_facts(self) -> bool:
        """Whether it holds anything but running work."""
        # A record that clears a request isn't among the suspects.
        return bool(self.quarantine_records) or super().has_facts


def _pack(assignment: Assignment, now: float) -> _PackedAssignment:
    return _PackedAssignment(
        assignment.backend_id,
        assignment.prompt_tokens,
        assignment.answer_tokens,
        int(assignment.gap_objective_ms),
        int(1_000 * (assignment.sent_s - now)),
        int(1_000 * (assignment.first_s - now)),
        int(1_000 * (assignment.end_s - now)),
        assignment.first_event_seen,
        assignment.full_prompt_tokens,
        int(1_000 * min(assignment.due_s - now, MAX_DUE_S)),
    )


def _starts_long_prompt(packed: _PackedAssignment) -> bool:
    """Return whether it is a long prompt that was just sent to its engine."""
    return (
        not packed.first_event_seen
        and packed.full_prompt_tokens >= LONG_PROMPT_TOKENS
        and packed.sent_ms > -LONG_PROMPT_NEW_MS
    )


def _unpack(packed: _PackedAssignment, now: float) -> Assignment:
    return Assignment(
        packed.backend_id,
        packed.prompt_tokens,
        packed.answer_tokens,
        packed.gap_objective_ms,
        now + packed.sent_ms / 1_000,
        now + packed.first_ms / 1_000,
        now + packed.end_ms / 1_000,
        packed.first_event_seen,
        packed.full_prompt_tokens,
        now + packed.due_ms / 1_000,
    )


def _entry_for_older_builds(record: QuarantineRecord) -> QuarantineEntry:
    deaths = () if record.quarantined else record.death_hashes
    return QuarantineEntry(record.fingerprint, record.remaining_s, deaths)


@attrs.define(eq=False)
class PeerUpdateTask:
    """
    Sends this node's updates to its peers and records theirs in the node's state.

    :param state: the node's state.
    :param presence: holds the key that signs datagrams.
    :param random: spreads the first updates of nodes that start together.
    """

    _state: RelayState
    _presence: RelayPresenceTask
    _random: random.Random
    _datagrams: BatchedDatagrams | None = None
    _session: int = 0
    _sequence: int = 0
    # The newest session of each peer that sent an update; each start begins another.
    _sessions: dict[str, int] = attrs.field(factory=dict)
    # The newest session of each peer whose updates this build can't read whole.
    _partly_read_sessions: dict[str, int] = attrs.field(factory=dict)
    _domain_timer: asyncio.TimerHandle | None = None
    _all_timer: asyncio.TimerHandle | None = None
    # Number of updates sent to all, and whether the last one held facts.
    _sent_to_all: int = 0
    _has_facts: bool = False
    # Handlers of other kinds of datagrams; they get sender and payload.
    _handlers: dict[int, Callable[[str, bytes], None]] = attrs.field(factory=dict)
    # Gets the sender, its records of the quarantine, and the digest of its table.
    on_quarantine_report: Callable[[str, tuple[QuarantineRecord, ...], int], None] = (
        attrs.field(init=False)
    )
    _quarantine_reports: QuarantineReports = attrs.field(init=False)

    @on_quarantine_report.default
    def _merge_only(self) -> Callable[[str, tuple[QuarantineRecord, ...], int], None]:
        def merge(sender: str, records: Sequence[QuarantineRecord], _: int) -> None:
            now = self._state.clock.monotonic()
            for record in records:
                self._state.quarantine.merge_record(record, now, sender)

        return merge

    @_quarantine_reports.default
    def _make_quarantine_reports(self) -> QuarantineReports:
        return QuarantineReports(self._state.quarantine)

    @property
    def able_to_send(self) -> bool:
        """Whether datagrams can be sent: the key and the socket are there."""
        return self._presence.keys is not None and self._datagrams is not None

    def register_handler(
        self, kind: int, handler: Callable[[str, bytes], None]
    ) -> None:
        """
        Register the handler of a kind of datagram.

        :param kind: number of the kind.
        :param handler: gets the sender's id and the payload; may raise InvalidValue.
        """
        self._handlers[kind] = handler

    def send_to(self, peer: Peer, kind: int, message: object) -> bool:
        """
        Send a datagram to one peer, without acknowledgement.

        :param peer: the recipient.
        :param kind: number of the kind of datagram.
        :param message: an attrs instance, which becomes the payload.
        :returns: False if nothing was sent, as the key or the socket is missing.
        """
        return self.send_to_each((peer,), kind, message)

    def send_to_each(self, peers: Sequence[Peer], kind: int, message: object) -> bool:
        """
        Send the same datagram to several peers, as :meth:`send_to` does to one.

        It is encoded and signed once.
        """
        keys = self._presence.keys
        if keys is None or self._datagrams is None:
            return False
        data = self._sign(kind, codec.pack_compact(message), keys)
        for peer in peers:
            self._transmit(data, peer)
        return True

    async def start(self) -> None:
        """Bind the node's address and start to send updates."""
        host, _, port = self._state.settings.news_listen.rpartition(":")
        # A later start gets a higher number, even if the wall clock is slightly off.
        self._session = int(self._state.clock.wall() * 1_000)
        datagrams = BatchedDatagrams(self.datagram_received, self._read_interval_s)
        datagrams.bind(host, int(port))
        self._datagrams = datagrams
        loop = asyncio.get_running_loop()
        self._all_timer = loop.call_later(
            FIRST_DELAY_S * self._random.random(), self._send_to_all
        )
        quarantine = self._state.quarantine
        quarantine.set_listener(self.notify_all_peers)
        quarantine.set_clearance_listener(
            lambda: self._schedule(PROGRESS_DELAY_S, True)
        )
        self._state.section_quarantine.set_listener(self.notify_all_peers)

    def stop(self) -> None:
        """Send a last update, which reports that nothing runs, and close the socket."""
        self._cancel_timers()
        if self._datagrams is not None:
            update = self._make_update()
            others, intervals = self._state.peers.others, self._next_intervals()
            self._transmit_update(update, others, intervals)
            self._datagrams.close()
            self._datagrams = None

    def notify_work_started(self, all_domains: bool, long_prompt: bool = False) -> None:
        """
        Schedule an update after work has begun.

        :param all_domains: whether nodes of other failure domains need it at once.
        :param long_prompt: whether they need it soon: they use this failure domain's
            engines for long prompts only when their own are taken.
        """
        self._schedule(START_DELAY_S, all_domains)
        if long_prompt and not all_domains:
            self._schedule(PROGRESS_DELAY_S, True)

    def notify_work_progressed(self, all_domains: bool) -> None:
        """
        Schedule an update after work has progressed or ended.

        :param all_domains: whether nodes of other failure domains need it at once;
            otherwise it may wait longer.
        """
        self._schedule(START_DELAY_S if all_domains else PROGRESS_DELAY_S, all_domains)

    def notify_backlog_changed(self) -> None:
        """
        Schedule an update after a request began or ceased to wait.

        Only the nodes of this failure domain need it, and only if a backlog began or
        ended, or if its ranks are other ones than in the last update.
        """
        if self._state.fleet_beliefs.backlog_is_news(self._state.clock.monotonic()):
            self._schedule(START_DELAY_S, False)

    def notify_all_peers(self) -> None:
        """Schedule an update to all peers, about retries, suspects or lost servers."""
        self._schedule(START_DELAY_S, True)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle a peer's datagram: an update, or a kind that has a handler."""
        keys = self._presence.keys
        if keys is None:
            return
        try:
            frame = verify_frame(data, EVERY_PEER, keys)
            if frame.kind in self._handlers:
                self._handlers[frame.kind](frame.sender, frame.payload)
                return
            if frame.kind != NEWS_KIND:
                self._log_left_out(frame, (f"datagrams of kind {frame.kind}",))
                return
            update, left_out = codec.unpack_compact_leniently(
                frame.payload, _QuarantineUpdate
            )
        except (FrameRejected, codec.InvalidValue) as error:
            log(
                LogEvent.PEER_MESSAGE_DROPPED,
                sender=f"{address[0]}:{address[1]}",
                reason=str(error),
            )
            return
        if left_out:
            self._log_left_out(frame, left_out)
        now = self._state.clock.monotonic()
        valid_s = self._valid_s(frame.sender, update)
        newest = self._state.assignments.update_peer(
            frame.sender,
            (frame.session, frame.sequence),
            (_unpack(packed, now) for packed in update.assignments),
            now,
            valid_s,
        )
        if newest:
            self._merge_beliefs(frame.sender, update, now)
        long_starts = {
            packed.backend_id
            for packed in update.assignments
            if _starts_long_prompt(packed)
        }
        if long_starts and self._state.on_long_prefill is not None:
            self._state.on_long_prefill(long_starts)
        self._state.record_peer_retries(frame.sender, update.retries, valid_s)
        self._state.record_peer_reach(frame.sender, update.unreachable_services)
        self.on_quarantine_report(
            frame.sender,
            update.quarantine_records
            or tuple(map(QuarantineEntry.as_record, update.suspects)),
            update.quarantine_digest,
        )
        self._state.rate_limits.merge(update.limited_sends, now)
        self._merge_section_evidence(frame, update, now)
        for backend_id in update.gone:
            self._state.record_gone_report(frame.sender, backend_id)
        self._state.notify_changed()

    def _valid_s(self, sender: str, update: _PeerUpdate) -> float:
        """Return how long an update is valid here, in seconds."""
        peer = self._state.peers.get(sender)
        if peer is None or peer.failure_domain == self._state.settings.failure_domain:
            # Within a failure domain, updates are repeated as in a small fleet.
            return PEER_TIMEOUT_S
        return min(MAX_VALID_S, update.valid_ms / 1_000)

    def _log_left_out(self, frame: Frame, left_out: tuple[str, ...]) -> None:
        """Log once for each start of a peer what this build can't read."""
        if self._partly_read_sessions.get(frame.sender) == frame.session:
            return
        self._partly_read_sessions[frame.sender] = frame.session
        log(
            LogEvent.PEER_MESSAGE_PARTLY_READ,
            sender=frame.sender,
            left_out=list(left_out[:MAX_LOGGED_PROBLEMS]),
        )

    def _merge_beliefs(self, sender: str, update: _QueueingUpdate, now: float) -> None:
        peer = self._state.peers.get(sender)
        own_domain = self._state.settings.failure_domain
        near = peer is not None and peer.failure_domain == own_domain
        # What waits in another failure domain, or can't be sent from where it waits,
        # takes no place here.
        backlogs = (
            report
            for report in update.backlogs
            if near and report.service not in update.unreachable_services
        )
        self._state.fleet_beliefs.merge(
            sender, backlogs, update.slow_servers, update.kept_places, now
        )

    def _merge_section_evidence(
        self, frame: Frame, update: _PeerUpdate, now: float
    ) -> None:
        sections = self._state.section_quarantine
        sections.merge_starts(update.started_sections, now)
        if update.section_reports:
            sections.merge_reports(update.section_reports, self._nodes(now), now)
        if self._sessions.get(frame.sender) != frame.session:
            self._sessions[frame.sender] = frame.session
            # A node that has just started knows no evidence yet.
            if sections.repeat_soon(self._nodes(now), now):
                self.notify_all_peers()

    def _read_interval_s(self) -> float:
        nodes = len(self._state.peers.others) + 1
        return read_interval_s(nodes, bool(self._state.rate_limits))

    def _schedule(self, delay_s: float, all_domains: bool) -> None:
        loop = asyncio.get_running_loop()
        when_s = loop.time() + delay_s
        # In a small fleet every update goes to all peers. In a larger one, short work
        # on engines of the node's own failure domain is reported to its nodes first.
        if all_domains or len(self._state.peers.others) < SMALL_FLEET_NODES:
            if self._all_timer is None or self._all_timer.when() > when_s:
                if self._all_timer is not None:
                    self._all_timer.cancel()
                self._all_timer = loop.call_later(delay_s, self._send_to_all)
            return
        if self._domain_timer is None or self._domain_timer.when() > when_s:
            if self._domain_timer is not None:
                self._domain_timer.cancel()
            self._domain_timer = loop.call_later(delay_s, self._send_to_domain)

    def _cancel_timers(self) -> None:
        for timer in (self._domain_timer, self._all_timer):
            if timer is not None:
                timer.cancel()
        self._domain_timer = self._all_timer = None

    def _next_intervals(self) -> UpdateIntervals:
        beliefs = self._state.fleet_beliefs
        intervals = repeat_intervals(
            len(self._state.peers.others) + 1,
            bool(self._state.assignments.own) or beliefs.has_backlog,
            self._has_facts,
            self._sent_to_all,
        )
        if not beliefs.repeat_soon:
            return intervals
        return attrs.evolve(intervals, near_s=PROGRESS_DELAY_S)

    def _send_to_domain(self) -> None:
        self._domain_timer = None
        update = self._make_update()
        if update is not None and update.has_facts:
            # Parts that are sent a limited number of times would miss the other nodes.
            self._send_to_all(update)
            return
        intervals = self._next_intervals()
        own_domain = self._state.settings.failure_domain
        others = self._state.peers.others
        near = [p for p in others if p.failure_domain == own_domain]
        self._transmit_update(update, near, intervals)
        loop = asyncio.get_running_loop()
        self._domain_timer = loop.call_later(intervals.near_s, self._send_to_domain)

    def _send_to_all(self, update: _PeerUpdate | None = None) -> None:
        self._cancel_timers()
        update = update or self._make_update()
        if update is not None:
            self._has_facts = update.has_facts
            self._sent_to_all += 1
        intervals = self._next_intervals()
        self._transmit_update(update, self._state.peers.others, intervals)
        loop = asyncio.get_running_loop()
        self._all_timer = loop.call_later(intervals.far_s, self._send_to_all)
        if intervals.near_s < intervals.far_s:
            self._domain_timer = loop.call_later(intervals.near_s, self._send_to_domain)
        if self._quarantine_reports.has_unsent:
            self._schedule(START_DELAY_S, True)

    def _make_update(self) -> _PeerUpdate | None:
        """Return the update to send now; None while none can be sent."""
        if (
            self._presence.keys is None
            or self._datagrams is None
            or not self._state.peers.others
        ):
            return None
        now = self._state.clock.monotonic()
        records = self._quarantine_reports.take(now)
        update = _PeerUpdate(
            tuple(_pack(a, now) for a in self._state.assignments.own[:MAX_ASSIGNMENTS]),
            tuple(_entry_for_older_builds(r) for r in records if not r.cleared),
            self._state.used_retry_extra(),
            self._state.backends.gone_backends(now)[:MAX_GONE],
            self._state.section_quarantine.take_starts(now),
            self._state.section_quarantine.take_reports(self._nodes(now), now),
            self._state.rate_limits.reports(now),
            self._state.unreachable_services(),
        )
        beliefs = self._state.fleet_beliefs
        backlogs, slow_servers = beliefs.take_backlogs(now), beliefs.slow_reports(now)
        kept_places = beliefs.kept_places.reports(now)
        digest = self._state.quarantine.digest(now)
        if records or digest or backlogs or slow_servers or kept_places:
            update = _QueueingUpdate(
                **attrs.asdict(update, recurse=False),
                backlogs=backlogs,
                slow_servers=slow_servers,
                kept_places=kept_places,
            )
        if records or digest:
            update = _QuarantineUpdate(
                **attrs.asdict(update, recurse=False),
                quarantine_records=records,
                quarantine_digest=digest,
            )
        return update

    def _transmit_update(
        self,
        update: _PeerUpdate | None,
        peers: Sequence[Peer],
        intervals: UpdateIntervals,
    ) -> None:
        if update is None or not peers:
            return
        update = attrs.evolve(update, valid_ms=int(1_000 * intervals.valid_s))
        payload = codec.pack_compact(update)
        data = self._sign(NEWS_KIND, payload, self._presence.keys)
        for peer in peers:
            self._transmit(data, peer)

    def _nodes(self, now: float) -> tuple[str, ...]:
        return self._state.peers.possible_senders(now)

    def _sign(self, kind: int, payload: bytes, keys: KeyRing) -> bytes:
        self._sequence += 1
        frame = Frame(
            sender=self._state.settings.node_id,
            session=self._session,
            to_session=0,
            sequence=self._sequence,
            kind=kind,
            payload=payload,
        )
        return sign_frame(frame, EVERY_PEER, keys)

    def _transmit(self, data: bytes, peer: Peer) -> None:
        host, _, port = peer.news_address.rpartition(":")
        self._datagrams.send(data, (host, int(port)))
