"""Message bus between nodes over pynng."""

import asyncio
import collections
import itertools
import random

import attrs
import prometheus_client
import pynng

from tanagerkeel import codec
from tanagerkeel.clock import Clock
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.frames import (
    Frame,
    FrameRejected,
    KeyRing,
    sign_frame,
    verify_frame,
)
from tanagerkeel.gateways.peers._protocol import (
    M,
    PeerUnreachable,
    R,
    Received,
    UnknownKind,
    kind_of,
    message_class,
)
from tanagerkeel.gateways.peers._socket_pool import SocketPool
from tanagerkeel.gateways.replay import ReplayWindows

__all__ = ["NngPeerBus", "PeerCounters"]

SESSION_KIND = 0
MAX_MESSAGE_BYTES = 2_000_000
# pynng closes a connection whose message is larger. Twice the limit, so that
# oversized messages are counted before that.
MAX_RECEIVED_BYTES = 2 * MAX_MESSAGE_BYTES
# pynng sends the length before each message; it counts as traffic.
LENGTH_PREFIX_BYTES = 8
SESSION_BITS = 32
MAX_PEERS = 1_024
# Messages to a peer whose session is unknown, kept to be sent again.
MAX_RESEND_MESSAGES = 16
RESEND_WINDOW_S = 2.0
LOG_INTERVAL_S = 1.0


@attrs.frozen
class PeerCounters:
    """
    Counters of messages between nodes.

    :param bytes: bytes sent and received, by direction and kind.
    :param messages: messages sent and received, by direction and kind.
    :param dropped: messages dropped, by reason.
    """

    bytes: prometheus_client.Counter
    messages: prometheus_client.Counter
    dropped: prometheus_client.Counter


@attrs.frozen
class _Outgoing:
    kind: int
    call_id: int
    payload: bytes
    sent_s: float


@attrs.define
class _Peer:
    session: int = 0
    sequence: int = 0
    resend_queue: "collections.deque[_Outgoing]" = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RESEND_MESSAGES)
    )


