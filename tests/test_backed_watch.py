"""A watch of the store and the call that backs it: the first answer wins."""

import asyncio
import unittest.mock

import attrs

from tanagerkeel.clock import SystemClock
from tanagerkeel.gateways.platform import Changes, HistoryLost, PlatformUnavailable
from tanagerkeel.relay_entry import _backed_watch
from tanagerkeel.relay_entry._backed_watch import BackedWatch
from tanagerkeel.relay_entry._confirmation import ConfirmationRequests
from tests.support import collect

WAIT_MS = 20
# Longest time of a test; beyond it something hangs.
TIMEOUT_S = 5.0
DOWN = PlatformUnavailable("no answer in time")


@attrs.define
class ScriptedStore:
    """A store whose calls with and without a wait each end as told."""

    watch_arriving: bool = False
    watch: asyncio.Future = attrs.field(factory=asyncio.Future)
    backing: asyncio.Future = attrs.field(factory=asyncio.Future)
    calls: list[int] = attrs.field(factory=list)

    async def changes(self, prefix, after, wait_ms):
        self.calls.append(wait_ms)
        return await (self.watch if wait_ms else self.backing)


def revision(number):
    return Changes((), number)


def start(store, confirmations=None):
    backed = BackedWatch(store, SystemClock(), confirmations or ConfirmationRequests())
    return asyncio.create_task(backed.changes("", 5, WAIT_MS))


async def until_backed(store):
    async with asyncio.timeout(TIMEOUT_S):
        while len(store.calls) < 2:
            await asyncio.sleep(0.001)


async def finish(task):
    async with asyncio.timeout(TIMEOUT_S):
        return await task


def overdue_soon():
    return unittest.mock.patch.object(_backed_watch, "OVERDUE_S", 0.01)


async def test_a_watch_that_is_answered_in_time_is_the_only_call():
    store = ScriptedStore()
    store.watch.set_result(revision(6))
    answer = await finish(start(store))
    assert (answer.changes.revision, store.calls) == (6, [WAIT_MS])


async def test_the_backing_call_answers_for_a_silent_watch():
    store = ScriptedStore()
    store.backing.set_result(revision(7))
    with overdue_soon():
        before_s = SystemClock().boottime()
        answer = await finish(start(store))
    assert (answer.changes.revision, store.calls) == (7, [WAIT_MS, 0])
    # It confirms up to its own start, which is after the end of the wait.
    assert answer.confirmed_s >= before_s + WAIT_MS / 1_000


async def test_one_of_the_two_calls_may_fail_in_either_order():
    for failing, answered in (("watch", "backing"), ("backing", "watch")):
        store = ScriptedStore()
        with overdue_soon():
            task = start(store)
            await until_backed(store)
            getattr(store, failing).set_exception(DOWN)
            await asyncio.sleep(0.01)
            assert not task.done()
            getattr(store, answered).set_result(revision(8))
            assert (await finish(task)).changes.revision == 8


async def test_the_call_fails_when_both_do_and_when_the_history_is_lost():
    for backing, error in ((DOWN, PlatformUnavailable), (HistoryLost(), HistoryLost)):
        store = ScriptedStore()
        with overdue_soon():
            task = start(store)
            await until_backed(store)
            store.watch.set_exception(PlatformUnavailable("no answer in time"))
            store.backing.set_exception(backing)
            try:
                await finish(task)
            except error:
                continue
        raise AssertionError(backing)


async def test_an_answer_that_is_arriving_is_waited_for():
    store = ScriptedStore(watch_arriving=True)
    with overdue_soon():
        task = start(store)
        await asyncio.sleep(0.1)
        assert store.calls == [WAIT_MS]
        store.watch.set_result(revision(9))
        assert (await finish(task)).changes.revision == 9


async def test_a_request_for_a_confirmation_leads_to_one_call():
    store, confirmations = ScriptedStore(), ConfirmationRequests()
    task = start(store, confirmations)
    requests = [asyncio.create_task(confirmations.request(TIMEOUT_S)) for _ in "abc"]
    await until_backed(store)
    assert not confirmations.wanted
    store.backing.set_result(revision(5))
    await finish(task)
    confirmations.confirm()
    await finish(asyncio.gather(*requests))
    assert store.calls == [WAIT_MS, 0]


def load_tests(loader, tests, pattern):
    return collect(globals())
