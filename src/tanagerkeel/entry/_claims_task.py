"""Claims of this node and, for the shards that it writes, of others."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator

import attrs

from tanagerkeel.claims import (
    CallDone,
    CallNotRun,
    CallOutcomes,
    CallOutcomeUnknown,
    Claim,
    ClaimPolicy,
    ClaimResult,
    ClaimStatus,
    shard_of,
)
from tanagerkeel.clock import Clock
from tanagerkeel.entry._claim_messages import (
    ClaimAnswer,
    ClaimAsk,
    OutcomesAnswer,
    RecordOutcomes,
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
MAX_OUTCOMES = 10_000
MAX_ASKS = 2_000

CallOutcome = CallDone | CallOutcomeUnknown | CallNotRun


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
    _outcomes: "asyncio.Queue[CallOutcome]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_OUTCOMES), init=False
    )
    _asks: "asyncio.Queue[Received[ClaimAsk]]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_ASKS), init=False
    )
    _notes: "asyncio.Queue[Received[RecordOutcomes]]" = attrs.field(
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
            self._bus.subscribe(RecordOutcomes, self._notes)

    async def claim(self, claim: Claim, deadline_s: float) -> ClaimResult:
        """
        Record a claim and return what the log says to it.

        :param deadline_s: monotonic time by which it must be answered, in seconds.
        """
        shard = shard_of(claim.key, self.policy.shards)
        in_doubt = False
        result = ClaimResult(ClaimStatus.UNAVAILABLE)
        for node in self._preferred(shard):
            result = await self._ask(node, shard, claim, deadline_s)
            if result.status not in (ClaimStatus.UNAVAILABLE, ClaimStatus.IN_DOUBT):
                if in_doubt and result.status is not ClaimStatus.GRANTED:
                    # It may yet come into the log by the way that gave no answer.
                    self.record_outcome(CallNotRun(claim.key, claim.claim_id))
                return result
            in_doubt |= result.status is ClaimStatus.IN_DOUBT
        return ClaimResult(ClaimStatus.IN_DOUBT) if in_doubt else result

    def record_outcome(self, outcome: CallOutcome) -> None:
        """
        Record later how a claim of this node ended.

        An outcome that is lost leaves the claim open, which refuses repeats.
        """
        if not self._outcomes.full():
            self._outcomes.put_nowait(outcome)

    async def drain(self) -> None:
        """Wait until the outcomes are recorded, at most ``DRAIN_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_S):
                await self._outcomes.join()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            for writer in self._writers:
                group.create_task(writer.run())
            # One reads for all while the platform doesn't answer.
            group.create_task(self._writers[0].probe())
            group.create_task(self._record_outcomes())
            group.create_task(self._serve_asks())
            group.create_task(self._serve_notes())
            group.create_task(self._forget_idle())

    def _preferred(self, shard: int) -> Iterator[NodeInfo]:
        """Yield the nodes to write through, this one last at the latest."""
        own = self._members.own
        if self._bus is not None:
            now = self._clock.monotonic()
            view = self._members.view
            nodes = {n.node_id: n for n in (*view.nodes, *view.remote_nodes)}
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
        self, node: NodeInfo, shard: int, claim: Claim, deadline_s: float
    ) -> ClaimResult:
        left_s = deadline_s - self._clock.monotonic()
        if left_s <= 0:
            return ClaimResult(ClaimStatus.UNAVAILABLE)
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
            return ClaimResult(ClaimStatus.IN_DOUBT)
        if answer.result.status in (ClaimStatus.UNAVAILABLE, ClaimStatus.IN_DOUBT):
            self._avoid(node)
        return answer.result

    async def _write(self, shard: int, claim: Claim, left_s: float) -> ClaimResult:
        try:
            async with asyncio.timeout(left_s):
                return await self._writers[shard].claim(claim)
        except TimeoutError:
            return ClaimResult(ClaimStatus.IN_DOUBT)

    def _avoid(self, node: NodeInfo) -> None:
        now = self._clock.monotonic()
        kept = {n: at for n, at in self._avoided_until_s.items() if at > now}
        self._avoided_until_s = kept | {node.node_id: now + AVOID_S}

    async def _record_outcomes(self) -> None:
        while True:
            batch = [await self._outcomes.get()]
            await self._clock.sleep(self.policy.batch_interval_s)
            while (
                len(batch) < self.policy.max_batch_size and not self._outcomes.empty()
            ):
                batch.append(self._outcomes.get_nowait())
            shards: dict[int, list[CallOutcome]] = {}
            for outcome in batch:
                shard = shard_of(outcome.key, self.policy.shards)
                shards.setdefault(shard, []).append(outcome)
            recorded = await asyncio.gather(
                *(self._record(shard, group) for shard, group in shards.items())
            )
            for _ in batch:
                self._outcomes.task_done()
            if not all(recorded):
                await self._clock.sleep(RETRY_S)

    async def _record(self, shard: int, group: list[CallOutcome]) -> bool:
        outcomes = _outcomes_of(group)
        for node in self._preferred(shard):
            if await self._note(node, shard, outcomes):
                return True
        for outcome in group:
            self.record_outcome(outcome)
        return False

    async def _note(self, node: NodeInfo, shard: int, outcomes: CallOutcomes) -> bool:
        if node.node_id == self._members.own.node_id:
            return await self._writers[shard].record_outcomes(outcomes)
        note = RecordOutcomes(shard, outcomes)
        try:
            answer = await self._bus.call(
                node.peers_address, note, OutcomesAnswer, CALL_TIMEOUT_S
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
        result = await self._writers[ask.shard].claim(ask.claim)
        await self._bus.reply(received, ClaimAnswer(result))

    async def _serve_notes(self) -> None:
        while True:
            received = await self._notes.get()
            if 0 <= received.message.shard < self.policy.shards:
                self._answer(self._answer_note(received))

    async def _answer_note(self, received: Received[RecordOutcomes]) -> None:
        note = received.message
        recorded = await self._writers[note.shard].record_outcomes(note.outcomes)
        await self._bus.reply(received, OutcomesAnswer(recorded))

    def _answer(self, body: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(body)
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _forget_idle(self) -> None:
        while True:
            await self._clock.sleep(IDLE_S)
            for writer in self._writers:
                writer.forget_if_idle(IDLE_S)


def _outcomes_of(group: list[CallOutcome]) -> CallOutcomes:
    return CallOutcomes(
        tuple(e for e in group if isinstance(e, CallDone)),
        tuple(e for e in group if isinstance(e, CallOutcomeUnknown)),
        tuple(e for e in group if isinstance(e, CallNotRun)),
    )
