"""Record the claims of this node, and those that other nodes send to it."""

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
    OutcomesAnswer,
    RecordClaim,
    RecordOutcomes,
)
from tanagerkeel.entry._claim_writer import ClaimWriter, PlatformHealth
from tanagerkeel.gateways.peers import PeerBus, PeerUnreachable, Received
from tanagerkeel.gateways.platform import PlatformGateway
from tanagerkeel.membership import MembershipHolder, NodeInfo
from tanagerkeel.rendezvous import rendezvous

__all__ = ["Claims"]

# A node sends a record to at most this many other nodes before it writes it itself.
MAX_PREFERRED_WRITERS = 2
CALL_TIMEOUT_S = 1.0
# A node that gave no usable answer is avoided for this time.
AVOID_S = 5.0
# A shard's table is unloaded when nothing was written for this time.
UNLOAD_IDLE_S = 60.0
RETRY_DELAY_S = 1.0
MAX_DRAIN_S = 3.0
MAX_QUEUED_OUTCOMES = 10_000
MAX_QUEUED_REQUESTS = 2_000

CallOutcome = CallDone | CallOutcomeUnknown | CallNotRun


@attrs.define
class Claims:
    """
    Records claims, through the preferred writer of each shard or directly.

    A preferred writer only saves writes, by batching the records of several nodes.
    Whichever node writes, the order of the log decides on claims, so nodes with
    different membership views may use different writers.

    :param platform: the store that holds the logs.
    :param bus: messages between nodes; None when the node exchanges none.
    :param members: the node's view of which nodes are alive.
    :param clock: source of monotonic time.
    :param policy: limits and times of the logs, the same on every node.
    """

    _platform: PlatformGateway
    _bus: PeerBus | None
    _members: MembershipHolder
    _clock: Clock
    policy: ClaimPolicy = ClaimPolicy()
    _writers: tuple[ClaimWriter, ...] = attrs.field(init=False)
    _outcomes: "asyncio.Queue[CallOutcome]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_OUTCOMES), init=False
    )
    _claim_requests: "asyncio.Queue[Received[RecordClaim]]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_REQUESTS), init=False
    )
    _outcome_requests: "asyncio.Queue[Received[RecordOutcomes]]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_REQUESTS), init=False
    )
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _answer_tasks: set[asyncio.Task] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        health = PlatformHealth()
        self._writers = tuple(
            ClaimWriter(self._platform, shard, self.policy, self._clock, health)
            for shard in range(self.policy.shards)
        )
        if self._bus is not None:
            self._bus.subscribe(RecordClaim, self._claim_requests)
            self._bus.subscribe(RecordOutcomes, self._outcome_requests)

    async def claim(self, claim: Claim, deadline_s: float) -> ClaimResult:
        """
        Record a claim and return how it was decided.

        :param deadline_s: monotonic time by which it must be decided, in seconds.
        """
        shard = shard_of(claim.key, self.policy.shards)
        in_doubt = False
        result = ClaimResult(ClaimStatus.UNAVAILABLE)
        for node in self._writing_nodes(shard):
            result = await self._claim_through(node, shard, claim, deadline_s)
            if result.status not in (ClaimStatus.UNAVAILABLE, ClaimStatus.IN_DOUBT):
                if in_doubt and result.status is not ClaimStatus.GRANTED:
                    # A node that didn't answer may still write the claim later.
                    self.record_outcome(CallNotRun(claim.key, claim.claim_id))
                return result
            in_doubt |= result.status is ClaimStatus.IN_DOUBT
        return ClaimResult(ClaimStatus.IN_DOUBT) if in_doubt else result

    def record_outcome(self, outcome: CallOutcome) -> None:
        """
        Queue the outcome of a claim of this node, to be recorded later.

        If the outcome is lost, the claim stays open and repeats are refused.
        """
        if not self._outcomes.full():
            self._outcomes.put_nowait(outcome)

    async def drain(self) -> None:
        """Wait until the outcomes are recorded, at most ``MAX_DRAIN_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_DRAIN_S):
                await self._outcomes.join()

    async def run(self) -> None:
        """Record claims and outcomes, and answer other nodes, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for writer in self._writers:
                group.create_task(writer.run())
            # One writer probes the platform for all, as they share its health.
            group.create_task(self._writers[0].probe())
            group.create_task(self._record_outcomes())
            group.create_task(self._serve_claim_requests())
            group.create_task(self._serve_outcome_requests())
            group.create_task(self._unload_idle())

    def _writing_nodes(self, shard: int) -> Iterator[NodeInfo]:
        """Yield the nodes to write through, best first; this one is the last."""
        own = self._members.own
        if self._bus is not None:
            now = self._clock.monotonic()
            view = self._members.view
            nodes = {n.node_id: n for n in (*view.nodes, *view.remote_nodes)}
            ranked = rendezvous(f"claims/{shard}", tuple(nodes))
            eligible = [
                nodes[name]
                for name in ranked
                if not nodes[name].stopping
                and self._avoided_until_s.get(name, 0.0) <= now
            ]
            for node in eligible[:MAX_PREFERRED_WRITERS]:
                if node.node_id == own.node_id:
                    break
                yield node
        yield own

    async def _claim_through(
        self, node: NodeInfo, shard: int, claim: Claim, deadline_s: float
    ) -> ClaimResult:
        remaining_s = deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            return ClaimResult(ClaimStatus.UNAVAILABLE)
        if node.node_id == self._members.own.node_id:
            return await self._claim_locally(shard, claim, remaining_s)
        request = RecordClaim(shard, claim)
        timeout_s = min(CALL_TIMEOUT_S, remaining_s)
        try:
            answer = await self._bus.call(
                node.peers_address, request, ClaimAnswer, timeout_s
            )
        except PeerUnreachable:
            self._avoid(node)
            return ClaimResult(ClaimStatus.IN_DOUBT)
        if answer.result.status in (ClaimStatus.UNAVAILABLE, ClaimStatus.IN_DOUBT):
            self._avoid(node)
        return answer.result

    async def _claim_locally(
        self, shard: int, claim: Claim, remaining_s: float
    ) -> ClaimResult:
        try:
            async with asyncio.timeout(remaining_s):
                return await self._writers[shard].claim(claim)
        except TimeoutError:
            return ClaimResult(ClaimStatus.IN_DOUBT)

    def _avoid(self, node: NodeInfo) -> None:
        now = self._clock.monotonic()
        still_avoided = {n: at for n, at in self._avoided_until_s.items() if at > now}
        self._avoided_until_s = still_avoided | {node.node_id: now + AVOID_S}

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
                *(
                    self._record_in_shard(shard, group)
                    for shard, group in shards.items()
                )
            )
            for _ in batch:
                self._outcomes.task_done()
            if not all(recorded):
                await self._clock.sleep(RETRY_DELAY_S)

    async def _record_in_shard(self, shard: int, group: list[CallOutcome]) -> bool:
        outcomes = _outcomes_of(group)
        for node in self._writing_nodes(shard):
            if await self._record_through(node, shard, outcomes):
                return True
        for outcome in group:
            self.record_outcome(outcome)
        return False

    async def _record_through(
        self, node: NodeInfo, shard: int, outcomes: CallOutcomes
    ) -> bool:
        if node.node_id == self._members.own.node_id:
            return await self._writers[shard].record_outcomes(outcomes)
        request = RecordOutcomes(shard, outcomes)
        try:
            answer = await self._bus.call(
                node.peers_address, request, OutcomesAnswer, CALL_TIMEOUT_S
            )
        except PeerUnreachable:
            self._avoid(node)
            return False
        return answer.recorded

    async def _serve_claim_requests(self) -> None:
        while True:
            received = await self._claim_requests.get()
            if 0 <= received.message.shard < self.policy.shards:
                self._start_answer(self._answer_claim_request(received))

    async def _answer_claim_request(self, received: Received[RecordClaim]) -> None:
        request = received.message
        result = await self._writers[request.shard].claim(request.claim)
        await self._bus.reply(received, ClaimAnswer(result))

    async def _serve_outcome_requests(self) -> None:
        while True:
            received = await self._outcome_requests.get()
            if 0 <= received.message.shard < self.policy.shards:
                self._start_answer(self._answer_outcome_request(received))

    async def _answer_outcome_request(self, received: Received[RecordOutcomes]) -> None:
        request = received.message
        recorded = await self._writers[request.shard].record_outcomes(request.outcomes)
        await self._bus.reply(received, OutcomesAnswer(recorded))

    def _start_answer(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    async def _unload_idle(self) -> None:
        while True:
            await self._clock.sleep(UNLOAD_IDLE_S)
            for writer in self._writers:
                writer.unload_if_idle(UNLOAD_IDLE_S)


def _outcomes_of(group: list[CallOutcome]) -> CallOutcomes:
    return CallOutcomes(
        tuple(e for e in group if isinstance(e, CallDone)),
        tuple(e for e in group if isinstance(e, CallOutcomeUnknown)),
        tuple(e for e in group if isinstance(e, CallNotRun)),
    )
