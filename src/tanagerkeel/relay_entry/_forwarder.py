"""Forwards requests to peers while this node reaches no backend server itself."""

import collections
import contextlib
import random

import attrs

from tanagerkeel import codec
from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import (
    BackendConnection,
    ConnectError,
    ConnectionPool,
    RawHead,
)
from tanagerkeel.gateways.problems import Problem
from tanagerkeel.gateways.request_signature import SIGNATURE_HEADER, ForwardSigner
from tanagerkeel.relay import (
    PeerCandidate,
    ReplyHead,
    choose_peer,
    parse_retry_after,
)
from tanagerkeel.relay_entry._forward_messages import (
    BACKEND_HEADER,
    FORWARD_PATH,
    LENGTH_HEADER,
    OWN_RESPONSE_HEADER,
    ForwardedRequest,
    decode_backend,
)
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    ErrorReply,
    NotSent,
    RefusedByPeer,
    ReplyLost,
)
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._protocols import BackendCodec
from tanagerkeel.relay_entry._response import ResponseRelay
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Forwarder"]

# How many peers one request is forwarded to at most, one after the other.
MAX_PEERS = 3
# Longest idle time of a connection to a peer that may be used, in seconds. A request
# that may run only once gets a new connection, as for backend servers.
REUSE_IDLE_S = 2.0
NO_REUSE_S = 0.0
STATUS_CONFLICT = 409
STATUS_FORBIDDEN = 403
# Codes by which a peer says that another one may be able to serve the request.
TRY_ANOTHER_CODES = frozenset(
    (
        ResultCode.NO_BACKEND,
        ResultCode.NO_CONFIGURATION,
        ResultCode.STOPPING,
        ResultCode.FORWARD_REFUSED,
        # The peer has another version of the configuration than this node.
        ResultCode.NOT_FOUND,
        ResultCode.UNAUTHENTICATED,
    )
)


@attrs.define
class Forwarder:
    """
    Forwards requests to peers and their responses to the callers.

    A peer serves a forwarded request as one of its own callers', and doesn't forward it
    again. Retries are up to it, so that this node only makes another attempt if the
    connection between the two is lost.

    :param state: the peers, their load, and what they reach.
    :param pool: connections to peers.
    :param codec: decodes the heads of responses.
    :param signer: signs the requests.
    :param metrics: counters and histograms.
    :param random: chooses between peers of similar load.
    """

    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _signer: ForwardSigner
    _metrics: RelayMetrics
    _random: random.Random
    # Requests that each peer runs for this node.
    _open: "collections.Counter[str]" = attrs.field(factory=collections.Counter)

    async def forward(self, run: RelayRun) -> AttemptOutcome | None:
        """
        Forward a request and return how that ended; None if no peer can take it.

        :raises TimeoutError: when the request's deadline has passed.
        """
        tried: set[str] = set()
        outcome = None
        while len(tried) < MAX_PEERS:
            peer = self._choose(run.admitted.service.name, tried)
            if peer is None:
                break
            tried.add(peer.node_id)
            outcome = await self._send(run, peer)
            match outcome:
                case NotSent() | RefusedByPeer(try_another=True):
                    continue
                case _:
                    break
        return outcome

    def _choose(self, service: str, tried: set[str]) -> Peer | None:
        now = self._state.clock.monotonic()
        own_domain = self._state.settings.failure_domain
        peers = {
            peer.node_id: peer
            for peer in self._state.peers_that_reach(service)
            if peer.node_id not in tried
        }
        chosen = choose_peer(
            (
                PeerCandidate(
                    node_id=peer.node_id,
                    same_domain=peer.failure_domain == own_domain,
                    running=self._state.assignments.running_at(peer.node_id, now),
                    forwarded=self._open[peer.node_id],
                )
                for peer in peers.values()
            ),
            self._random,
        )
        return None if chosen is None else peers[chosen.node_id]

    async def _send(self, run: RelayRun, peer: Peer) -> AttemptOutcome:
        now = self._state.clock.monotonic()
        may_have_run_before = run.may_have_run
        forwarded = ForwardedRequest(
            attrs.evolve(
                run.request, resume_after=run.last_event_id or run.request.resume_after
            ),
            run.body,
            elapsed_ms=int(1_000 * (now - run.request.arrived_s)),
            sends=run.sends,
        )
        log(
            LogEvent.RELAY_FORWARDED,
            request=run.request.request_id,
            peer=peer.node_id,
            domain=peer.failure_domain,
            after=run.last_event_id,
            sends=run.sends,
        )
        run.sends += 1
        run.may_have_run = True
        self._open[peer.node_id] += 1
        try:
            outcome = await self._exchange(run, peer, forwarded)
        finally:
            self._open[peer.node_id] -= 1
        match outcome:
            case NotSent() | RefusedByPeer(ran=Ran.NO):
                run.sends -= 1
                run.may_have_run = may_have_run_before
        self._record(run, peer, outcome)
        return outcome

    async def _exchange(
        self, run: RelayRun, peer: Peer, forwarded: ForwardedRequest
    ) -> AttemptOutcome:
        body = codec.pack_compact(forwarded)
        idle_s = REUSE_IDLE_S if run.repeatable else NO_REUSE_S
        # A peer that has started again refuses the signature once and runs nothing.
        for _ in range(2):
            try:
                connection = await self._pool.acquire(peer.forward_address, idle_s)
            except ConnectError as error:
                return NotSent(error.reason, error.connection_refused)
            outcome = await self._exchange_on(connection, run, peer, body)
            if outcome is not None:
                return outcome
        return NotSent("the peer's session changed twice")

    async def _exchange_on(
        self, connection: BackendConnection, run: RelayRun, peer: Peer, body: bytes
    ) -> AttemptOutcome | None:
        """Send a request once; return None if the peer has another session."""
        address = peer.forward_address
        signature = self._signer.sign(address, FORWARD_PATH, body)
        sent_s = self._state.clock.monotonic()
        complete = False
        peer_codec = _PeerCodec(self._codec)
        try:
            connection.send(_encode_post(address, signature, body))
            response = ResponseRelay(
                run=run,
                connection=connection,
                codec=peer_codec,
                clock=self._state.clock,
                expected_s=0.0,
                # The peer itself notices when its backend server is silent.
                acquire_retry=lambda: False,
                on_head=lambda head: self._record_head(
                    run, peer, head, peer_codec.backend, sent_s
                ),
                on_data=lambda: None,
                on_first_output=lambda: None,
                withholds=lambda head: not peer_codec.from_backend or head.failed,
            )
            outcome = await response.receive()
            complete = not isinstance(outcome, ReplyLost)
        finally:
            if complete:
                self._pool.release(connection)
            else:
                # Also makes the peer stop when the caller has disconnected.
                connection.abort()
        match outcome:
            case ErrorReply() if not peer_codec.from_backend:
                status, body = outcome.head.status, outcome.body
                if peer.signs_own_responses and not self._signer.verifies_response(
                    peer_codec.own_signature, signature, status, body
                ):
                    return RefusedByPeer(ResultCode.FORWARD_FAILED, Ran.UNKNOWN)
                if status == STATUS_CONFLICT and body.isdigit():
                    self._signer.set_session(address, int(body))
                    return None
                return _decode_refusal(outcome)
            case _:
                return outcome

    def _record_head(
        self,
        run: RelayRun,
        peer: Peer,
        head: ReplyHead,
        backend: tuple[str, int] | None,
        sent_s: float,
    ) -> bool:
        """Record what the backend server that the peer chose says about itself."""
        if backend is None:
            return False
        record = self._state.backends.get(backend[0])
        if record is not None and record.server.incarnation == backend:
            request_id = run.request.request_id
            self._state.record_head(
                record.server, head, sent_s, request_id, peer.node_id
            )
        elif head.leaving:
            # Its entry may come later, when the announcement is long past.
            self._state.record_leaving(backend, run.request.request_id, peer.node_id)
        return False

    def _record(self, run: RelayRun, peer: Peer, outcome: AttemptOutcome) -> None:
        result = type(outcome).__name__
        self._metrics.forwarded.labels(result).inc()
        match outcome:
            case NotSent() | ReplyLost():
                reason = outcome.reason
            case RefusedByPeer():
                reason = outcome.code.code
            case _:
                return
        log(
            LogEvent.FORWARD_FAILED,
            request=run.request.request_id,
            peer=peer.node_id,
            result=result,
            reason=reason,
            events=run.events,
        )


