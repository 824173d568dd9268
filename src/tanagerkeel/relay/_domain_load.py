"""
The load of other failure domains' engines, as one node of each domain reports it.

Load pattern: 129 nodes in 3 failure domains whose demand rises and falls at different
times. A node hears the nodes of another failure domain every 6.5 s, and short requests
take 1.6 s, so that engines there look empty whether they are or not. A summary of the
domain's engines every 0.3 s tells which of them have room.

A summary counts the requests on each engine. At the receiving node, the requests that
it knows there are completed by placeholders up to that number.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from tanagerkeel.relay._assignments import Assignment
from tanagerkeel.relay._configuration import EngineProfile
from tanagerkeel.relay._estimate import prefills_of
from tanagerkeel.relay._pass_model import PAIRS_PER_MILLION, prefill_ms

__all__ = ["MAX_ENGINES", "DomainLoad", "DomainLoads", "EngineLoad", "engine_loads"]

# Maximum number of engines in a summary: a failure domain of the largest fleet has 42.
MAX_ENGINES = 64
# Limit of the length of an engine's id in a summary, in bytes. The largest summary then
# has 4.7 KB; one of 64 engines whose ids have 12 bytes has 1.2 KB.
MAX_ID_BYTES = 64
# Upper bounds of what a summary says of one engine.
MAX_REQUESTS = 1_000
MAX_PREFILL_MS = 60_000
# Upper bound of the time for which a summary is valid, in seconds.
MAX_VALID_S = 5.0
# A request that was sent later than this before a summary was made may be missing in
# it, in seconds: the update about it is sent after 2 ms, and is read within 30 ms.
UNREPORTED_S = 0.1
# Difference between known and reported prefill that counts, in milliseconds; estimates
# of the same prefill at two nodes differ by less.
MIN_EXCESS_MS = 20.0
# Upper bound of how much faster one node's clock runs than another's.
CLOCK_DRIFT = 0.001

# Id of an engine, number of requests there, and milliseconds of prefill left.
EngineLoad = tuple[str, int, int]


@attrs.frozen
class DomainLoad:
    """
    A summary of the load of a failure domain's engines, as sent to other nodes.

    Builds that don't know this kind of datagram read it as an update of running work.
    They drop it because the first field is no list of assignments; it must stay an
    integer.

    :param session: when the sender started; grows with each start.
    :param sent_ms: time since that start, in milliseconds; grows with each summary.
    :param heard: number of nodes of the failure domain whose work is counted.
    :param valid_ms: how long the summary is valid, in milliseconds.
    :param rest: upper bound of the requests on each engine that isn't listed.
    :param backend_ids: the engines, those with the most requests first.
    :param requests: number of requests on each of them.
    :param prefill_ms: prefill that is left on each of them, in milliseconds.
    """

    session: int
    sent_ms: int
    heard: int
    valid_ms: int
    rest: int = 0
    backend_ids: tuple[str, ...] = ()
    requests: tuple[int, ...] = ()
    prefill_ms: tuple[int, ...] = ()

    @classmethod
    def of(
        cls,
        loads: Iterable[EngineLoad],
        session: int,
        sent_ms: int,
        heard: int,
        valid_ms: int,
    ) -> "DomainLoad":
        """
        Return the summary of engines, of which the least loaded may be left out.

        :param loads: the engines with requests.
        """
        ordered = sorted(loads, key=lambda load: (-load[1], -load[2], load[0]))
        short = [load for load in ordered if len(load[0].encode()) <= MAX_ID_BYTES]
        listed = short[:MAX_ENGINES]
        left_out = set(ordered).difference(listed)
        return cls(
            session,
            sent_ms,
            heard,
            valid_ms,
            min(MAX_REQUESTS, max((count for _, count, _ in left_out), default=0)),
            tuple(backend_id for backend_id, _, _ in listed),
            tuple(min(MAX_REQUESTS, count) for _, count, _ in listed),
            tuple(min(MAX_PREFILL_MS, left_ms) for _, _, left_ms in listed),
        )

    @property
    def without_engines(self) -> "DomainLoad":
        """The same for nodes of the failure domain, which only need to hear it."""
        return attrs.evolve(self, backend_ids=(), requests=(), prefill_ms=())

    @property
    def within_bounds(self) -> bool:
        """Whether a node of this build could have made it."""
        engines = len(self.backend_ids)
        return (
            engines <= MAX_ENGINES
            and len(self.requests) == len(self.prefill_ms) == engines
            and all(0 <= count <= MAX_REQUESTS for count in (*self.requests, self.rest))
            and all(0 <= left_ms <= MAX_PREFILL_MS for left_ms in self.prefill_ms)
            and 0 < self.valid_ms <= 1_000 * MAX_VALID_S
        )

    def same_load(self, other: "DomainLoad | None") -> bool:
        """Return whether it says the same of all engines as another summary."""
        return (
            other is not None
            and self.backend_ids == other.backend_ids
            and self.requests == other.requests
            and self.prefill_ms == other.prefill_ms
            and self.rest == other.rest
        )


def engine_loads(
    engines: Iterable[tuple[str, EngineProfile]],
    assignments: Mapping[str, Sequence[Assignment]],
    now: float,
) -> tuple[EngineLoad, ...]:
    """
    Return the load of the engines to which anything is assigned.

    :param engines: id and profile of each engine.
    :param assignments: what is assigned to each engine, by all nodes, by its id.
    :param now: monotonic time, in seconds.
    """
    return tuple(
        (backend_id, len(found), math.ceil(_prefill_left_ms(found, profile, now)))
        for backend_id, profile in engines
        if (found := assignments.get(backend_id))
    )


def _prefill_left_ms(
    assignments: Sequence[Assignment], profile: EngineProfile, now: float
) -> float:
    return sum(
        prefill_ms(profile, p.tokens_left, p.prompt_tokens - p.tokens_left)
        for p in prefills_of(assignments, now)
    )


def _tokens_of(left_ms: float, profile: EngineProfile) -> int:
    """Return the length of a prompt whose prefill takes this time."""
    per_token_ms = (
        1.0 / profile.prefill_tokens_per_ms + profile.step_ms / profile.chunk_tokens
    )
    per_square_ms = profile.ms_per_million_pairs / (2 * PAIRS_PER_MILLION)
    if per_square_ms * left_ms < 1e-9:
        return int(left_ms / per_token_ms)
    root = math.sqrt(per_token_ms**2 + 4 * per_square_ms * left_ms)
    return int((root - per_token_ms) / (2 * per_square_ms))


@attrs.define(eq=False)
class _HeldLoad:
    """
    The newest summary of one failure domain.

    :param sender: the node that sent it.
    :param load: the summary.
    :param made_s: latest time at which it can have been made; monotonic, in seconds.
    """

    sender: str
    load: DomainLoad
    made_s: float
    # Made for the first placement that looks at another failure domain: most summaries
    # are replaced before.
    _by_id: dict[str, tuple[int, int]] | None = None
    # A placeholder is the same for all engines of a service, by its mean lengths.
    _placeholders: dict[tuple[int, int], Assignment] = attrs.field(factory=dict)

    @property
    def end_s(self) -> float:
        """When it is no longer valid; monotonic, in seconds."""
        return self.made_s + self.load.valid_ms / 1_000

    def reported(self, backend_id: str) -> tuple[int, int]:
        """Return the requests on an engine, and the milliseconds of prefill left."""
        if self._by_id is None:
            values = zip(self.load.requests, self.load.prefill_ms, strict=True)
            self._by_id = dict(zip(self.load.backend_ids, values, strict=True))
        return self._by_id.get(backend_id, (self.load.rest, 0))

    def placeholder(self, profile: EngineProfile) -> Assignment:
        """Return a request of mean length that is decoded."""
        lengths = (profile.mean_prompt_tokens, profile.mean_answer_tokens)
        if lengths not in self._placeholders:
            self._placeholders[lengths] = Assignment(
                "", *lengths, 0.0, self.made_s, self.made_s, self.end_s, True
            )
        return self._placeholders[lengths]

    def prefilling(self, left_ms: float, profile: EngineProfile) -> Assignment:
        """Return a request whose prefill takes this time from the summary on."""
        first_s = self.made_s + left_ms / 1_000
        return Assignment(
            "",
            _tokens_of(left_ms, profile),
            profile.mean_answer_tokens,
            0.0,
            self.made_s,
            first_s,
            max(first_s, self.end_s),
        )


@attrs.frozen
class _Newest:
    """
    The newest summary of one sender.

    :param session: when the sender started.
    :param sent_ms: time since its start, in milliseconds.
    :param received_s: when it arrived; monotonic, in seconds.
    :param offset_s: this node's time less the sender's, for the fastest datagram.
    """

    session: int
    sent_ms: int
    received_s: float
    offset_s: float


@attrs.define
class DomainLoads:
    """What summaries say of the engines of other failure domains."""

    _held: dict[str, _HeldLoad] = attrs.field(factory=dict)
    _newest: dict[str, _Newest] = attrs.field(factory=dict)

    def merge(self, sender: str, domain: str, load: DomainLoad, now: float) -> bool:
        """
        Hold a summary, unless it is repeated, outdated or not the best one.

        Two nodes may send for a failure domain, as when one of them hears only some of
        its nodes. The summary that counts the work of more nodes is then held.

        :param sender: the node that sent it.
        :param domain: the node's failure domain.
        :param load: the summary.
        :param now: monotonic time, in seconds.
        :returns: whether it is held.
        """
        delay_s = self.take(sender, load, now)
        if delay_s is None:
            return False
        new = _HeldLoad(sender, load, now - delay_s)
        held = self._held.get(domain)
        if held is not None and held.sender != sender and now < held.end_s:
            worse = load.heard < held.load.heard
            if worse or new.made_s < held.made_s:
                return False
        self._held[domain] = new
        return True

    def take(self, sender: str, load: DomainLoad, now: float) -> float | None:
        """
        Record that a summary arrived, and return its delay beyond the least.

        The delay is in seconds, and None if the summary is repeated or outdated.
        """
        newest = self._newest.get(sender)
        offset_s = fastest_s = now - load.sent_ms / 1_000
        if newest is not None:
            if (load.session, load.sent_ms) <= (newest.session, newest.sent_ms):
                return None
            if load.session == newest.session:
                drift_s = CLOCK_DRIFT * (now - newest.received_s)
                fastest_s = min(offset_s, newest.offset_s + drift_s)
        self._newest[sender] = _Newest(load.session, load.sent_ms, now, fastest_s)
        return offset_s - fastest_s

    def remove_sender(self, sender: str) -> None:
        """
        Forget which summaries of a node that is gone were received.

        Its newest one stays until it expires or is replaced.
        """
        self._newest.pop(sender, None)

    def age_s(self, domain: str, now: float) -> float | None:
        """Return the age of a domain's summary, in seconds; None if none is valid."""
        held = self._held.get(domain)
        if held is None or now >= held.end_s:
            return None
        return max(0.0, now - held.made_s)

    def complete(
        self,
        domain: str,
        backend_id: str,
        known: Sequence[Assignment],
        profile: EngineProfile,
        now: float,
    ) -> Sequence[Assignment]:
        """
        Return what is assigned to an engine, with placeholders for unknown requests.

        :param domain: the engine's failure domain.
        :param backend_id: the engine.
        :param known: what this node knows to be assigned to it.
        :param profile: the engine's profile.
        :param now: monotonic time, in seconds.
        """
        if self.age_s(domain, now) is None:
            return known
        held = self._held[domain]
        requests, left_ms = held.reported(backend_id)
        # What was sent later is not in the summary, and adds to it.
        before_s = held.made_s - UNREPORTED_S
        counted = [a for a in known if a.sent_s <= before_s]
        missing = max(0, requests - len(counted))
        excess_ms = float(left_ms)
        if left_ms >= MIN_EXCESS_MS:
            excess_ms -= _prefill_left_ms(counted, profile, held.made_s)
        if excess_ms < MIN_EXCESS_MS:
            return (
                [*known, *[held.placeholder(profile)] * missing] if missing else known
            )
        decoding = [held.placeholder(profile)] * max(0, missing - 1)
        return [*known, *decoding, held.prefilling(excess_ms, profile)]
