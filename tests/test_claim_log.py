"""The claim log: two writers, lost replies, compaction, and a restored platform."""

import asyncio
import contextlib

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.claims import (
    CallDone,
    CallNotRun,
    CallOutcomes,
    CallOutcomeUnknown,
    Claim,
    ClaimPolicy,
    ClaimStatus,
    check_idempotency_key,
    claim_key,
    new_id,
)
from tanagerkeel.clock import ManualClock
from tanagerkeel.entry._claim_log import ClaimLog
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.standins import PlatformStandIn
from tests.fixtures_platform import MemoryPlatform
from tests.support import collect

POLICY = ClaimPolicy(shards=1, slots=8, max_part_entries=3, window_s=100.0)


def claim_of(key, owner="n1", body="b"):
    return Claim(key, new_id(), body, owner, 10.0)


def make_logs(count, policy=POLICY):
    store = PlatformStandIn()
    clock = ManualClock()
    platforms = [MemoryPlatform(store, clock) for _ in range(count)]
    return store, clock, platforms, [ClaimLog(p, 0, policy, clock) for p in platforms]


async def append(log, claim=None, outcome=None):
    """Append as ClaimWriter does: until the log decides on the claim."""
    outcomes = CallOutcomes()
    match outcome:
        case CallDone():
            outcomes = CallOutcomes(done=(outcome,))
        case CallOutcomeUnknown():
            outcomes = CallOutcomes(unknown=(outcome,))
        case CallNotRun():
            outcomes = CallOutcomes(not_run=(outcome,))
    claims = (claim,) if claim else ()
    for _ in range(20):
        try:
            await log.refresh(0.0)
            result = claim and log.table.evaluate(claim, 0.0)
            if result is not None:
                return result
            if await log.append(outcomes, claims) and claim is None:
                return None
        except PlatformUnavailable:
            continue
    raise AssertionError("the log did not decide within 20 attempts")


async def test_two_writers_race_for_every_segment():
    store, _, _, (one, two) = make_logs(2)
    granted = []

    async def claim_all(log, owner):
        for number in range(30):
            claim = claim_of(f"k{number}", owner)
            result = await append(log, claim)
            if result.status is ClaimStatus.GRANTED:
                granted.append(claim.key)
                done = CallDone(claim.key, claim.claim_id, 200, "", b"r", True)
                await append(log, outcome=done)

    await asyncio.gather(claim_all(one, "n1"), claim_all(two, "n2"))
    assert sorted(granted) == sorted(f"k{n}" for n in range(30))
    # At least ninety segments went through eight slots. Only keys of snapshots were
    # deleted.
    assert len(store.list("claims/0/log/")) == POLICY.slots
    fresh = ClaimLog(MemoryPlatform(store), 0, POLICY, ManualClock())
    for number in range(30):
        assert (await append(fresh, claim_of(f"k{number}"))).status is ClaimStatus.DONE


async def test_paused_writer_does_not_write_into_a_place_used_again():
    # A put that is delayed until its slot was reused must fail, not overwrite it.
    _, _, (slow, _), (one, two) = make_logs(2)
    await append(one, claim_of("first"))

    async def reuse_slots(_):
        # Two whole rounds of the ring, so the same slot is next again.
        for number in range(2 * POLICY.slots):
            await append(two, claim_of(f"k{number}"))
        assert (await append(two, claim_of("late"))).status is ClaimStatus.GRANTED

    slow.before_put = reuse_slots
    assert (await append(one, claim_of("late", "n2"))).status is ClaimStatus.IN_PROGRESS


async def test_lost_reply_after_effect_is_read_back():
    store, _, (platform,), (log,) = make_logs(1)
    await log.refresh(0.0)
    platform.lose_replies = 1
    claim = claim_of("k")
    assert (await append(log, claim)).status is ClaimStatus.GRANTED
    assert (await append(log, claim_of("k"))).status is ClaimStatus.IN_PROGRESS
    # One segment: the second attempt found what the first had written.
    assert len(store.list("claims/0/log/")) == 1


async def test_lost_write_is_repeated_in_the_same_slot():
    store, _, (platform,), (log,) = make_logs(1)
    await log.refresh(0.0)
    platform.lose_writes = 1
    assert (await append(log, claim_of("k"))).status is ClaimStatus.GRANTED
    assert len(store.list("claims/0/log/")) == 1


async def test_compaction_races_an_append_and_another_compaction():
    store, _, (platform, _), (one, two) = make_logs(2)
    for number in range(4):
        await append(one, claim_of(f"k{number}"))
    await two.refresh(0.0)

    async def other_writes(_):
        assert (await append(two, claim_of("during"))).status is ClaimStatus.GRANTED
        await two.compact()

    platform.before_put = other_writes
    await one.compact()
    for log in (one, two, ClaimLog(MemoryPlatform(store), 0, POLICY, ManualClock())):
        for key in ("k0", "k3", "during"):
            result = await append(log, claim_of(key))
            assert result.status is ClaimStatus.IN_PROGRESS, key
    # The parts of the snapshot that lost the race are deleted; the other one has
    # five claims in two parts.
    assert len(store.list("claims/0/snapshot/")) == 2


