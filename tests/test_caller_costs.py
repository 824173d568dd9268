"""What a delay or a refusal costs callers, as settings, ranks and lengths say."""

import itertools
import json
import pathlib
import tempfile

from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.queueing import CallerCost, CostRules, RouteCost
from tanagerkeel.relay import Assignment, Candidate, Demand, estimate
from tanagerkeel.relay_entry import load_relay_settings
from tests.support import collect
from tests.test_pass_model import PROFILE
from tests.test_relay_placement import SERVERS, SHORT_PROMPT

REQUIRED_SETTINGS = {
    "node_id": "n",
    "failure_domain": "d",
    "callers_listen": "127.0.0.1:0",
    "readiness_listen": "127.0.0.1:0",
    "metrics_listen": "127.0.0.1:0",
    "news_listen": "127.0.0.1:0",
    "forward_listen": "127.0.0.1:0",
    "platform": "127.0.0.1:1",
}


def _load(**fields):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps({**REQUIRED_SETTINGS, **fields}))
        return load_relay_settings(path)


def _rejection(**fields):
    try:
        _load(**fields)
    except TanagerkeelError as error:
        return error
    return None


def test_without_settings_requests_cost_what_they_did_before():
    for tokens in (0, 5_000, 45_000, 133_000, 1_000_000):
        before = CallerCost(1.0 + tokens / 10_000, 0.75)
        assert CostRules().cost("chat", tokens) == before
        assert Demand(tokens, 100, 300.0, 250.0).cost == before
        assert Assignment("e1", tokens, 100, 250.0, 0.0, 1.0, 2.0).cost == before
        part = Assignment(
            "e1", tokens // 4, 0, 0.0, 0.0, 1.0, 2.0, full_prompt_tokens=tokens
        )
        assert part.cost == before
    settings = _load()
    assert settings.queueing.costs == CostRules()
    assert settings.placement.many_senders_from is None


def test_a_stated_cost_replaces_what_length_and_rank_say():
    costs = {"routes": {"chat": {"weight": 4.5, "late_share": 0.9}, "batch": {}}}
    rules = _load(queueing={"costs": costs}).queueing.costs
    assert rules.routes["chat"] == RouteCost(4.5, 0.9)
    for tokens, rank in itertools.product((0, 700_000), (0, 9)):
        assert rules.cost("chat", tokens, rank) == CallerCost(4.5, 0.9)
        assert rules.cost("batch", tokens, rank) == CallerCost(1.0, 0.75)
    assert rules.cost("other", 20_000, 0) == CallerCost(3.0, 0.75)


def test_each_rank_divides_the_weight_by_the_factor():
    weights = [CostRules().cost("", 10_000, rank).weight for rank in range(4)]
    assert weights == [2.0, 1.0, 0.5, 0.25]
    equal = CostRules(rank_factor=1.0)
    assert {equal.cost("", 10_000, rank).weight for rank in range(19)} == {2.0}


def test_settings_state_lengths_and_late_shares_for_all_routes():
    costs = {"tokens_per_weight": 1_000, "rank_factor": 3, "late_share": 0.63}
    rules = _load(queueing={"costs": costs}).queueing.costs
    assert rules.cost("any", 2_000, 1) == CallerCost(1.0, 0.63)


def test_invalid_costs_are_rejected_with_the_name_of_the_field():
    cases = (
        ({"queueing": {"costs": {"tokens_per_weight": 0}}}, "tokens_per_weight"),
        ({"queueing": {"costs": {"tokens_per_weight": "x"}}}, "tokens_per_weight"),
        ({"queueing": {"costs": {"rank_factor": 0.5}}}, "rank_factor"),
        ({"queueing": {"costs": {"rank_factor": 1e30}}}, "rank_factor"),
        ({"queueing": {"costs": {"late_share": 1.1}}}, "late_share"),
        ({"queueing": {"costs": {"late_share": -0.1}}}, "late_share"),
        ({"queueing": {"costs": {"routes": {"chat": {"weight": 0}}}}}, "weight"),
        ({"queueing": {"costs": {"routes": {"chat": {"weight": -1}}}}}, "weight"),
        ({"queueing": {"costs": {"routes": {"chat": {"late_share": 2}}}}}, "late_sh"),
        ({"queueing": {"costs": {"routes": ["chat"]}}}, "routes"),
        ({"queueing": {"every_service": "yes"}}, "every_service"),
        ({"placement": {"many_senders_from": 0}}, "many_senders_from"),
        ({"placement": {"many_senders_from": 1.5}}, "many_senders_from"),
        ({"placement": {"many_senders_from": "all"}}, "many_senders_from"),
        ({"cpu_share": 0}, "cpu_share"),
        ({"cpu_cores": -1}, "cpu_cores"),
    )
    for fields, name in cases:
        error = _rejection(**fields)
        assert error is not None, f"accepted: {fields}"
        assert error.result is ResultCode.SETTINGS_INVALID, fields
        assert name in str(error) and "TK-6002" in str(error), (fields, str(error))


def test_values_that_are_no_numbers_are_rejected():
    for value in (float("inf"), float("nan")):
        for costs in (
            {"tokens_per_weight": value},
            {"rank_factor": value},
            {"late_share": value},
            {"routes": {"chat": {"weight": value}}},
        ):
            assert _rejection(queueing={"costs": costs}) is not None, costs


def test_a_request_late_or_never_served_loses_its_share():
    cost = CallerCost(4.0, 0.75)
    assert cost.loss(first_s=1.0, due_s=1.0, give_up_s=2.0) == 0.0
    assert cost.loss(first_s=1.5, due_s=1.0, give_up_s=2.0) == 3.0
    assert cost.loss(first_s=2.1, due_s=1.0, give_up_s=2.0) == 4.0


def test_answers_that_cost_little_to_disturb_take_the_long_prompt():
    # An engine with answers of a low rank is preferred for a prefill that pauses them.
    def disturbed(cost):
        answer = Assignment(
            "e1", 5_000, 1_000, 250.0, 0.0, 0.5, 9.0, first_event_seen=True, cost=cost
        )
        candidate = Candidate(SERVERS[1], PROFILE, (answer,))
        return estimate(candidate, Demand(133_000, 688, 2_500.0, 1_000.0), 1.0)

    urgent = disturbed(CallerCost(4.0, 0.75)).others_loss
    low = disturbed(CallerCost(0.5, 0.75)).others_loss
    assert urgent > 0 and low == urgent / 8


def test_losses_scale_with_the_stated_weight():
    usual = SHORT_PROMPT
    stated = Demand(5_000, 1_376, 300.0, 250.0, cost=CallerCost(3.0, 0.75))
    busy = [Assignment(f"e{n}", 150_000, 500, 0.0, 0.0, 5.0, 9.0) for n in range(2)]
    candidate = Candidate(SERVERS[1], PROFILE, busy)
    before, after = (estimate(candidate, d, 0.0).own_loss for d in (usual, stated))
    assert before > 0 and abs(after - 2.0 * before) < 1e-9


def load_tests(loader, tests, pattern):
    return collect(globals())
