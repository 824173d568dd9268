"""Detection of failure domains that a network partition makes unreachable."""

from tanagerkeel.relay import BackendServer, BackendTable, SendFailure
from tests.support import collect

DOMAINS = ("zone-a", "zone-b", "zone-c")
SERVERS_PER_DOMAIN = 6


def _table():
    table = BackendTable()
    for number in range(SERVERS_PER_DOMAIN * len(DOMAINS)):
        server = _server(number)
        table.put(server, number + 1, 0.0)
    return table


def _server(number):
    domain = DOMAINS[number // SERVERS_PER_DOMAIN]
    return BackendServer(f"e{number}", 1, "models", f"10.0.0.{number}:80", domain, 8)


def _lose(table, numbers, now):
    for number in numbers:
        table.record_failure(_server(number), SendFailure.UNREACHABLE, now)


def test_a_domain_is_suspected_after_several_losses_without_data_between():
    table = _table()
    _lose(table, [6], 1.0)
    assert not table.domain_suspected("zone-b", 1.0)
    _lose(table, [7], 1.1)
    assert table.domain_suspected("zone-b", 1.1)
    assert not table.domain_cut_off("zone-b", 1.1)
    _lose(table, [8, 9], 1.3)
    assert table.domain_cut_off("zone-b", 1.3)
    assert not table.domain_suspected("zone-a", 1.3)


def test_repeated_losses_of_one_server_do_not_make_its_domain_suspected():
    table = _table()
    for tenth in range(10):
        _lose(table, [6], 1.0 + tenth / 10)
    assert not table.domain_suspected("zone-b", 2.0)


def test_any_data_from_the_domain_ends_the_suspicion():
    # Several engines of one failure domain crash at once, others there still answer.
    for record_data in (
        lambda table: table.record_data(_server(10), 1.2),
        lambda table: table.record_success(_server(10), 1.2),
        lambda table: table.record_failure(_server(10), SendFailure.SHED, 1.2),
        lambda table: table.record_connection(_server(10), 1.2),
    ):
        table = _table()
        _lose(table, [6, 7, 8, 9], 1.0)
        assert table.domain_cut_off("zone-b", 1.0)
        record_data(table)
        assert not table.domain_suspected("zone-b", 1.2)


def test_silent_engines_do_not_make_their_domain_suspected():
    table = _table()
    for number in (6, 7, 8, 9):
        table.record_failure(_server(number), SendFailure.SILENT, 1.0)
    assert not table.domain_suspected("zone-b", 1.0)


def test_old_losses_do_not_count():
    table = _table()
    _lose(table, [6, 7, 8, 9], 1.0)
    assert table.domain_cut_off("zone-b", 2.9)
    assert not table.domain_suspected("zone-b", 3.1)


def test_a_service_is_unreachable_when_all_domains_are_before_all_servers_are_tried():
    table = _table()
    for first in (0, 6, 12):
        _lose(table, range(first, first + 4), 1.0)
    assert table.service_unreachable("models", 1.1)
    table.record_data(_server(3), 1.2)
    assert not table.service_unreachable("models", 1.2)


def test_refused_connections_of_a_suspected_domain_are_not_reported_as_crashes():
    table = _table()
    _lose(table, [6], 1.0)
    table.record_gone(_server(6), 1.0)
    assert table.gone_backends(1.0) == ("e6",)
    _lose(table, [7], 1.1)
    table.record_gone(_server(7), 1.1)
    assert table.gone_backends(1.1) == ()


def load_tests(loader, tests, pattern):
    return collect(globals())
