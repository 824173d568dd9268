"""Engines that turn slow become known to all nodes that use them."""

import random
import statistics

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.relay import SlowReport, SlowReports
from tanagerkeel.relay._slow_reports import MAX_SLOW_REPORTS, SLOW_RATIO, VALID_S
from tests.support import collect

SEED = 7
SLOW = ("e-1", 1)
SOUND = ("e-2", 1)


def _measured(*ratios, incarnation=SLOW, now=0.0):
    reports = SlowReports()
    for ratio in ratios:
        reports.record(incarnation, ratio, now)
    return reports


def _exchange(nodes, now):
    """Let each node read the reports of all others."""
    told = {name: node.reports(now) for name, node in nodes.items()}
    for name, node in nodes.items():
        for other, reports in told.items():
            if other != name:
                node.merge(other, reports, now)


def _ratio(node, incarnation, now, own_ratio=1.0):
    own_samples = node.own_samples(incarnation, now)
    return node.ratio(incarnation, own_ratio, own_samples, now)


def test_an_engine_that_peers_found_slow_is_slow_for_a_node_that_never_used_it():
    nodes = {"n1": SlowReports(), "n2": _measured(4.0, 4.0), "n3": _measured(4.0)}
    _exchange(nodes, 0.0)
    assert _ratio(nodes["n1"], SLOW, 0.0) == 4.0
    assert _ratio(nodes["n1"], SOUND, 0.0) == 1.0


def test_a_single_peer_or_few_samples_say_nothing():
    for peers in ((_measured(*[9.0] * 20),), (_measured(9.0), _measured(9.0))):
        nodes = {"n1": SlowReports()}
        nodes |= {f"p{i}": peer for i, peer in enumerate(peers)}
        _exchange(nodes, 0.0)
        assert _ratio(nodes["n1"], SLOW, 0.0) == 1.0


def test_without_reports_of_peers_the_own_ratio_counts():
    node = _measured(3.0, 3.0, 3.0)
    assert _ratio(node, SLOW, 0.0, own_ratio=2.5) == 2.5


def test_a_node_with_a_slow_link_reports_nothing_and_misleads_nobody():
    slow_link = SlowReports()
    for _ in range(4):
        for i in range(12):
            slow_link.record((f"e-{i}", 1), 5.0, 0.0)
    assert slow_link.reports(0.0) == ()
    # One engine is slow beyond the link.
    for _ in range(8):
        slow_link.record(SLOW, 20.0, 0.0)
    (report,) = slow_link.reports(0.0)
    assert report.backend_id == "e-1"
    assert 200 <= report.ratio_percent <= 400
    # For that node, each time includes its own link.
    nodes = {"n1": slow_link, "n2": _measured(4.0, 4.0), "n3": _measured(4.0, 4.0)}
    _exchange(nodes, 0.0)
    assert _ratio(slow_link, SLOW, 0.0, own_ratio=20.0) == 20.0


def test_a_peer_that_reports_each_engine_as_slow_is_outvoted():
    node = SlowReports()
    engines = [f"e-{i}" for i in range(16)]
    node.merge("n2", (SlowReport(e, 1, 2_000, 255, 0) for e in engines), 0.0)
    assert all(_ratio(node, (e, 1), 0.0) == 1.0 for e in engines)
    # Others measured two of them as expected, and one as slow.
    node.merge("n3", (SlowReport(e, 1, 100, 8, 0) for e in engines[:2]), 0.0)
    node.merge("n4", (SlowReport(engines[2], 1, 300, 8, 0),), 0.0)
    assert [_ratio(node, (e, 1), 0.0) for e in engines[:4]] == [1.0, 1.0, 3.0, 1.0]


def test_nodes_that_measured_an_engine_as_expected_say_so_once_it_is_reported():
    # Chance made three requests slow; thirty others were as expected.
    nodes = {f"s{i}": _measured(2.5) for i in range(3)}
    nodes |= {f"f{i}": _measured(1.0) for i in range(30)}
    nodes["n1"] = SlowReports()
    assert nodes["f1"].reports(0.0) == ()
    _exchange(nodes, 0.0)
    assert _ratio(nodes["n1"], SLOW, 0.0) == 2.5
    _exchange(nodes, 0.0)
    assert _ratio(nodes["n1"], SLOW, 0.0) == 1.0


