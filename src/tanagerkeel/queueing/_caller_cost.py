"""
What a delay or a refusal of a request costs its caller.

Costs are in units of weight: the loss of a request of weight 1 that is not served.

Load pattern: bursts of requests of unlike size and rank that compete for the same
engines. A rank says who goes first; the weight and the late share say what is lost
when a request is late or not served at all.
"""

import attrs

__all__ = ["CallerCost", "CostRules", "RouteCost"]


def _positive(default: float) -> float:
    return attrs.field(default=default, validator=attrs.validators.gt(0))


def _share(default: float) -> float:
    return attrs.field(
        default=default,
        validator=[attrs.validators.ge(0), attrs.validators.le(1)],
    )


@attrs.frozen
class CallerCost:
    """
    What a caller loses.

    :param weight: loss when the request is not served.
    :param late_share: share of it that is lost when the request is late, from 0 to 1.
    """

    weight: float
    late_share: float

    def loss(self, first_s: float, due_s: float, give_up_s: float) -> float:
        """
        Return what is lost when the first event arrives at a time.

        :param first_s: monotonic time of the first event, in seconds.
        :param due_s: latest time that meets the latency objective.
        :param give_up_s: when the caller stops waiting.
        """
        if first_s > give_up_s:
            return self.weight
        return self.weight * self.late_share if first_s > due_s else 0.0


@attrs.frozen
class RouteCost:
    """
    What the operators state of the requests of one route.

    :param weight: loss when a request of mean length is not served.
    :param late_share: share of it that is lost when a request is late.
    """

    weight: float = _positive(1.0)
    late_share: float = _share(0.75)


@attrs.frozen
class CostRules:
    """
    How costs follow from a request's route and length; part of a node's settings.

    :param tokens_per_weight: where a route states no weight, a request weighs 1 plus
        its prompt tokens divided by this number.
    :param rank_factor: factor by which the weight decreases with each rank, where a
        route states none; 1 to 100.
    :param late_share: share of its weight that a late request loses, where its route
        states none.
    :param routes: what is stated, by the name of the route.
    """

    tokens_per_weight: float = _positive(10_000.0)
    rank_factor: float = attrs.field(
        default=2.0, validator=[attrs.validators.ge(1), attrs.validators.le(100)]
    )
    late_share: float = _share(0.75)
    routes: dict[str, RouteCost] = attrs.field(factory=dict)

    def cost(self, route: str, prompt_tokens: float, rank: int = 0) -> CallerCost:
        """
        Return what a request costs its caller.

        :param route: name of its route.
        :param prompt_tokens: length of its prompt; 0 for a plain service.
        :param rank: its rank; 0 is the most urgent.
        """
        stated = self.routes.get(route)
        if stated is not None:
            return CallerCost(stated.weight, stated.late_share)
        weight = 1.0 + prompt_tokens / self.tokens_per_weight
        return CallerCost(weight / self.rank_factor**rank, self.late_share)
