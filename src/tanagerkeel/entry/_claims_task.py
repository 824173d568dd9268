"""Claims of this node and, for the shards that it writes, of others."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator

import attrs

from tanagerkeel.claims import (
    Claimed,
    ClaimPolicy,
    Done,
    Endings,
    NotRun,
    Ruling,
    Unknown,
    Verdict,
    shard_of,
)
from tanagerkeel.clock import Clock
from tanagerkeel.entry._claim_messages import (
    ClaimAnswer,
    ClaimAsk,
    EndingsAnswer,
    EndingsNote,
)
from tanagerkeel.entry._claim_writer import ClaimWriter, PlatformState
from tanagerkeel.gateways.peers import PeerBus, PeerUnreachable, Received
from tanagerkeel.gateways.platform import PlatformGateway
from tanagerkeel.membership import MembershipHolder, NodeInfo
from tanagerkeel.rendezvous import rendezvous

__all__ = ["Claims"]

# A node asks this many preferred writers before it writes itself.
PREFERRED = 2
CALL_TIMEOUT_S = 1.0
AVOID_S = 5.0
IDLE_S = 60.0
RETRY_S = 1.0
DRAIN_S = 3.0
MAX_ENDINGS = 10_000
MAX_ASKS = 2_000

Ending = Done | Unknown | NotRun


@attrs.define
class Claims:
    """
    Records claims, through the preferred writer of each shard or directly.

    The preferred writer only spares writes. Whoever writes, the order of the
    log decides, so nodes with different views may each take another one.

    :param platform: the platform's service.
    :param bus: messages between nodes; None when there are none.
    :param members: the nodes believed to be alive.
    :param clock: source of time.
    :param policy: bounds of the log.
    """

    _platform: PlatformGateway
    _bus: PeerBus | None
    _members: MembershipHolder
    _clock: Clock
    policy: ClaimPolicy = ClaimPolicy()
    _writers: tuple[ClaimWriter, ...] = attrs.field(init=False)
    _endings: "asyncio.Queue[Ending]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_ENDINGS), init=False
    )
    _asks: "asyncio.Queue[Received[ClaimAsk]]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_ASKS), init=False
    )
    _notes: "asyncio.Queue[Received[EndingsNote]]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_ASKS), init=False
    )
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _answering: set[asyncio.Task] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        state = PlatformState()
        self._writers = tuple(
            ClaimWriter(self._platform, shard, self.policy, self._clock, state)
            for shard in range(self.policy.shards)
        )
        if self._bus is not None:
            self._bus.subscribe(ClaimAsk, self._asks)
            self._bus.subscribe(EndingsNote, self._notes)

    async def claim(self, claim: Claimed, deadline_s: float) -> Verdict:
        """
        Record a claim and return what the log says to it.

        :param deadline_s: monotonic time by which it must be answered, in seconds.
        """
        shard = shard_of(claim.key, self.policy.shards)
        in_doubt = False
        verdict = Verdict(Ruling.UNAVAILABLE)
        for node in self._preferred(shard):
            verdict = await self._ask(node, shard, claim, deadline_s)
            if verdict.ruling not in (Ruling.UNAVAILABLE, Ruling.IN_DOUBT):
                if in_doubt and verdict.ruling is not Ruling.GRANTED:
                    # It may yet come into the log by the way that gave no answer.
                    self.end(NotRun(claim.key, claim.claim_id))
                return verdict
            in_doubt |= verdict.ruling is Ruling.IN_DOUBT
        return Verdict(Ruling.IN_DOUBT) if in_doubt else verdict

    def end(self, ending: Ending) -> None:
        """
        Record later how a claim of this node ended.

        An ending that is lost leaves the claim open, which refuses repeats.
        """
        if not self._endings.full():
            self._endings.put_nowait(ending)

    async def drain(self) -> None:
        """Wait until the endings are recorded, at most ``DRAIN_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_S):
                await self._endings.join()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            for writer in self._writers:
                group.create_task(writer.run())
            # One reads for all while the platform doesn't answer.
            group.create_task(self._writers[0].probe())
            group.create_task(self._record_endings())
            group.create_task(self._serve_asks())
            group.create_task(self._serve_notes())
            group.create_task(self._forget_idle())

    def _preferred(self, shard: int) -> Iterator[NodeInfo]:
        """Yield the nodes to write through, this one last at the latest."""
        own = self._members.own
        if self._bus is not None:
            now = self._clock.monotonic()
            view = self._members.view
            nodes = {n.node_id: n for n in (*view.nodes, *view.others)}
            ranked = rendezvous(f"claims/{shard}", tuple(nodes))
            able = [
                nodes[name]
                for name in ranked
                if not nodes[name].stopping
                and self._avoided_until_s.get(name, 0.0) <= now
            ]
            for node in able[:PREFERRED]:
                if node.node_id == own.node_id:
                    break
                yield node
        yield own

    async def _ask(
        self, node: NodeInfo, shard: int, claim: Claimed, deadline_s: float
    ) -> Verdict:
        left_s = deadline_s - self._clock.monotonic()
        if left_s <= 0:
            return Verdict(Ruling.UNAVAILABLE)
        if node.node_id == self._members.own.node_id:
            return await self._write(shard, claim, left_s)
        ask = ClaimAsk(shard, claim)
        timeout_s = min(CALL_TIMEOUT_S, left_s)
        try:
            answer = await self._bus.call(
                node.peers_address, ask, ClaimAnswer, timeout_s
            )
        except PeerUnreachable:
            self._avoid(node)
            return Verdict(Ruling.IN_DOUBT)
        if answer.verdict.ruling in (Ruling.UNAVAILABLE, Ruling.IN_DOUBT):
            self._avoid(node)
        return answer.verdict

    async def _write(self, shard: int, claim: Claimed, left_s: float) -> Verdict:
        try:
            async with asyncio.timeout(left_s):
                return await self._writers[shard].claim(claim)
        except TimeoutError:
            return Verdict(Ruling.IN_DOUBT)

    def _avoid(self, node: NodeInfo) -> None:
        now = self._clock.monotonic()
        kept = {n: at for n, at in self._avoided_until_s.items() if at > now}
        self._avoided_until_s = kept | {node.node_id: now + AVOID_S}

    async def _record_endings(self) -> None:
        while True:
            batch = [await self._endings.get()]
            await self._clock.sleep(self.policy.batch_s)
            while len(batch) < self.policy.max_batch and not self._endings.empty():
                batch.append(self._endings.get_nowait())
            shards: dict[int, list[Ending]] = {}
            for ending in batch:
                shard = shard_of(ending.key, self.policy.shards)
                shards.setdefault(shard, []).append(ending)
            recorded = await asyncio.gather(
                *(self._record(shard, group) for shard, group in shards.items())
            )
            for _ in batch:
                self._endings.task_done()
            if not all(recorded):
                await self._clock.sleep(RETRY_S)

    async def _record(self, shard: int, group: list[Ending]) -> bool:
        endings = _endings_of(group)
        for node in self._preferred(shard):
            if await self._note(node, shard, endings):
                return True
        for ending in group:
            self.end(ending)
        return False

    async def _note(self, node: NodeInfo, shard: int, endings: Endings) -> bool:
        if node.node_id == self._members.own.node_id:
            return await self._writers[shard].end(endings)
        note = EndingsNote(shard, endings)
        try:
            answer = await self._bus.call(
                node.peers_address, note, EndingsAnswer, CALL_TIMEOUT_S
            )
        except PeerUnreachable:
            self._avoid(node)
            return False
        return answer.recorded

    async def _serve_asks(self) -> None:
        while True:
            received = await self._asks.get()
            if 0 <= received.message.shard < self.policy.shards:
                self._answer(self._answer_ask(received))

    async def _answer_ask(self, received: Received[ClaimAsk]) -> None:
        ask = received.message
        verdict = await self._writers[ask.shard].claim(ask.claim)
        await self._bus.reply(received, ClaimAnswer(verdict))

    async def _serve_notes(self) -> None:
        while True:
            received = await self._notes.get()
            if 0 <= received.message.shard < self.policy.shards:
                self._answer(self._answer_note(received))

    async def _answer_note(self, received: Received[EndingsNote]) -> None:
        note = received.message
        recorded = await self._writers[note.shard].end(note.endings)
        await self._bus.reply(received, EndingsAnswer(recorded))

    def _answer(self, body: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(body)
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _forget_idle(self) -> None:
        while True:
            await self._clock.sleep(IDLE_S)
            for writer in self._writers:
                writer.forget_if_idle(IDLE_S)


def _endings_of(group: list[Ending]) -> Endings:
    return Endings(
        tuple(e for e in group if isinstance(e, Done)),
        tuple(e for e in group if isinstance(e, Unknown)),
        tuple(e for e in group if isinstance(e, NotRun)),
    )
