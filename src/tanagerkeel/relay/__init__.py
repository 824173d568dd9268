"""Decisions about opaque requests: routes, backend servers, placement, retries."""

from tanagerkeel.relay._backends import (
    BackendServer,
    BackendTable,
    Belief,
    Mishap,
    ServerState,
)
from tanagerkeel.relay._cold_shares import ColdShares
from tanagerkeel.relay._configuration import (
    CallerLimits,
    ClientAccount,
    EngineProfile,
    RelayConfiguration,
    Route,
    RouteKind,
    ServiceSpec,
    WeightedService,
)
from tanagerkeel.relay._estimate import Candidate, Demand, Estimate, estimate
from tanagerkeel.relay._events import EventSplitter, StreamEvent
from tanagerkeel.relay._ledger import PEER_SILENCE_S, Ledger, Work
from tanagerkeel.relay._messages import CallerRequest, Headers, ModelDemand, ReplyHead
from tanagerkeel.relay._moving import pause_ahead_ms, worth_moving
from tanagerkeel.relay._pass_model import (
    Reading,
    Writing,
    pass_ms,
    read_ms,
    step_ms,
    write_ms,
)
from tanagerkeel.relay._placement import LONG_TOKENS, Placement, choose
from tanagerkeel.relay._retry_shares import RetryShare
from tanagerkeel.relay._watching import (
    SMALL_FLEET,
    Batch,
    ChangeLog,
    StoreEvent,
    ToldEvent,
    ValueBook,
    watchers,
)
from tanagerkeel.relay._yielding import yields

__all__ = [
    "LONG_TOKENS",
    "PEER_SILENCE_S",
    "SMALL_FLEET",
    "BackendServer",
    "BackendTable",
    "Batch",
    "Belief",
    "CallerLimits",
    "CallerRequest",
    "Candidate",
    "ChangeLog",
    "ClientAccount",
    "ColdShares",
    "Demand",
    "EngineProfile",
    "Estimate",
    "EventSplitter",
    "Headers",
    "Ledger",
    "Mishap",
    "ModelDemand",
    "Placement",
    "Reading",
    "RelayConfiguration",
    "ReplyHead",
    "RetryShare",
    "Route",
    "RouteKind",
    "ServerState",
    "ServiceSpec",
    "StoreEvent",
    "StreamEvent",
    "ToldEvent",
    "ValueBook",
    "WeightedService",
    "Work",
    "Writing",
    "choose",
    "estimate",
    "pass_ms",
    "pause_ahead_ms",
    "read_ms",
    "step_ms",
    "watchers",
    "worth_moving",
    "write_ms",
    "yields",
]
