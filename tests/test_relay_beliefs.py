"""What a node believes of backend servers, through outages, restarts and failures."""

from tanagerkeel.relay import (
    BackendServer,
    BackendTable,
    Ledger,
    Mishap,
    ServerState,
    Work,
)
from tests.support import collect

FIRST = BackendServer("e1", 100, "models", "10.0.0.1:80", "zone-a", 8)
SECOND = BackendServer("e2", 100, "models", "10.0.0.2:80", "zone-b", 8)


def _table(*servers):
    table = BackendTable()
    for revision, server in enumerate(servers or (FIRST, SECOND), 1):
        table.put(server, revision, 0.0)
    return table


def _usable(table, now):
    return sorted(b.server.backend_id for b in table.usable("models", now))


def test_a_node_that_has_just_started_believes_a_removal_at_once():
    # Seen on a bench day: the first contact with the platform counted as the end of
    # an outage, and an engine that had left was used for two more seconds.
    table = _table()
    table.store_back(0.0)
    assert table.remove("e1", 0.2)
    assert _usable(table, 0.2) == ["e2"]


def test_entries_that_lapse_in_an_outage_are_kept_until_they_had_time_to_return():
    table = _table()
    table.store_lost()
    assert not table.remove("e1", 1.0)
    assert _usable(table, 1.0) == ["e1", "e2"]
    table.store_back(5.0)
    assert not table.remove("e2", 5.5)
    assert _usable(table, 6.9) == ["e1", "e2"]
    table.put(SECOND, 9, 6.5)
    # The bound holds whether or not anything has asked the table since.
    assert _usable(table, 7.0) == ["e2"]
    assert table.expire(7.1) == ("e1",)
    assert table.remove("e2", 7.2)


def test_a_draining_entry_that_vanishes_in_an_outage_is_gone():
    table = _table()
    leaving = BackendServer(
        "e1", 100, "models", "10.0.0.1:80", "zone-a", 8, ServerState.DRAINING
    )
    table.put(leaving, 7, 1.0)
    assert _usable(table, 1.0) == ["e2"]
    table.store_lost()
    assert table.remove("e1", 2.0)


def test_another_life_under_the_same_id_forgets_what_was_known():
    table = _table()
    for _ in range(5):
        table.failed(FIRST, Mishap.UNREACHABLE, 1.0)
    assert table.get("e1").shunned_until_s > 1.0
    reborn = BackendServer(
        "e1", 200, "models", "10.0.0.1:80", "zone-a", 8, cold_ms=3_000
    )
    table.put(reborn, 9, 2.0)
    belief = table.get("e1")
    assert belief.shunned_until_s == 0.0
    assert belief.cold(4.9) and not belief.cold(5.1)
    # What is still under way from the life before says nothing of this one.
    table.failed(FIRST, Mishap.UNREACHABLE, 2.5)
    assert belief.shunned_until_s == 0.0


def test_an_older_revision_changes_nothing():
    table = _table()
    table.put(SECOND, 9, 1.0)
    leaving = BackendServer(
        "e2", 100, "models", "10.0.0.2:80", "zone-b", 8, ServerState.DRAINING
    )
    assert not table.put(leaving, 5, 1.5)
    assert _usable(table, 2.0) == ["e1", "e2"]


def test_a_peers_word_counts_only_against_no_own_success():
    table = _table()
    table.succeeded(FIRST, 10.0)
    table.told_gone("e1", 10.5)
    table.told_gone("e2", 10.5)
    assert table.get("e1").shunned_until_s <= 10.5
    assert table.get("e2").shunned_until_s > 10.5


def test_one_failure_fades_and_many_last():
    table = _table()
    table.failed(FIRST, Mishap.ERROR, 0.0)
    assert table.get("e1").failing(0.0) <= 0.25
    for _ in range(10):
        table.failed(SECOND, Mishap.ERROR, 0.0)
    assert table.get("e2").failing(0.0) > 0.8
    assert table.get("e2").failing(20.0) < 0.05


def test_a_service_is_out_of_reach_when_every_last_word_is_a_loss():
    # An incident: the node's own domain was taken out, and the others were cut off.
    table = _table()
    assert not table.out_of_reach("models", 0.5)
    table.failed(FIRST, Mishap.SILENT, 1.0)
    assert not table.out_of_reach("models", 1.0)
    table.failed(SECOND, Mishap.UNREACHABLE, 1.2)
    assert table.out_of_reach("models", 1.3)
    # A refusal is a word, too.
    table.failed(SECOND, Mishap.SHED, 1.5)
    assert not table.out_of_reach("models", 1.6)
    table.failed(SECOND, Mishap.UNREACHABLE, 2.0)
    table.take_domain_out("zone-b")
    assert table.out_of_reach("models", 2.1)
    table.reached(FIRST, 2.5)
    assert not table.out_of_reach("models", 2.6)
    assert table.get("e1").shunned_until_s <= 2.5


def test_a_domain_that_comes_back_counts_as_cold():
    table = _table()
    table.take_domain_out("zone-a")
    assert _usable(table, 1.0) == ["e2"]
    table.take_domain_in("zone-a", 8.0)
    assert table.get("e1").cold(7.9)
    assert not table.get("e2").cold(7.9)


def _work(backend_id="e1", end_s=5.0):
    return Work(backend_id, 5_000, 1_000, 250.0, 0.0, 0.1, end_s)


def test_the_ledger_takes_only_newer_news_and_drops_silent_peers():
    ledger = Ledger()
    ledger.learn("n2", (1, 5), [_work(), _work()], 1.0)
    ledger.learn("n2", (1, 4), [], 1.1)
    assert len(ledger.by_backend(1.2)["e1"]) == 2
    # The peer has started again: its numbers begin anew.
    ledger.learn("n2", (2, 1), [_work()], 1.3)
    assert len(ledger.by_backend(1.4)["e1"]) == 1
    assert ledger.by_backend(6.4) == {}


def test_work_of_a_peer_that_should_long_have_ended_counts_no_more():
    ledger = Ledger()
    ledger.learn("n2", (1, 1), [_work(end_s=1.0), _work(end_s=4.0)], 1.0)
    assert len(ledger.by_backend(2.4)["e1"]) == 2
    assert len(ledger.by_backend(2.6)["e1"]) == 1


def load_tests(loader, tests, pattern):
    return collect(globals())
