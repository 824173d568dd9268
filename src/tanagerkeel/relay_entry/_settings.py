"""The settings of a node that relays opaque requests."""

import pathlib

import attrs

from tanagerkeel import codec
from tanagerkeel.addresses import split_address
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.client_limits import ProcessLimits
from tanagerkeel.queueing import CostRules

__all__ = [
    "PlacementSettings",
    "QueueingRules",
    "RelayBounds",
    "RelaySettings",
    "load_relay_settings",
]


def _validate_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    try:
        split_address(value)
    except ValueError as error:
        raise ValueError(f"{attribute.name}: {error}") from error


def _positive_field(default: float) -> float:
    return attrs.field(default=default, validator=attrs.validators.gt(0))


@attrs.frozen
class RelayBounds:
    """
    Bounds that the deployment sets; the defaults are those of small deployments.

    :param config_ms: longest time for which a request is refused by an older version of
        the configuration, in milliseconds.
    :param revoke_ms: longest time for which a key is accepted after its revocation, in
        milliseconds.
    :param strict_revoke: whether this bound also holds while the store can't be
        reached.
    :param grace_s: time from the stop signal until the process is killed, in seconds.
    :param drain_ms: longest time for which requests are still sent to a backend server
        that has begun to drain, in milliseconds.
    :param retry_ratio: retries allowed for each request, over all nodes.
    :param retry_extra: further retries allowed in each window, over all nodes.
    :param retry_window_s: length of that window, in seconds.
    :param longest_hold_ms: longest reservation of engine memory, in milliseconds.
    :param longest_hold_off_s: longest time for which a backend server may ask to be
        sent nothing, in seconds; a longer one is cut to it.
    """

    config_ms: int = _positive_field(2_000)
    revoke_ms: int = _positive_field(5_000)
    strict_revoke: bool = True
    grace_s: float = _positive_field(8.0)
    drain_ms: int = _positive_field(2_000)
    retry_ratio: float = _positive_field(0.2)
    retry_extra: float = _positive_field(100.0)
    retry_window_s: float = _positive_field(10.0)
    longest_hold_ms: int = _positive_field(20_000)
    longest_hold_off_s: float = _positive_field(60.0)


@attrs.frozen
class QueueingRules:
    """
    How requests that wait are ordered and turned away.

    :param costs: what a delay or a refusal costs callers.
    :param every_service: whether the requests of all services are ordered, and not only
        those of engines whose routes have different ranks.
    """

    costs: CostRules = CostRules()
    every_service: bool = False


@attrs.frozen
class PlacementSettings:
    """
    How backend servers are chosen.

    :param many_senders_from: number of nodes from which on each node counts on sends of
        others that it learns of late; None for never.
    :param shares_slow: whether nodes tell each other which backend servers are slow.
    """

    many_senders_from: int | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(attrs.validators.gt(0)),
    )
    shares_slow: bool = False

    def many_senders(self, nodes: int) -> bool:
        """
        Return whether a node learns of most sends of others late.

        :param nodes: number of nodes in the fleet.
        """
        return self.many_senders_from is not None and nodes >= self.many_senders_from


@attrs.frozen
class RelaySettings:
    """
    Settings of one node; every address is ``IP:PORT`` with an IP number.

    :param node_id: unique name of the node.
    :param failure_domain: its failure domain.
    :param callers_listen: where callers connect.
    :param readiness_listen: where the load balancer checks readiness.
    :param metrics_listen: where metrics are served.
    :param news_listen: where peers send their datagrams.
    :param forward_listen: where peers forward callers' requests to.
    :param platform: the address of the platform's store.
    :param bounds: bounds that the deployment sets.
    :param log_lines_per_s: maximum number of log lines per second, averaged over a few
        seconds.
    :param drain_delay_s: how long a stopping node still accepts callers after it
        reports that it isn't ready, in seconds; the load balancer checks each second
        and removes a node after two failed checks.
    :param queueing: how requests that wait are ordered and turned away.
    :param placement: how backend servers are chosen.
    :param cpu_share: share of the time of its cores that the VM gives the node.
    :param memory_mb: memory of the VM, in megabytes; bounds what callers may hold.
    :param max_open_files: descriptors of the process, which bound the connections.
    :param cpu_cores: the VM's cores. Where share and cores are small, callers connect
        to the node while its program is still being loaded.
    """

    node_id: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    callers_listen: str = attrs.field(validator=_validate_address)
    readiness_listen: str = attrs.field(validator=_validate_address)
    metrics_listen: str = attrs.field(validator=_validate_address)
    news_listen: str = attrs.field(validator=_validate_address)
    forward_listen: str = attrs.field(validator=_validate_address)
    platform: str = attrs.field(validator=_validate_address)
    bounds: RelayBounds = RelayBounds()
    log_lines_per_s: int = _positive_field(200)
    drain_delay_s: float = attrs.field(default=2.6, validator=attrs.validators.ge(0))
    queueing: QueueingRules = QueueingRules()
    placement: PlacementSettings = PlacementSettings()
    cpu_share: float = _positive_field(1.0)
    cpu_cores: float = _positive_field(1.0)
    memory_mb: float = _positive_field(ProcessLimits().memory_mb)
    max_open_files: int = _positive_field(ProcessLimits().max_open_files)

    @property
    def process_limits(self) -> ProcessLimits:
        """What the VM gives the process."""
        return ProcessLimits(self.memory_mb, self.max_open_files)


def load_relay_settings(path: pathlib.Path) -> RelaySettings:
    """
    Return the settings in a JSON file.

    :raises TanagerkeelError: SETTINGS_UNREADABLE or SETTINGS_INVALID, which names the
        path of every invalid value.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TanagerkeelError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    try:
        return codec.decode(data, RelaySettings, lenient=True)
    except codec.InvalidValue as error:
        raise TanagerkeelError(ResultCode.SETTINGS_INVALID, str(error)) from error