@attrs.define
class _PeerCodec:
    """
    Decodes heads of peers' responses, and takes out what only nodes need.

    :param backend: the incarnation that the response comes from; None if the peer
        names none.
    :param from_backend: whether a backend server has responded, and not the peer
        itself. Builds up to commit d56ce1e don't name it with problem documents, so
        that the seal decides, which only backend servers give.
    :param own_signature: the signature of the peer's own response; empty if none.
    """

    _codec: BackendCodec
    backend: tuple[str, int] | None = None
    from_backend: bool = False
    own_signature: str = ""

    def decode(self, raw: RawHead) -> ReplyHead:
        head = self._codec.decode(raw)
        given_length = any(name == LENGTH_HEADER for name, _ in head.headers)
        dropped = {BACKEND_HEADER, OWN_RESPONSE_HEADER}
        if given_length:
            dropped.add(b"content-length")
        headers = tuple(
            (b"content-length" if name == LENGTH_HEADER else name, value)
            for name, value in head.headers
            if name not in dropped
        )
        by_name = dict(head.headers)
        with contextlib.suppress(codec.InvalidValue):
            self.backend = decode_backend(by_name.get(BACKEND_HEADER, b""))
        self.from_backend = self.backend is not None or head.sealed
        signature = by_name.get(OWN_RESPONSE_HEADER, b"")
        self.own_signature = signature.decode("latin-1")
        return attrs.evolve(head, headers=headers)


def _encode_post(address: str, signature: str, body: bytes) -> bytes:
    lines = (
        f"POST {FORWARD_PATH} HTTP/1.1",
        f"Host: {address}",
        f"Content-Length: {len(body)}",
        f"{SIGNATURE_HEADER}: {signature}",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _decode_refusal(response: ErrorReply) -> RefusedByPeer:
    """Return what a peer's own response says."""
    if response.head.status == STATUS_FORBIDDEN:
        return RefusedByPeer(ResultCode.FORWARD_REFUSED, Ran.NO, try_another=True)
    try:
        problem = codec.decode(response.body, Problem, lenient=True)
        code = next(c for c in ResultCode if c.code == problem.code)
        ran = Ran(problem.ran)
    except (codec.InvalidValue, ValueError, StopIteration):
        return RefusedByPeer(ResultCode.FORWARD_FAILED, Ran.UNKNOWN)
    retry_after = parse_retry_after(response.head.retry_after or "", 0.0)
    try_another = ran is Ran.NO and code in TRY_ANOTHER_CODES
    return RefusedByPeer(code, ran, retry_after, try_another)
