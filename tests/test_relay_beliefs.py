"""The table of backend servers in outages, restarts and failures; peers' requests."""

from tanagerkeel.relay import (
    Assignment,
    AssignmentTable,
    BackendServer,
    BackendTable,
    SendFailure,
    ServerState,
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
    # Guards against taking the first contact with the platform for the end of an
    # outage: an engine that had left was then used for two more seconds.
    table = _table()
    table.mark_store_reachable(0.0)
    assert table.remove("e1", 0.2)
    assert _usable(table, 0.2) == ["e2"]


def test_a_node_whose_first_call_failed_believes_a_removal():
    # Before its first contact with the store, a node knows no entry that could lapse.
    table = BackendTable()
    table.mark_store_unreachable(0.0)
    for revision, server in enumerate((FIRST, SECOND), 1):
        table.put(server, revision, 1.0)
    table.mark_store_reachable(1.0)
    assert table.remove("e1", 1.5)
    assert _usable(table, 1.5) == ["e2"]


def test_entries_that_expire_in_an_outage_are_kept_until_servers_can_reregister():
    table = _table()
    table.mark_store_unreachable(0.5)
    assert not table.remove("e1", 1.0)
    assert _usable(table, 1.0) == ["e1", "e2"]
    table.mark_store_reachable(5.0)
    assert not table.remove("e2", 5.5)
    assert _usable(table, 6.9) == ["e1", "e2"]
    table.put(SECOND, 9, 6.5)
    # The entry is not used after this time even if expire() has not run.
    assert _usable(table, 7.0) == ["e2"]
    assert table.expire(7.1) == ("e1",)
    assert table.remove("e2", 7.2)


def test_outages_in_series_keep_a_missing_entry_for_two_seconds_of_contact():
    # Each return of the store began the time anew in which the entry may come back.
    table = _table()
    now = 1.0
    contact_s = 0.0
    while _usable(table, now) == ["e1", "e2"]:
        table.mark_store_unreachable(now)
        now += 3.0
        table.mark_store_reachable(now)
        table.put(SECOND, 100, now)
        table.remove("e1", now)
        now += 1.5
        contact_s += 1.5
        assert contact_s <= 3.0
    assert table.expire(now) == ("e1",)


def test_a_draining_server_whose_entry_vanishes_in_an_outage_is_dropped():
    table = _table()
    draining = BackendServer(
        "e1", 100, "models", "10.0.0.1:80", "zone-a", 8, ServerState.DRAINING
    )
    table.put(draining, 7, 1.0)
    assert _usable(table, 1.0) == ["e2"]
    table.mark_store_unreachable(1.5)
    assert table.remove("e1", 2.0)


def test_a_new_incarnation_under_the_same_id_starts_without_history():
    table = _table()
    for _ in range(5):
        table.record_failure(FIRST, SendFailure.UNREACHABLE, 1.0)
    assert table.get("e1").backoff_until_s > 1.0
    restarted = BackendServer(
        "e1", 200, "models", "10.0.0.1:80", "zone-a", 8, cold_ms=3_000
    )
    table.put(restarted, 9, 2.0)
    record = table.get("e1")
    assert record.backoff_until_s == 0.0
    assert record.is_cold(4.9) and not record.is_cold(5.1)
    # A send to the previous incarnation that fails later doesn't count for this one.
    table.record_failure(FIRST, SendFailure.UNREACHABLE, 2.5)
    assert record.backoff_until_s == 0.0


def test_an_older_revision_is_ignored():
    table = _table()
    table.put(SECOND, 9, 1.0)
    draining = BackendServer(
        "e2", 100, "models", "10.0.0.2:80", "zone-b", 8, ServerState.DRAINING
    )
    assert not table.put(draining, 5, 1.5)
    assert _usable(table, 2.0) == ["e1", "e2"]


def test_a_peers_report_is_ignored_after_an_own_success():
    table = _table()
    table.record_success(FIRST, 10.0)
    table.record_gone_report("e1", 10.5)
    table.record_gone_report("e2", 10.5)
    assert table.get("e1").backoff_until_s <= 10.5
    assert table.get("e2").backoff_until_s > 10.5


def test_one_failure_counts_little_and_the_failure_rate_decays():
    table = _table()
    table.record_failure(FIRST, SendFailure.ERROR, 0.0)
    assert table.get("e1").failure_rate(0.0) <= 0.25
    for _ in range(10):
        table.record_failure(SECOND, SendFailure.ERROR, 0.0)
    assert table.get("e2").failure_rate(0.0) > 0.8
    assert table.get("e2").failure_rate(20.0) < 0.05


def test_a_service_is_unreachable_when_the_last_send_to_every_server_was_lost():
    # Guards against a node that stays ready although it reaches no backend server: its
    # own failure domain was taken out, and it was cut off from the others.
    table = _table()
    assert not table.service_unreachable("models", 0.5)
    table.record_failure(FIRST, SendFailure.SILENT, 1.0)
    assert not table.service_unreachable("models", 1.0)
    table.record_failure(SECOND, SendFailure.UNREACHABLE, 1.2)
    assert table.service_unreachable("models", 1.3)
    # A refused request shows that the server can be reached.
    table.record_failure(SECOND, SendFailure.SHED, 1.5)
    assert not table.service_unreachable("models", 1.6)
    table.record_failure(SECOND, SendFailure.UNREACHABLE, 2.0)
    table.take_domain_out("zone-b")
    assert table.service_unreachable("models", 2.1)
    table.record_connection(FIRST, 2.5)
    assert not table.service_unreachable("models", 2.6)
    assert table.get("e1").backoff_until_s <= 2.5


def test_a_domain_that_comes_back_counts_as_cold():
    table = _table()
    table.take_domain_out("zone-a")
    assert _usable(table, 1.0) == ["e2"]
    table.restore_domain("zone-a", 8.0)
    assert table.get("e1").is_cold(7.9)
    assert not table.get("e2").is_cold(7.9)


def _assignment(backend_id="e1", end_s=5.0):
    return Assignment(backend_id, 5_000, 1_000, 250.0, 0.0, 0.1, end_s)


def test_only_newer_updates_of_peers_are_applied_and_silent_peers_ignored():
    table = AssignmentTable()
    table.update_peer("n2", (1, 5), [_assignment(), _assignment()], 1.0)
    table.update_peer("n2", (1, 4), [], 1.1)
    assert len(table.by_backend(1.2)["e1"]) == 2
    # The peer has restarted, so that its sequence numbers begin again.
    table.update_peer("n2", (2, 1), [_assignment()], 1.3)
    assert len(table.by_backend(1.4)["e1"]) == 1
    assert table.by_backend(6.4) == {}


def test_overdue_requests_of_a_peer_are_ignored():
    table = AssignmentTable()
    table.update_peer(
        "n2", (1, 1), [_assignment(end_s=1.0), _assignment(end_s=4.0)], 1.0
    )
    assert len(table.by_backend(2.4)["e1"]) == 2
    assert len(table.by_backend(2.6)["e1"]) == 1


def load_tests(loader, tests, pattern):
    return collect(globals())