async def test_open_claim_outlives_the_window_and_an_outcome_does_not():
    _, clock, _, (log,) = make_logs(1)
    done = claim_of("done")
    await append(log, done)
    await append(log, outcome=CallDone("done", done.claim_id, 200))
    await append(log, claim_of("open"))
    # A step of the wall clock doesn't end the window.
    clock.step_wall(10 * POLICY.window_s)
    await log.compact()
    assert (await append(log, claim_of("done"))).status is ClaimStatus.DONE
    clock.advance(2 * POLICY.window_s)
    await log.compact()
    status = log.table.evaluate(claim_of("open"), clock.monotonic()).status
    assert status is ClaimStatus.UNKNOWN
    assert (await append(log, claim_of("done"))).status is ClaimStatus.GRANTED


async def test_not_run_frees_the_key_even_if_recorded_before_its_claim():
    _, _, _, (log,) = make_logs(1)
    claim = claim_of("k")
    await append(log, outcome=CallNotRun("k", claim.claim_id))
    await log.append(CallOutcomes(), (claim,))
    assert log.table.evaluate(claim, 0.0).status is ClaimStatus.UNAVAILABLE
    other = claim_of("k", "n2")
    assert (await append(log, other)).status is ClaimStatus.GRANTED
    # Neither CallNotRun for another claim id frees the key, nor one that follows an
    # unknown outcome.
    await append(log, outcome=CallNotRun("k", "other"))
    await append(log, outcome=CallOutcomeUnknown("k", other.claim_id))
    await append(log, outcome=CallNotRun("k", other.claim_id))
    assert (await append(log, claim_of("k"))).status is ClaimStatus.UNKNOWN


async def test_restored_platform_gets_back_what_a_writer_knows():
    store, _, _, (one, two) = make_logs(2)
    await append(one, claim_of("before"))
    backup = store.snapshot()
    lost = claim_of("lost")
    await append(one, lost)
    await append(one, outcome=CallDone("lost", lost.claim_id, 201))
    await append(one, claim_of("lost open"))
    await store.restore(backup)
    assert (await append(one, claim_of("after"))).status is ClaimStatus.GRANTED
    for key, status in (
        ("before", ClaimStatus.IN_PROGRESS),
        ("lost", ClaimStatus.DONE),
        ("lost open", ClaimStatus.IN_PROGRESS),
    ):
        assert (await append(two, claim_of(key))).status is status, key


async def test_same_key_with_another_body_is_refused():
    _, _, _, (log,) = make_logs(1)
    await append(log, claim_of("k"))
    assert (await append(log, claim_of("k", body="c"))).status is ClaimStatus.REUSED


def test_idempotency_keys():
    wall_s = 1_800_000_000.0
    recent_hex = f"{int((wall_s - 30) * 1000):012x}"
    expired_hex = f"{int((wall_s - 700) * 1000):012x}"
    for key, result in (
        ("", ResultCode.IDEMPOTENCY_KEY_REQUIRED),
        ("a b", ResultCode.IDEMPOTENCY_KEY_INVALID),
        ("k" * 256, ResultCode.IDEMPOTENCY_KEY_INVALID),
        ("ké", ResultCode.IDEMPOTENCY_KEY_INVALID),
        (f"{expired_hex[:8]}-{expired_hex[8:]}-7abc-8def-0123456789ab", "4007"),
        (f"{recent_hex[:8]}-{recent_hex[8:]}-7abc-8def-0123456789ab", None),
        ("k" * 255, None),
    ):
        found = None
        try:
            check_idempotency_key(key, 600.0, wall_s)
        except TanagerkeelError as error:
            found = error.result
        if result == "4007":
            result = ResultCode.IDEMPOTENCY_KEY_EXPIRED
        assert found is result, key
    # Fields that give the same text when joined have different keys, so one account
    # or operation can't use the keys of another.
    assert claim_key("a", "b", "c", "d") != claim_key("a", "bc", "", "d")


@attrs.define
class NaiveClaims:
    """The model that the log must agree with: the owner of each key, without a log."""

    owners: dict = attrs.field(factory=dict)

    def claim(self, claim):
        return self.owners.setdefault(claim.key, claim) is claim

    def free(self, claim):
        if self.owners.get(claim.key) is claim:
            del self.owners[claim.key]


STEP = st.tuples(
    st.integers(0, 2),
    st.integers(0, 3),
    st.sampled_from(["claim", "free", "compact", "lose", "reload"]),
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(STEP, max_size=40))
def test_many_writers_agree_with_the_model(steps):
    async def run_steps():
        naive = NaiveClaims()
        granted_claims = {}
        _, clock, platforms, logs = make_logs(3)
        for node, key, kind in steps:
            log = logs[node]
            match kind:
                case "claim":
                    claim = claim_of(f"k{key}", f"n{node}")
                    result = await append(log, claim)
                    granted = result.status is ClaimStatus.GRANTED
                    assert granted == naive.claim(claim)
                    if granted:
                        granted_claims[key] = claim
                case "free" if key in granted_claims:
                    claim = granted_claims.pop(key)
                    await append(log, outcome=CallNotRun(claim.key, claim.claim_id))
                    naive.free(claim)
                case "compact":
                    await log.refresh(0.0)
                    # When a reply is lost, the snapshot may be stored or not.
                    with contextlib.suppress(PlatformUnavailable):
                        await log.compact()
                case "lose":
                    platforms[node].lose_replies = 1
                case "reload":
                    logs[node] = ClaimLog(platforms[node], 0, POLICY, clock)

    asyncio.run(run_steps())


def load_tests(loader, tests, pattern):
    return collect(globals())
