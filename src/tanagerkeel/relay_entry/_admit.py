"""Whether a request may be relayed at all, and for whom."""

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.relay import CallerRequest, ClientAccount, Route, ServiceSpec
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["ELSEWHERE_S", "RETRY_AFTER_S", "Admitted", "Refusal", "admit"]

# Another node may know more: a caller may come back to one almost at once, in seconds.
ELSEWHERE_S = 0.05
# When coming back helps although nothing is known of it, in seconds.
RETRY_AFTER_S = 0.3
# Until this node knows more of the platform, in seconds.
UNCONFIRMED_S = 0.2


@attrs.frozen
class Refusal:
    """
    An answer of the node's own.

    :param code: what it says.
    :param reason: the decision's inputs, for the log.
    :param retry_after_s: when coming back helps, in seconds; None when it doesn't.
    """

    code: ResultCode
    reason: str
    retry_after_s: float | None = None


@attrs.frozen
class Admitted:
    """
    A request that may be relayed.

    :param route: its route.
    :param service: the service that runs it.
    :param account: its client account; None on a public route.
    :param version: the configuration's version that decided.
    """

    route: Route
    service: ServiceSpec
    account: ClientAccount | None
    version: int

    @property
    def priority(self) -> int:
        """Its rank; that of the client account goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def admit(request: CallerRequest, state: RelayState) -> Admitted | Refusal:
    """Return on which terms a request is relayed, or why it isn't."""
    configuration = state.configuration
    if configuration is None:
        return Refusal(
            ResultCode.NO_CONFIGURATION, "no configuration yet", UNCONFIRMED_S
        )
    version = configuration.version
    route = configuration.route_for(request.host, request.path)
    if route is None:
        return Refusal(ResultCode.NOT_FOUND, f"no route in version {version}")
    account = None
    if configuration.accounts is not None and not route.public:
        if not state.confirmed:
            age_s = state.confirmed_age_s
            return Refusal(
                ResultCode.NO_CONFIGURATION,
                f"keys of version {version} last confirmed {age_s:.2f} s ago",
                ELSEWHERE_S,
            )
        account = configuration.account_for(request.key) if request.key else None
        if account is None:
            return Refusal(
                ResultCode.UNAUTHENTICATED, f"no account in version {version}"
            )
    service = configuration.service(route.service_for(request.request_id))
    if service is None:
        return Refusal(
            ResultCode.NO_BACKEND, f"route {route.name} names no service", UNCONFIRMED_S
        )
    return Admitted(route, service, account, version)
