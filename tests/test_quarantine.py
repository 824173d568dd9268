"""Quarantine: which requests become suspects, are refused, or are cleared."""

import random

from tanagerkeel.quarantine import Quarantine, QuarantineEntry
from tanagerkeel.relay import UnstartedAttempts
from tests.support import collect

NOW = 100.0


def _run(quarantine, backend, *fingerprints, incarnation="1"):
    for name in fingerprints:
        quarantine.record_start(backend, f"{backend}-{name}", name, incarnation)


def _die(quarantine, backend, now=NOW):
    found = quarantine.record_death(backend, now)
    for attempt_id in list(quarantine._running_attempts.get(backend, {})):
        quarantine.record_end(backend, attempt_id)
    return found


def test_two_distinct_deaths_quarantine_a_request():
    quarantine = Quarantine()
    _run(quarantine, "e1", "poison")
    assert _die(quarantine, "e1") == ()
    assert quarantine.remaining_s("poison", NOW) == 0
    _run(quarantine, "e1", "poison", incarnation="2")
    assert _die(quarantine, "e1") == ("poison",)
    assert quarantine.remaining_s("poison", NOW) == 600
    assert quarantine.remaining_s("poison", NOW + 601) == 0


def test_a_death_recorded_twice_counts_once():
    quarantine = Quarantine()
    _run(quarantine, "e1", "innocent")
    assert quarantine.record_death("e1", NOW) == ()
    assert quarantine.record_death("e1", NOW + 1) == ()
    assert quarantine.remaining_s("innocent", NOW) == 0


def test_suspects_run_on_different_servers_and_bystanders_are_cleared():
    quarantine = Quarantine()
    names = ["poison", *(f"bystander-{n}" for n in range(5))]
    _run(quarantine, "e0", *names)
    _die(quarantine, "e0")
    placed = {}
    for name in names:
        free = (f"e{n}" for n in range(1, 9))
        backend = next(b for b in free if quarantine.allows(name, b))
        placed[name] = backend
        _run(quarantine, backend, f"fresh-{name}", name)
    assert len(set(placed.values())) == len(names)
    assert _die(quarantine, placed["poison"]) == ("poison",)
    for name in names[1:]:
        assert quarantine.remaining_s(name, NOW) == 0
        quarantine.clear_suspect(name)
        assert not quarantine.suspected(name)
    # The request that ran beside the poison request is now only a suspect.
    assert quarantine.suspected("fresh-poison")


def test_published_entries_quarantine_a_request_on_every_node():
    first, second, third = Quarantine(), Quarantine(), Quarantine()
    _run(first, "e1", "poison")
    _die(first, "e1")
    for entry in first.take_updates(NOW):
        second.merge(entry, NOW)
    assert first.take_updates(NOW) == ()
    assert second.suspected("poison")
    # The second node already knows of the first death, so one more is enough.
    _run(second, "e2", "poison")
    assert _die(second, "e2") == ("poison",)
    for entry in second.take_updates(NOW):
        third.merge(entry, NOW)
        first.merge(entry, NOW)
    assert third.remaining_s("poison", NOW) == first.remaining_s("poison", NOW) == 600


def test_the_listener_is_called_as_soon_as_there_is_an_entry():
    quarantine = Quarantine()
    calls = []
    quarantine.set_listener(lambda: calls.append(quarantine.take_updates(NOW)))
    _run(quarantine, "e1", "poison")
    _die(quarantine, "e1")
    assert [entry.fingerprint for entry in calls[0]] == ["poison"]


def test_a_death_that_two_nodes_observe_counts_once():
    first, second = Quarantine(), Quarantine()
    for node in (first, second):
        _run(node, "e1", "popular-prompt")
        _die(node, "e1")
    for entry in first.take_updates(NOW):
        second.merge(entry, NOW)
    assert second.remaining_s("popular-prompt", NOW) == 0


def test_a_suspicion_expires():
    quarantine = Quarantine()
    _run(quarantine, "e1", "unlucky")
    _die(quarantine, "e1")
    _run(quarantine, "e2", "unlucky", "other")
    assert _die(quarantine, "e2", NOW + 301) == ()


def test_memory_is_bounded():
    quarantine = Quarantine()
    source = random.Random(1)
    for number in range(6_000):
        quarantine.merge(QuarantineEntry(f"q{number}", 60.0), NOW)
        death_hashes = (f"{source.random()}",)
        quarantine.merge(QuarantineEntry(f"s{number}", 60.0, death_hashes), NOW)
    assert len(quarantine._quarantined_until_s) <= 4_096
    assert len(quarantine._suspects) <= 4_096
    assert quarantine.remaining_s("q5999", NOW) > 0


def test_a_crash_is_blamed_on_what_was_sent_before_the_next_start():
    quarantine = Quarantine()
    quarantine.record_start("e0", "before", "f-before", "1", 9.0)
    quarantine.record_start("e0", "after", "f-after", "1", 11.0)
    quarantine.carry_over("e0", "1", "2", 10.0)
    quarantine.record_death("e0", 12.0, "1")
    assert quarantine.suspected("f-before") and not quarantine.suspected("f-after")
    quarantine.record_death("e0", 13.0, "2")
    assert quarantine.suspected("f-after")


def test_unstarted_attempts_follow_the_incarnation_that_runs_them():
    attempts = UnstartedAttempts()
    attempts.add(("e0", 1), "before", ("aa",), 9.0)
    attempts.add(("e0", 1), "after", ("bb",), 11.0)
    attempts.carry_over(("e0", 1), ("e0", 2), 10.0)
    assert list(attempts.sections_of(("e0", 1))) == [("aa",)]
    assert list(attempts.sections_of(("e0", 2))) == [("bb",)]
    attempts.discard("after")
    assert not list(attempts.sections_of(("e0", 2)))


def load_tests(loader, tests, pattern):
    return collect(globals())
