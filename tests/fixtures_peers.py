"""An in-memory message bus between nodes, with partitions, loss and delay."""

import asyncio
import contextlib
import itertools
from random import Random

import attrs

from tanagerkeel import codec
from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.gateways.peers import (
    PeerUnreachable,
    Received,
    kind_of,
    message_class,
)

STEP_S = 0.1
# Iterations of the event loop in each step; enough for a chain of messages between
# tasks.
ITERATIONS_PER_STEP = 25


@contextlib.asynccontextmanager
async def running_tasks(bodies):
    """Run coroutines as tasks until the block ends, and raise what a task raised."""
    tasks = [asyncio.create_task(body) for body in bodies]
    try:
        yield tasks
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@attrs.define
class Network:
    """
    Delivers messages between the buses of one process.

    :param clock: source of time for delays and timeouts.
    :param random: source of randomness for loss.
    :param loss: probability that a message is lost.
    :param delay_s: time that each message takes, in seconds.
    :param buses: buses by address.
    :param cut: pairs of sender and receiver address between which messages are lost.
    :param paused: addresses of paused processes.
    :param sent: sender, receiver, kind and payload size in bytes of each message.
    """

    clock: Clock = attrs.field(factory=SystemClock)
    random: Random = attrs.field(factory=lambda: Random(1))
    loss: float = 0.0
    delay_s: float = 0.0
    buses: dict = attrs.field(factory=dict)
    cut: set = attrs.field(factory=set)
    paused: set = attrs.field(factory=set)
    sent: list = attrs.field(factory=list)
    _buffered: dict = attrs.field(factory=dict)
    _tasks: set = attrs.field(factory=set)

    def create_bus(self, address: str) -> "MemoryBus":
        bus = self.buses[address] = MemoryBus(self, address)
        return bus

    def cut_one_way(self, source: str, target: str) -> None:
        self.cut.add((source, target))

    async def pass_time(self, seconds: float) -> None:
        """Advance a ``ManualClock`` in steps of ``STEP_S``, and run tasks in each."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for _ in range(ITERATIONS_PER_STEP):
                await asyncio.sleep(0)

    def partition(self, left, right) -> None:
        for a, b in itertools.product(left, right):
            self.cut |= {(a, b), (b, a)}

    def heal(self) -> None:
        self.cut.clear()

    def pause(self, address: str) -> None:
        """Buffer messages to a paused process, as its socket would."""
        self.paused.add(address)

    def resume(self, address: str) -> None:
        """Deliver the buffered messages of a process that runs again."""
        self.paused.discard(address)
        for arguments in self._buffered.pop(address, ()):
            self._deliver(*arguments)

    def transmit(self, source, target, kind, call_id, payload) -> None:
        self.sent.append((source, target, kind, len(payload)))
        if (source, target) in self.cut or self.random.random() < self.loss:
            return
        if not self.delay_s:
            self._deliver(source, target, kind, call_id, payload)
            return
        task = asyncio.create_task(
            self._deliver_later(source, target, kind, call_id, payload)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver_later(self, *arguments) -> None:
        await self.clock.sleep(self.delay_s)
        self._deliver(*arguments)

    def _deliver(self, source, target, kind, call_id, payload) -> None:
        if target in self.paused:
            self._buffered.setdefault(target, []).append(
                (source, target, kind, call_id, payload)
            )
            return
        bus = self.buses.get(target)
        if bus is not None:
            bus.receive(source, kind, call_id, payload)


@attrs.define
class MemoryBus:
    """Implements ``PeerBus`` in memory."""

    _network: Network
    address: str
    _queues: dict = attrs.field(factory=dict)
    _calls: dict = attrs.field(factory=dict)
    _call_ids: "itertools.count" = attrs.field(factory=lambda: itertools.count(1))

    def subscribe(self, cls, queue) -> None:
        self._queues.setdefault(cls, []).append(queue)

    async def send(self, address, message) -> None:
        self._transmit(address, message, 0)

    async def call(self, address, message, reply, timeout_s):
        call_id = next(self._call_ids)
        future = self._calls[call_id] = asyncio.get_running_loop().create_future()
        try:
            self._transmit(address, message, call_id)
            answer = await self._wait_for(future, timeout_s)
        except TimeoutError as error:
            raise PeerUnreachable(address) from error
        finally:
            del self._calls[call_id]
        if not isinstance(answer, reply):
            raise PeerUnreachable(address)
        return answer

    async def reply(self, received, message) -> None:
        self._transmit(received.sender, message, -received.call_id)

    def receive(self, source, kind, call_id, payload) -> None:
        message = codec.unpack_compact(payload, message_class(kind))
        if call_id < 0:
            future = self._calls.get(-call_id)
            if future is not None and not future.done():
                future.set_result(message)
            return
        for queue in self._queues.get(type(message), ()):
            if not queue.full():
                queue.put_nowait(Received(source, message, call_id))

    async def _wait_for(self, future, timeout_s):
        # The timeout follows the network's clock, which a test may advance by hand.
        timer = asyncio.ensure_future(self._network.clock.sleep(timeout_s))
        try:
            await asyncio.wait({future, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        if not future.done():
            raise TimeoutError
        return future.result()

    def _transmit(self, address, message, call_id) -> None:
        payload = codec.pack_compact(message)
        self._network.transmit(
            self.address, address, kind_of(message), call_id, payload
        )
