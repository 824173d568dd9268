"""What a node believes of the backend servers, from the platform and from its sends."""

import enum
from collections.abc import Iterable, Iterator

import attrs

from tanagerkeel.relay._reach import DomainReach

__all__ = ["BackendServer", "BackendTable", "Belief", "Mishap", "ServerState"]

# Entries that lapsed in an outage are back about two seconds after its end (pages of
# the platform); one that is still missing then is gone.
REAPPEAR_S = 2.0
# First pause after a backend server could not be reached, in seconds; doubled with
# each further failure in a row up to the longest. A crashed one is back in seconds.
SHUN_S = 0.5
LONGEST_SHUN_S = 4.0
# Weight of the newest outcome in the moving share of failures.
OUTCOME_WEIGHT = 0.2
# Seconds in which an old share of failures halves while nothing is sent.
FAILURE_HALF_LIFE_S = 4.0
# Weight of the newest measurement in the moving pace.
PACE_WEIGHT = 0.25
# A pace this far above that of its peers makes a backend server slow.
MAX_PACE = 20.0
# How long a peer's word that nothing listens at an address holds, in seconds, unless
# this node has had an answer from there in the same time.
TOLD_S = 1.0


class ServerState(enum.StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class Mishap(enum.Enum):
    """How a send to a backend server failed."""

    UNREACHABLE = "no connection came up"
    BROKEN = "the connection broke"
    SILENT = "nothing arrived in time"
    WRONG_ANSWER = "the answer is not its own or not valid"
    ERROR = "it answered with an error of its own"
    SHED = "it had no room"
    MISDIRECTED = "another backend server has its address"


@attrs.frozen
class BackendServer:
    """
    One life of a backend server, as it registered itself.

    :param backend_id: the id under which it registered.
    :param born_ms: time of its start; with the id it names one life.
    :param service: the service that it carries.
    :param address: its ``IP:PORT``.
    :param failure_domain: its failure domain.
    :param slots: requests that it runs at once.
    :param state: whether it takes new work.
    :param cold_ms: how long it was still cold when this was written, in milliseconds.
    """

    backend_id: str
    born_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    state: ServerState = ServerState.READY
    cold_ms: int = 0

    def same_life(self, other: "BackendServer") -> bool:
        """Return whether ``other`` is the same backend server, not started again."""
        return (self.backend_id, self.born_ms, self.address) == (
            other.backend_id,
            other.born_ms,
            other.address,
        )


@attrs.define
class Belief:
    """
    What this node knows of one backend server; times are monotonic, in seconds.

    :param server: its newest entry.
    :param revision: the platform's revision of that entry.
    :param seen_s: when the entry arrived.
    :param cold_until_s: until when it is cold.
    :param missing_s: since when its entry is missing; None while it is there.
    :param shunned_until_s: until when it gets nothing because it failed.
    :param failures: failures in a row.
    :param failure_share: moving share of sends that failed.
    :param outcome_s: when the last send ended.
    :param success_s: when the last send went well.
    :param heard_s: when it last answered anything.
    :param lost_s: when a send last found it unreachable or silent.
    :param refused_s: when nothing listened at its address, or another one did.
    :param pace: moving ratio of measured to expected time; 1 is as expected.
    """

    server: BackendServer
    revision: int
    seen_s: float
    cold_until_s: float = 0.0
    missing_s: float | None = None
    shunned_until_s: float = 0.0
    failures: int = 0
    failure_share: float = 0.0
    outcome_s: float = 0.0
    success_s: float = float("-inf")
    heard_s: float = float("-inf")
    lost_s: float = float("-inf")
    refused_s: float = float("-inf")
    pace: float = 1.0

    def cold(self, now: float) -> bool:
        """Return whether it bears only a little work."""
        return now < self.cold_until_s

    def failing(self, now: float) -> float:
        """Return its share of failures, less the longer ago they were."""
        age_s = max(0.0, now - self.outcome_s)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)


