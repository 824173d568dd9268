"""Admission of requests: route, client account and service, or a refusal."""

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.relay import (
    CallerAccount,
    CallerRequest,
    Rank,
    Route,
    ServiceSpec,
)
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["OTHER_NODE_RETRY_S", "CAPACITY_RETRY_S", "Admitted", "Refusal", "admit"]

# Retry-After when another node may be able to serve the request at once, in seconds.
OTHER_NODE_RETRY_S = 0.05
# Retry-After when the time at which capacity becomes free is unknown, in seconds.
CAPACITY_RETRY_S = 0.3
# Retry-After until this node has read a usable configuration, in seconds.
CONFIGURATION_RETRY_S = 0.2


@attrs.frozen
class Refusal:
    """
    A response by which the node itself refuses a request.

    :param code: the result code, which also determines the HTTP status.
    :param reason: the inputs of the decision; written to the log only.
    :param retry_after_s: value of the Retry-After header, in seconds; None when a
        retry doesn't help.
    :param confirmable: whether a confirmation of the configuration makes it a decision
        for good.
    """

    code: ResultCode
    reason: str
    retry_after_s: float | None = None
    confirmable: bool = False


@attrs.frozen
class Admitted:
    """
    What the configuration in force determines for an admitted request.

    :param route: the route that matches its host and path.
    :param service: the service that runs it.
    :param account: its client account; None when no key is needed.
    :param version: version of the configuration that it was checked against.
    :param rank: its rank; None where its service has one rank only.
    """

    route: Route
    service: ServiceSpec
    account: CallerAccount | None
    version: int
    rank: Rank | None = None


def admit(request: CallerRequest, state: RelayState) -> Admitted | Refusal:
    """Check a request against the configuration in force."""
    configuration = state.configuration
    if configuration is None:
        return Refusal(
            ResultCode.NO_CONFIGURATION, "no configuration yet", CONFIGURATION_RETRY_S
        )
    if not state.informed:
        return Refusal(
            ResultCode.NO_CONFIGURATION,
            "peers have not told yet which requests are in quarantine",
            OTHER_NODE_RETRY_S,
        )
    version = configuration.version
    route = configuration.route_for(request.host, request.path)
    if route is None:
        return _final_refusal(ResultCode.NOT_FOUND, "no route", state)
    account = None
    if configuration.accounts is not None and not route.public:
        if not state.confirmed:
            return Refusal(
                ResultCode.NO_CONFIGURATION,
                f"keys of version {version} {_age(state)}",
                _confirmed_retry_s(state),
            )
        account = configuration.account_for(request.key) if request.key else None
        if account is None:
            return _final_refusal(ResultCode.UNAUTHENTICATED, "no account", state)
    service = configuration.service(route.service_for(request.request_id))
    if service is None:
        return Refusal(
            ResultCode.NO_BACKEND,
            f"route {route.name} names an unknown service",
            CONFIGURATION_RETRY_S,
        )
    rank = configuration.rank_of(service.name, route, account)
    return Admitted(route, service, account, version, rank)


def _final_refusal(code: ResultCode, reason: str, state: RelayState) -> Refusal:
    """Refuse for good if no newer version may say otherwise, else until a retry."""
    reason = f"{reason} in version {state.configuration.version}, {_age(state)}"
    if state.current:
        return Refusal(code, reason)
    return Refusal(
        ResultCode.NO_CONFIGURATION,
        reason,
        _confirmed_retry_s(state),
        confirmable=True,
    )


def _confirmed_retry_s(state: RelayState) -> float:
    """Return when the caller may come again to a node whose keys are confirmed."""
    if state.peers.others:
        return OTHER_NODE_RETRY_S
    return max(OTHER_NODE_RETRY_S, state.confirmable_in_s or 0.0)


def _age(state: RelayState) -> str:
    return f"last confirmed {state.confirmed_age_s:.2f} s ago"
