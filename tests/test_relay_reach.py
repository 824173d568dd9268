"""Failure domains behind a cut, replayed loss by loss."""

from tanagerkeel.relay import BackendServer, BackendTable, Mishap
from tests.support import collect

DOMAINS = ("zone-a", "zone-b", "zone-c")
EACH = 6


def _table():
    table = BackendTable()
    for number in range(EACH * len(DOMAINS)):
        server = _server(number)
        table.put(server, number + 1, 0.0)
    return table


def _server(number):
    domain = DOMAINS[number // EACH]
    return BackendServer(f"e{number}", 1, "models", f"10.0.0.{number}:80", domain, 8)


def _lose(table, numbers, now):
    for number in numbers:
        table.failed(_server(number), Mishap.UNREACHABLE, now)


def test_a_cut_is_told_from_the_losses_of_several_with_no_word_between():
    table = _table()
    _lose(table, [6], 1.0)
    assert not table.domain_suspected("zone-b", 1.0)
    _lose(table, [7], 1.1)
    assert table.domain_suspected("zone-b", 1.1)
    assert not table.domain_cut_off("zone-b", 1.1)
    _lose(table, [8, 9], 1.3)
    assert table.domain_cut_off("zone-b", 1.3)
    assert not table.domain_suspected("zone-a", 1.3)


def test_the_same_one_lost_again_and_again_tells_nothing_of_its_domain():
    table = _table()
    for tenth in range(10):
        _lose(table, [6], 1.0 + tenth / 10)
    assert not table.domain_suspected("zone-b", 2.0)


def test_any_word_from_the_domain_ends_the_suspicion():
    # Several engines of one domain crash at once, others there go on writing.
    for hear in (
        lambda table: table.heard(_server(10), 1.2),
        lambda table: table.succeeded(_server(10), 1.2),
        lambda table: table.failed(_server(10), Mishap.SHED, 1.2),
        lambda table: table.reached(_server(10), 1.2),
    ):
        table = _table()
        _lose(table, [6, 7, 8, 9], 1.0)
        assert table.domain_cut_off("zone-b", 1.0)
        hear(table)
        assert not table.domain_suspected("zone-b", 1.2)


def test_silence_of_busy_engines_is_no_cut():
    table = _table()
    for number in (6, 7, 8, 9):
        table.failed(_server(number), Mishap.SILENT, 1.0)
    assert not table.domain_suspected("zone-b", 1.0)


def test_old_losses_tell_nothing():
    table = _table()
    _lose(table, [6, 7, 8, 9], 1.0)
    assert table.domain_cut_off("zone-b", 2.9)
    assert not table.domain_suspected("zone-b", 3.1)


def test_a_node_that_is_cut_from_all_domains_is_out_of_reach_before_it_tried_all():
    table = _table()
    for first in (0, 6, 12):
        _lose(table, range(first, first + 4), 1.0)
    assert table.out_of_reach("models", 1.1)
    table.heard(_server(3), 1.2)
    assert not table.out_of_reach("models", 1.2)


def test_refused_connections_behind_a_cut_are_not_told_as_crashes():
    table = _table()
    _lose(table, [6], 1.0)
    table.refused(_server(6), 1.0)
    assert table.refusing(1.0) == ("e6",)
    _lose(table, [7], 1.1)
    table.refused(_server(7), 1.1)
    assert table.refusing(1.1) == ()


def load_tests(loader, tests, pattern):
    return collect(globals())
