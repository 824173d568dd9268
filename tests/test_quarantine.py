"""Quarantine: which requests become suspects, are refused, or are cleared."""

import random

from tanagerkeel.quarantine import Quarantine, QuarantineEntry, QuarantineRecord
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


def _record(remaining_s=600.0, deaths=("d1", "d2"), quarantined=True):
    return QuarantineRecord("poison", remaining_s, tuple(deaths), quarantined, "n1")


def test_a_repetition_never_extends_a_quarantine():
    quarantine = Quarantine()
    assert quarantine.merge_record(_record(), NOW, "n1")
    for second in range(600):
        # As a node whose clock stands still would repeat it.
        assert not quarantine.merge_record(_record(), NOW + second, "n2")
    assert quarantine.remaining_s("poison", NOW + 599) == 1
    assert quarantine.remaining_s("poison", NOW + 600) == 0


def test_a_late_repetition_does_not_begin_a_quarantine_anew():
    for repeated in (_record(), _record(deaths=("d1",)), _record(300, ("d2",), False)):
        quarantine = Quarantine()
        quarantine.merge_record(_record(), NOW)
        for after_s in (600, 700, 1_100):
            assert not quarantine.merge_record(repeated, NOW + after_s)
            assert quarantine.remaining_s("poison", NOW + after_s) == 0
            assert not quarantine.suspected("poison")


def test_a_repetition_without_evidence_does_not_extend_a_quarantine():
    # Builds that send no evidence repeat nothing, but datagrams may come twice.
    quarantine = Quarantine()
    quarantine.merge(QuarantineEntry("poison", 600.0), NOW)
    quarantine.merge(QuarantineEntry("poison", 600.0), NOW + 500)
    assert quarantine.remaining_s("poison", NOW + 500) == 100
    quarantine.merge(QuarantineEntry("poison", 600.0), NOW + 700)
    assert quarantine.remaining_s("poison", NOW + 700) == 0


def test_a_repetition_never_extends_a_suspicion():
    quarantine = Quarantine()
    suspicion = _record(300.0, ("d1",), False)
    quarantine.merge_record(suspicion, NOW)
    quarantine.merge_record(suspicion, NOW + 299)
    _run(quarantine, "e2", "poison")
    assert _die(quarantine, "e2", NOW + 301) == ()


def test_the_time_that_is_left_falls_as_it_is_passed_on():
    source = Quarantine()
    source.merge_record(_record(), NOW)
    for hop in range(1, 10):
        (record,) = source.records_after("", 8, NOW + 10 * hop)
        target = Quarantine()
        target.merge_record(record, NOW + 10 * hop)
        source = target
    assert source.remaining_s("poison", NOW + 90) == 510


def test_the_time_that_is_left_is_bounded_at_the_receiver():
    for remaining_s, expected_s in (
        (1e9, 600),
        (float("inf"), 600),
        (float("nan"), 0),
        (0.0, 0),
        (-5.0, 0),
    ):
        quarantine = Quarantine()
        quarantine.merge_record(_record(remaining_s), NOW)
        assert quarantine.remaining_s("poison", NOW) == expected_s, remaining_s


def test_new_deaths_begin_a_quarantine_anew():
    quarantine = Quarantine()
    quarantine.merge_record(_record(), NOW)
    for backend in ("e1", "e2"):
        _run(quarantine, backend, "poison")
        _die(quarantine, backend, NOW + 700)
    assert quarantine.remaining_s("poison", NOW + 700) == 600
    assert quarantine.merge_record(_record(deaths=("d7", "d8")), NOW + 800)
    assert quarantine.remaining_s("poison", NOW + 800) == 600


def test_deaths_that_two_nodes_saw_quarantine_as_long_as_those_of_one():
    first, second = Quarantine(node_id="n1"), Quarantine(node_id="n2")
    _run(first, "e1", "poison")
    _die(first, "e1")
    _run(second, "e2", "poison")
    _die(second, "e2", NOW + 10)
    record = second.record("poison", NOW + 10)
    assert first.merge_record(record, NOW + 15, "n2")
    assert first.remaining_s("poison", NOW + 15) == 600
    assert record.remaining_s == 300