@attrs.define
class NngPeerBus:
    """
    A ``PeerBus`` with one pull socket for receiving and one push socket a peer.

    A process accepts only frames that name its own random session number, so
    frames recorded before a restart can't be replayed after it. To the
    sender of any other message it replies with its session number, and the sender
    then resends the messages that it sent before it knew that number.

    :param keys: keys that sign and verify.
    :param clock: source of time.
    :param random: source of the session number.
    :param counters: counters of traffic and dropped messages.
    """

    _keys: KeyRing
    _clock: Clock
    _random: random.Random
    _counters: PeerCounters
    _address: str = ""
    _session: int = attrs.field(init=False)
    _socket: pynng.Pull0 | None = None
    _sockets: SocketPool = attrs.field(init=False)
    _task: asyncio.Task | None = None
    _stopping: bool = False
    _peers: "collections.OrderedDict[str, _Peer]" = attrs.field(
        factory=collections.OrderedDict
    )
    _windows: ReplayWindows = attrs.field(factory=ReplayWindows)
    _queues: dict[type, list[asyncio.Queue]] = attrs.field(factory=dict)
    _calls: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _call_ids: "itertools.count" = attrs.field(factory=lambda: itertools.count(1))
    _logged_s: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._session = self._random.getrandbits(SESSION_BITS) or 1
        self._sockets = SocketPool(self._clock)

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that other nodes send to."""
        return self._address

    async def start(self, listen: str) -> None:
        """
        Listen for messages.

        :param listen: ``IP:PORT``; with port 0 the system chooses the port.
        :raises TanagerkeelError: ADDRESS_IN_USE when it can't listen there.
        """
        self._socket = pynng.Pull0(recv_max_size=MAX_RECEIVED_BYTES)
        try:
            listener = self._socket.listen(f"tcp://{listen}")
        except pynng.NNGException as error:
            self._socket.close()
            raise TanagerkeelError(
                ResultCode.ADDRESS_IN_USE, f"{listen}: {error}"
            ) from error
        self._address = str(listener.local_address)
        self._stopping = False
        self._task = asyncio.create_task(self._receive(), name="peers")

    async def stop(self) -> None:
        """Stop receiving and close every socket."""
        self._stopping = True
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()
        self._sockets.close()

    def subscribe(self, cls: type[M], queue: "asyncio.Queue[Received[M]]") -> None:
        """Put messages of a class on ``queue``; they are dropped when it is full."""
        self._queues.setdefault(cls, []).append(queue)

    async def send(self, address: str, message: object) -> None:
        """Send a message without a reply; it is lost when the node is unreachable."""
        self._send(address, kind_of(message), 0, codec.pack_compact(message))

    async def call(
        self, address: str, message: object, reply: type[R], timeout_s: float
    ) -> R:
        """
        Send a message and return its reply.

        :param reply: class that the reply must have.
        :raises PeerUnreachable: when no such reply comes within ``timeout_s``.
        """
        call_id = next(self._call_ids)
        future = self._calls[call_id] = asyncio.get_running_loop().create_future()
        try:
            self._send(address, kind_of(message), call_id, codec.pack_compact(message))
            async with asyncio.timeout(timeout_s):
                received = await future
        except TimeoutError as error:
            raise PeerUnreachable(address) from error
        finally:
            del self._calls[call_id]
        if received.sender != address or not isinstance(received.message, reply):
            raise PeerUnreachable(address)
        return received.message

    async def reply(self, received: Received, message: object) -> None:
        """Reply to a message that was sent with :meth:`call`."""
        payload = codec.pack_compact(message)
        self._send(received.sender, kind_of(message), -received.call_id, payload)

    def _send(self, address: str, kind: int, call_id: int, payload: bytes) -> None:
        peer = self._peer(address)
        if peer.session == 0:
            now = self._clock.monotonic()
            peer.resend_queue.append(_Outgoing(kind, call_id, payload, now))
        self._transmit(address, peer, kind, call_id, payload)

    def _transmit(
        self, address: str, peer: _Peer, kind: int, call_id: int, payload: bytes
    ) -> None:
        peer.sequence += 1
        frame = Frame(
            sender=self._address,
            session=self._session,
            to_session=peer.session,
            sequence=peer.sequence,
            kind=kind,
            call_id=call_id,
            payload=payload,
        )
        data = sign_frame(frame, address, self._keys)
        if len(data) > MAX_MESSAGE_BYTES:
            self._drop("oversized", address)
        elif self._sockets.send(address, data):
            self._count("sent", kind, data)
        else:
            self._drop("unsent", address)

    def _peer(self, address: str) -> _Peer:
        peer = self._peers.setdefault(address, _Peer())
        self._peers.move_to_end(address)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)
        return peer

    async def _receive(self) -> None:
        # When a message arrives at the moment of a cancellation, ``arecv`` returns it
        # and the cancellation is lost.
        while not self._stopping:
            data = await self._socket.arecv()
            self._sockets.close_idle()
            try:
                self._handle_frame(data)
            except FrameRejected as error:
                self._drop(error.reason)
            except UnknownKind:
                self._drop("unknown_kind")
            except codec.InvalidValue:
                self._drop("malformed")

    def _handle_frame(self, data: bytes) -> None:
        if len(data) > MAX_MESSAGE_BYTES:
            raise FrameRejected("oversized")
        frame = verify_frame(data, self._address, self._keys)
        self._count("received", frame.kind, data)
        peer = self._peer(frame.sender)
        if frame.to_session != self._session:
            self._send_session(frame, peer)
            return
        if not self._windows.check_and_record(
            frame.sender, frame.session, frame.sequence
        ):
            raise FrameRejected("replayed")
        self._update_session(frame, peer)
        if frame.kind != SESSION_KIND:
            self._deliver(frame)

    def _send_session(self, frame: Frame, peer: _Peer) -> None:
        # The reply is addressed to the session that this frame names. If the frame
        # was replayed, the sender's present process ignores the reply.
        if frame.to_session:
            self._drop("old", frame.sender)
        if frame.kind != SESSION_KIND:
            frame_peer = attrs.evolve(peer, session=frame.session)
            self._transmit(frame.sender, frame_peer, SESSION_KIND, 0, b"")
            peer.sequence = frame_peer.sequence

    def _update_session(self, frame: Frame, peer: _Peer) -> None:
        if peer.session == frame.session:
            return
        peer.session = frame.session
        messages = tuple(peer.resend_queue)
        peer.resend_queue.clear()
        oldest_s = self._clock.monotonic() - RESEND_WINDOW_S
        for message in messages:
            if message.sent_s >= oldest_s:
                self._transmit(
                    frame.sender,
                    peer,
                    message.kind,
                    message.call_id,
                    message.payload,
                )

    def _deliver(self, frame: Frame) -> None:
        message = codec.unpack_compact(frame.payload, message_class(frame.kind))
        received = Received(frame.sender, message, max(0, frame.call_id))
        if frame.call_id < 0:
            future = self._calls.get(-frame.call_id)
            if future is not None and not future.done():
                future.set_result(received)
            return
        for queue in self._queues.get(type(message), ()):
            try:
                queue.put_nowait(received)
            except asyncio.QueueFull:
                self._drop("queue_full", frame.sender)

    def _count(self, direction: str, kind: int, data: bytes) -> None:
        self._counters.messages.labels(direction, kind).inc()
        size = len(data) + LENGTH_PREFIX_BYTES
        self._counters.bytes.labels(direction, kind).inc(size)

    def _drop(self, reason: str, peer: str = "") -> None:
        self._counters.dropped.labels(reason).inc()
        now = self._clock.monotonic()
        if now - self._logged_s.get(reason, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_s[reason] = now
            log(LogEvent.PEER_MESSAGE_DROPPED, reason=reason, peer=peer)