@attrs.define
class BackendTable:
    """
    The backend servers of all services; decides which may get new work.

    It follows the platform's entries. While the platform is away, and until entries
    had time to come back after it, an entry that vanished is kept: its backend
    server may well live. All else that vanishes is gone at once.
    """

    _beliefs: dict[str, Belief] = attrs.field(factory=dict)
    _domains_out: set[str] = attrs.field(factory=set)
    _reach: DomainReach = attrs.field(factory=DomainReach)
    _away: bool = False
    _back_s: float = float("-inf")

    def __len__(self) -> int:
        return len(self._beliefs)

    @property
    def domains_out(self) -> frozenset[str]:
        """Failure domains whose backend servers get nothing."""
        return frozenset(self._domains_out)

    def get(self, backend_id: str) -> Belief | None:
        """Return what is known of a backend server."""
        return self._beliefs.get(backend_id)

    def at(self, address: str) -> BackendServer | None:
        """Return the backend server that is registered at an address."""
        servers = (belief.server for belief in self._beliefs.values())
        return next((s for s in servers if s.address == address), None)

    def __iter__(self) -> Iterator[Belief]:
        return iter(self._beliefs.values())

    @property
    def store_away(self) -> bool:
        """Whether the platform doesn't answer."""
        return self._away

    def store_lost(self) -> None:
        """Take in that the platform doesn't answer."""
        self._away = True

    def store_back(self, now: float) -> None:
        """Take in that the platform answers again."""
        if self._away:
            self._away = False
            self._back_s = now

    def put(self, server: BackendServer, revision: int, now: float) -> bool:
        """
        Take in an entry; return whether it changed anything.

        :param server: the entry.
        :param revision: the platform's revision of it; an older one is ignored.
        """
        known = self._beliefs.get(server.backend_id)
        if known is None or not known.server.same_life(server):
            if known is not None and revision < known.revision:
                return False
            belief = Belief(server, revision, now)
            belief.cold_until_s = now + server.cold_ms / 1_000
            self._beliefs[server.backend_id] = belief
            return True
        known.missing_s = None
        if revision <= known.revision:
            return False
        known.revision = revision
        known.seen_s = now
        # The time left only shrinks, unless it turned cold again.
        known.cold_until_s = max(known.cold_until_s, now + server.cold_ms / 1_000)
        changed = known.server != server
        known.server = server
        return changed

    def remove(self, backend_id: str, now: float) -> bool:
        """Take in that an entry vanished; return whether the backend server is gone."""
        known = self._beliefs.get(backend_id)
        if known is None:
            return False
        if self._may_reappear(now) and known.server.state is ServerState.READY:
            known.missing_s = now if known.missing_s is None else known.missing_s
            return False
        del self._beliefs[backend_id]
        return True

    def keep_only(self, backend_ids: Iterable[str], now: float) -> tuple[str, ...]:
        """Take in which entries there are in all; return which are gone."""
        there = set(backend_ids)
        missing = [name for name in self._beliefs if name not in there]
        return tuple(name for name in missing if self.remove(name, now))

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop what stayed missing after an outage; return what was dropped."""
        if self._may_reappear(now):
            return ()
        gone = tuple(n for n, b in self._beliefs.items() if b.missing_s is not None)
        for name in gone:
            del self._beliefs[name]
        return gone

    def take_domain_out(self, domain: str) -> None:
        """Send nothing more to a failure domain."""
        self._domains_out.add(domain)

    def take_domain_in(self, domain: str, cold_until_s: float) -> None:
        """Use a failure domain again; its backend servers may have become cold."""
        if domain not in self._domains_out:
            return
        self._domains_out.discard(domain)
        for belief in self._beliefs.values():
            if belief.server.failure_domain == domain:
                belief.cold_until_s = max(belief.cold_until_s, cold_until_s)

    def usable(self, service: str, now: float) -> Iterator[Belief]:
        """Yield the backend servers of a service that new work may go to."""
        may_reappear = self._may_reappear(now)
        return (
            belief
            for belief in self._beliefs.values()
            if belief.server.service == service
            and belief.server.state is ServerState.READY
            and belief.server.failure_domain not in self._domains_out
            and (belief.missing_s is None or may_reappear)
        )

    def failed(self, server: BackendServer, mishap: Mishap, now: float) -> None:
        """Take in that a send failed."""
        belief = self._beliefs.get(server.backend_id)
        if belief is None or not belief.server.same_life(server):
            return
        self._count(belief, 1.0, now)
        match mishap:
            case Mishap.UNREACHABLE | Mishap.SILENT:
                belief.failures += 1
                belief.lost_s = now
                if mishap is Mishap.UNREACHABLE:
                    # Silence on a connection may just be a long queue.
                    self._reach.lost(server.failure_domain, server.backend_id, now)
                pause_s = min(LONGEST_SHUN_S, SHUN_S * 2 ** (belief.failures - 1))
                belief.shunned_until_s = now + pause_s
            case Mishap.MISDIRECTED:
                # Another one has its address: the entry names nothing any more.
                belief.shunned_until_s = float("inf")
                belief.refused_s = now
            case Mishap.ERROR | Mishap.SHED:
                belief.failures += 1
                self._hear(belief, now)
            case Mishap.BROKEN | Mishap.WRONG_ANSWER:
                belief.failures += 1

    def succeeded(
        self, server: BackendServer, now: float, pace: float | None = None
    ) -> None:
        """
        Take in that a send went well.

        :param pace: measured over expected time to the first event; None if unknown.
        """
        belief = self._beliefs.get(server.backend_id)
        if belief is None or not belief.server.same_life(server):
            return
        self._count(belief, 0.0, now)
        belief.failures = 0
        belief.success_s = now
        self._hear(belief, now)
        belief.shunned_until_s = min(belief.shunned_until_s, now)
        if pace is not None:
            sample = min(MAX_PACE, max(1.0 / MAX_PACE, pace))
            belief.pace += PACE_WEIGHT * (sample - belief.pace)

    def out_of_reach(self, service: str, now: float) -> bool:
        """
        Return whether none of a service's backend servers can be reached from here.

        So it is when the last word of each usable one is a failure to reach it, or
        its whole failure domain is cut off.
        """
        usable = list(self.usable(service, now))
        return bool(usable) and all(
            b.lost_s > b.heard_s or self._reach.cut_off(b.server.failure_domain, now)
            for b in usable
        )

    def domain_suspected(self, domain: str, now: float) -> bool:
        """Return whether new work should avoid a failure domain that may be cut off."""
        return self._reach.suspected(domain, now)

    def domain_cut_off(self, domain: str, now: float) -> bool:
        """Return whether a failure domain can't be reached from here."""
        return self._reach.cut_off(domain, now)

    def domain_losses(self, domain: str, now: float) -> int:
        """Return how many backend servers were lost since a domain was last heard."""
        return self._reach.losses(domain, now)

    def in_domain(self, domain: str) -> Iterator[Belief]:
        """Yield the backend servers of a failure domain that are ready."""
        return (
            belief
            for belief in self._beliefs.values()
            if belief.server.failure_domain == domain
            and belief.server.state is ServerState.READY
            and belief.missing_s is None
        )

    def heard(self, server: BackendServer, now: float) -> None:
        """Take in that bytes arrived from a backend server."""
        belief = self._beliefs.get(server.backend_id)
        if belief is not None and belief.server.same_life(server):
            self._hear(belief, now)

    def reached(self, server: BackendServer, now: float) -> None:
        """Take in that a connection to a backend server came up."""
        belief = self._beliefs.get(server.backend_id)
        if belief is not None and belief.server.same_life(server):
            self._hear(belief, now)
            belief.failures = 0
            belief.shunned_until_s = min(belief.shunned_until_s, now)

    def refused(self, server: BackendServer, now: float) -> None:
        """Take in that nothing listens at a backend server's address."""
        belief = self._beliefs.get(server.backend_id)
        if belief is not None and belief.server.same_life(server):
            belief.refused_s = now

    def refusing(self, now: float) -> tuple[str, ...]:
        """
        Return the backend servers that this node just found gone.

        Connections over a cut are refused as those to a crashed process are.
        """
        return tuple(
            name
            for name, b in self._beliefs.items()
            if now - b.refused_s <= TOLD_S
            and not self._reach.suspected(b.server.failure_domain, now)
        )

    def told_gone(self, backend_id: str, now: float) -> None:
        """Take in a peer's word that nothing listens at an address."""
        belief = self._beliefs.get(backend_id)
        if belief is not None and now - belief.success_s > TOLD_S:
            belief.shunned_until_s = max(belief.shunned_until_s, now + TOLD_S)

    def turned_cold(self, server: BackendServer, until_s: float) -> None:
        """Take in a backend server's word that it is cold."""
        belief = self._beliefs.get(server.backend_id)
        if belief is not None and belief.server.same_life(server):
            belief.cold_until_s = max(belief.cold_until_s, until_s)

    def _may_reappear(self, now: float) -> bool:
        return self._away or now < self._back_s + REAPPEAR_S

    def _hear(self, belief: Belief, now: float) -> None:
        belief.heard_s = now
        self._reach.heard(belief.server.failure_domain)

    def _count(self, belief: Belief, failed: float, now: float) -> None:
        share = belief.failing(now)
        belief.failure_share = share + OUTCOME_WEIGHT * (failed - share)
        belief.outcome_s = now
