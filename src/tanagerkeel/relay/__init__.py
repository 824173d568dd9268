"""Decisions on opaque requests: routes, backend servers, placement, retries."""

from tanagerkeel.relay._assignments import PEER_SILENCE_S, Ledger, Work
from tanagerkeel.relay._backends import (
    BackendServer,
    BackendTable,
    Belief,
    Mishap,
    ServerState,
)
from tanagerkeel.relay._cold_limit import ColdShares
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
from tanagerkeel.relay._deferral import yields
from tanagerkeel.relay._estimate import Candidate, Demand, Estimate, estimate
from tanagerkeel.relay._events import EventSplitter, StreamEvent
from tanagerkeel.relay._messages import CallerRequest, Headers, ModelDemand, ReplyHead
from tanagerkeel.relay._migration import pause_ahead_ms, worth_moving
from tanagerkeel.relay._pass_model import (
    DecodeBatch,
    Prefill,
    decode_ms,
    longest_pass_ms,
    prefill_ms,
    step_ms,
)
from tanagerkeel.relay._placement import LONG_TOKENS, Placement, choose
from tanagerkeel.relay._retry_budget import RetryShare
from tanagerkeel.relay._watching import (
    SMALL_FLEET,
    Batch,
    ChangeLog,
    StoreChange,
    ToldEvent,
    ValueBook,
    watchers,
)

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
    "DecodeBatch",
    "Demand",
    "EngineProfile",
    "Estimate",
    "EventSplitter",
    "Headers",
    "Ledger",
    "Mishap",
    "ModelDemand",
    "Placement",
    "Prefill",
    "RelayConfiguration",
    "ReplyHead",
    "RetryShare",
    "Route",
    "RouteKind",
    "ServerState",
    "ServiceSpec",
    "StoreChange",
    "StreamEvent",
    "ToldEvent",
    "ValueBook",
    "WeightedService",
    "Work",
    "choose",
    "decode_ms",
    "estimate",
    "longest_pass_ms",
    "pause_ahead_ms",
    "prefill_ms",
    "step_ms",
    "watchers",
    "worth_moving",
    "yields",
]