def test_endless_new_evidence_does_not_extend_a_quarantine_for_ever():
    quarantine = Quarantine()
    for number in range(1_000):
        deaths = (f"d{2 * number}", f"d{2 * number + 1}")
        quarantine.merge_record(_record(deaths=deaths), NOW + number)
    assert quarantine.remaining_s("poison", NOW + 1_000) == 0


def test_tables_with_the_same_requests_have_the_same_digest():
    first, second = Quarantine(), Quarantine()
    assert first.digest(NOW) == 0
    for fingerprint in ("a", "b", "c"):
        first.merge(QuarantineEntry(fingerprint, 600.0), NOW)
    for fingerprint in ("c", "b", "a"):
        second.merge(QuarantineEntry(fingerprint, 500.0), NOW)
    assert first.digest(NOW) == second.digest(NOW) != 0
    assert first.digest(NOW + 550) != second.digest(NOW + 550) == 0


def test_records_are_read_page_by_page():
    quarantine = Quarantine()
    for number in range(50):
        quarantine.merge(QuarantineEntry(f"q{number:02}", 600.0), NOW)
        quarantine.merge(QuarantineEntry(f"s{number:02}", 600.0, ("d",)), NOW)
    found, after = [], ""
    while page := quarantine.records_after(after, 8, NOW):
        assert len(page) <= 8
        found += [record.fingerprint for record in page]
        after = found[-1]
    assert found == sorted(found) and len(set(found)) == len(found) == 100


def test_the_evidence_of_ended_quarantines_is_bounded():
    quarantine = Quarantine()
    for number in range(12_000):
        now = NOW + number
        quarantine.merge_record(
            QuarantineRecord(f"q{number}", 0.5, (f"{number}",), True), now
        )
    assert len(quarantine._evidence) <= 4_096 + 1
    quarantine.merge_record(_record(), NOW + 20_000)
    quarantine.merge_record(_record(), NOW + 21_000)
    assert set(quarantine._evidence) == {"poison"}


def test_a_request_that_is_cleared_at_one_node_is_not_quarantined_at_another():
    # A popular request that ran beside one that crashes engines, at two nodes in turn:
    # neither node knew that the other one had cleared it.
    first, second = Quarantine(node_id="n1"), Quarantine(node_id="n2")
    _run(first, "e1", "popular")
    _die(first, "e1")
    second.merge_record(first.record("popular", NOW), NOW, "n1")
    first.clear_suspect("popular")
    assert first.take_clearances() == ("popular",)
    second.merge_record(first.clearance("popular"), NOW, "n1")
    assert not second.suspected("popular")
    _run(second, "e2", "popular")
    assert _die(second, "e2") == ()


def test_a_quarantine_by_deaths_that_a_node_has_cleared_is_a_suspicion_there():
    # The second node has missed the clearance, and quarantines the request by itself.
    first, second = Quarantine(node_id="n1"), Quarantine(node_id="n2")
    _run(first, "e1", "popular")
    _die(first, "e1")
    second.merge_record(first.record("popular", NOW), NOW, "n1")
    first.clear_suspect("popular")
    _run(second, "e2", "popular")
    assert _die(second, "e2") == ("popular",)
    first.merge_record(second.record("popular", NOW), NOW, "n2")
    assert first.remaining_s("popular", NOW) == 0 and first.suspected("popular")
    # It ends there once the clearance arrives.
    second.merge_record(first.clearance("popular"), NOW, "n1")
    assert second.remaining_s("popular", NOW) == 0


def test_a_request_that_has_completed_before_its_crashes_is_quarantined():
    quarantine = Quarantine()
    _run(quarantine, "e1", "poison")
    _die(quarantine, "e1")
    quarantine.clear_suspect("poison")
    for backend in ("e2", "e3"):
        _run(quarantine, backend, "poison")
        _die(quarantine, backend)
    assert quarantine.remaining_s("poison", NOW) == 600


def test_clearances_are_bounded_and_end():
    quarantine = Quarantine()
    for number in range(6_000):
        quarantine.merge(QuarantineEntry(f"s{number}", 60.0, ("d",)), NOW)
        quarantine.clear_suspect(f"s{number}")
    assert len(quarantine._cleared) <= 4_096
    assert len(quarantine.take_clearances()) <= 256
    quarantine.merge(QuarantineEntry("other", 60.0), NOW + 1_000)
    assert not quarantine._cleared


def load_tests(loader, tests, pattern):
    return collect(globals())
