"""Gateways and state that the parts of an entry node share."""

import random

import attrs

from tanagerkeel.admission import Admission
from tanagerkeel.clock import Clock
from tanagerkeel.configuration import ConfigurationHolder
from tanagerkeel.entry._claims_task import Claims
from tanagerkeel.entry._explanations import ExplanationLog
from tanagerkeel.entry._metrics import Metrics
from tanagerkeel.entry._settings import EntrySettings
from tanagerkeel.entry._tracing import Tracing
from tanagerkeel.fleet import FleetTable, PermitSource
from tanagerkeel.gateways.engines import EngineGateway
from tanagerkeel.gateways.peers import PeerBus
from tanagerkeel.gateways.platform import PlatformGateway
from tanagerkeel.gateways.services import ServiceGateway
from tanagerkeel.membership import MembershipHolder
from tanagerkeel.quarantine import Quarantine

__all__ = ["NodeContext"]


@attrs.define
class NodeContext:
    """
    Gateways, state and instrumentation of one node.

    :param settings: the node's settings.
    :param clock: clock of the node; tests advance it by hand.
    :param random: source of randomness for routing, sampling and jitter.
    :param engines: calls to engines.
    :param services: calls to plain services.
    :param platform: calls to the platform.
    :param configuration: the configuration in force.
    :param fleet: state of the backend servers in this failure domain.
    :param members: the node's view of which nodes are alive.
    :param permits: source of permits, which requests need at cold backend servers.
    :param claims: claims of service calls that may be executed at most once.
    :param quarantine: requests that must not run because they crashed backend servers.
    :param bus: messages between nodes; None with the control tasks off.
    :param metrics: counters and histograms for Prometheus.
    :param explanations: how recent requests were handled, for operators.
    :param tracing: creates the spans of requests.
    :param admission: decides which requests run, and in which order.
    """

    settings: EntrySettings
    clock: Clock
    random: random.Random
    engines: EngineGateway
    services: ServiceGateway
    platform: PlatformGateway
    configuration: ConfigurationHolder
    fleet: FleetTable
    members: MembershipHolder
    permits: PermitSource
    claims: Claims
    quarantine: Quarantine
    bus: PeerBus | None
    metrics: Metrics
    explanations: ExplanationLog
    tracing: Tracing
    admission: Admission = attrs.field()

    @admission.default
    def _make_admission(self) -> Admission:
        limits = self.settings.limits
        return Admission(self.clock, limits.max_queue, limits.max_streams)