def test_an_engine_that_is_back_to_normal_counts_as_such():
    nodes = {f"p{i}": _measured(4.0, 4.0) for i in range(4)}
    nodes["n1"] = SlowReports()
    _exchange(nodes, 0.0)
    assert _ratio(nodes["n1"], SLOW, 0.0) == 4.0
    for now in (1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0):
        for name in ("p0", "p1", "p2"):
            nodes[name].record(SLOW, 1.0, now)
        _exchange(nodes, now)
    assert _ratio(nodes["n1"], SLOW, 8.0) < SLOW_RATIO


def test_what_nobody_measures_any_more_fades_until_it_is_sound():
    nodes = {"n1": SlowReports(), "n2": _measured(4.0, 4.0), "n3": _measured(4.0)}
    _exchange(nodes, 0.0)
    ratios = [_ratio(nodes["n1"], SLOW, VALID_S * share) for share in (0, 0.5, 0.9, 1)]
    assert ratios[:2] == [4.0, 2.5]
    assert 1.0 < ratios[2] < SLOW_RATIO
    assert ratios[3] == 1.0
    assert nodes["n2"].reports(VALID_S) == ()


def test_a_new_incarnation_and_a_node_that_is_gone_leave_nothing():
    nodes = {"n1": SlowReports(), "n2": _measured(4.0, 4.0), "n3": _measured(4.0)}
    _exchange(nodes, 0.0)
    assert _ratio(nodes["n1"], ("e-1", 2), 0.0) == 1.0
    nodes["n1"].remove("n3")
    assert _ratio(nodes["n1"], SLOW, 0.0) == 1.0
    # A peer of an older build, or one with nothing to tell, reports nothing.
    nodes["n1"].merge("n2", (), 0.0)
    assert nodes["n1"]._peers == {}


def test_an_engine_that_is_slow_for_all_is_known_within_seconds_despite_losses():
    rng = random.Random(SEED)
    engines = [(f"e-{i}", 1) for i in range(30)]
    nodes = {f"n{i}": SlowReports() for i in range(40)}
    known_s = {}
    for tick in range(300):
        now = tick * 0.1
        for node in nodes.values():
            # A request in 1.4 s of each node; measurements vary by a factor.
            if rng.random() < 0.1 / 1.4:
                engine = rng.choice(engines)
                slow = 4.0 if engine == SLOW and now > 5.0 else 1.0
                node.record(engine, slow * rng.lognormvariate(0.0, 0.25), now)
        if tick % 20 == 0:
            told = {name: node.reports(now) for name, node in nodes.items()}
            for name, node in nodes.items():
                for other, reports in told.items():
                    if other != name and rng.random() > 0.1:
                        node.merge(other, reports, now)
        for name, node in nodes.items():
            if _ratio(node, SLOW, now) > SLOW_RATIO:
                known_s.setdefault(name, now - 5.0)
        wrong = sum(
            _ratio(node, engine, now) > SLOW_RATIO
            for node in nodes.values()
            for engine in engines
            if engine != SLOW
        )
        assert wrong <= 0.01 * len(nodes) * len(engines)
    assert len(known_s) == len(nodes)
    # Alone, a node sends it a request in 42 s.
    assert statistics.median(known_s.values()) < 10.0


@given(
    st.lists(
        st.tuples(st.text(max_size=80), st.integers(0, 2**53), st.floats(0, 1e9)),
        max_size=60,
    )
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_the_bytes_of_reports_are_bounded(samples):
    node = SlowReports()
    for backend_id, started_ms, ratio in samples:
        node.record((backend_id, started_ms), ratio, 0.0)
    reports = node.reports(19.0)
    assert len(reports) <= MAX_SLOW_REPORTS
    assert all(len(codec.pack_compact(report)) <= 83 for report in reports)


@given(st.lists(st.builds(SlowReport, st.text(), *[st.integers()] * 4), max_size=40))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_no_report_of_one_peer_changes_a_ratio(reports):
    node = SlowReports()
    node.merge("n2", reports, 0.0)
    for report in reports:
        assert _ratio(node, (report.backend_id, report.started_ms), 0.0, 1.25) == 1.25
    node.remove("n2")
    assert attrs.asdict(node) == attrs.asdict(SlowReports())


def load_tests(loader, tests, pattern):
    return collect(globals())
