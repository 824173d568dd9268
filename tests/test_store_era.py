"""Eras of the platform's store: what an answer's era says about earlier answers."""

from tanagerkeel.relay import EraChange, StoreEra
from tests.support import collect


def _changes(*values):
    era = StoreEra()
    return [era.observe(value) for value in values], era.current


def test_the_first_era_says_nothing_about_earlier_answers():
    assert _changes("7") == ([EraChange.SAME], 7)
    assert _changes("7", "7") == ([EraChange.SAME] * 2, 7)
    assert _changes("0", "0") == ([EraChange.SAME] * 2, 0)


def test_an_era_after_answers_without_one_is_newer():
    assert _changes(None, "1") == ([EraChange.SAME, EraChange.NEWER], 1)


def test_a_higher_era_is_newer_also_when_some_were_missed():
    assert _changes("1", "2", "9")[0][1:] == [EraChange.NEWER] * 2


def test_a_lower_era_is_older_and_changes_nothing():
    assert _changes("3", "2") == ([EraChange.SAME, EraChange.OLDER], 3)


def test_an_answer_without_an_era_counts_as_the_same_era():
    assert _changes("3", None, "3") == ([EraChange.SAME] * 3, 3)


def test_an_era_that_is_not_a_number_is_reported_and_changes_nothing():
    for value in ("", "x", "-1", "1.5", "٣", "1" * 5_000, str(2**63)):
        changes, current = _changes("3", value, "4")
        assert changes == [EraChange.SAME, EraChange.UNREADABLE, EraChange.NEWER]
        assert current == 4, value


def load_tests(loader, tests, pattern):
    return collect(globals())
