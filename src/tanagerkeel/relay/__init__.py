"""Decisions on opaque requests: routes, backend servers, placement, retries."""

from tanagerkeel.relay._assignments import PEER_TIMEOUT_S, Assignment, AssignmentTable
from tanagerkeel.relay._backends import (
    BackendRecord,
    BackendServer,
    BackendTable,
    SendFailure,
    ServerState,
)
from tanagerkeel.relay._cold_limit import ColdStartLimiter
from tanagerkeel.relay._configuration import (
    CallerLimits,
    EngineProfile,
    RelayConfiguration,
    ServiceSpec,
)
from tanagerkeel.relay._deferral import should_defer
from tanagerkeel.relay._domain_load import (
    DomainLoad,
    DomainLoads,
    EngineLoad,
    engine_loads,
)
from tanagerkeel.relay._estimate import (
    LONG_PROMPT_TOKENS,
    Candidate,
    Demand,
    Estimate,
    estimate,
)
from tanagerkeel.relay._events import EventSplitter, StreamEvent
from tanagerkeel.relay._fleet_size import SMALL_FLEET_NODES
from tanagerkeel.relay._hold_off import HoldOffTable, parse_retry_after
from tanagerkeel.relay._load_sender import (
    LoadIntervals,
    LoadSender,
    load_intervals,
    told_domains,
)
from tanagerkeel.relay._messages import CallerRequest, Headers, ModelDemand, ReplyHead
from tanagerkeel.relay._migration import expected_pause_ms, should_migrate
from tanagerkeel.relay._not_run import NOT_RUN_STATUSES
from tanagerkeel.relay._pass_model import (
    DecodeBatch,
    Prefill,
    decode_ms,
    longest_pass_ms,
    prefill_ms,
    step_ms,
)
from tanagerkeel.relay._peer_choice import PeerCandidate, choose_peer
from tanagerkeel.relay._placement import (
    RelayPlacement,
    choose_placement,
    free_places,
)
from tanagerkeel.relay._ranks import Rank
from tanagerkeel.relay._rate_limit import (
    RateLimitTable,
    SendReport,
    parse_rate_limit,
)
from tanagerkeel.relay._retry_budget import SharedRetryBudget
from tanagerkeel.relay._routes import (
    CallerAccount,
    Route,
    RouteKind,
    WeightedService,
)
from tanagerkeel.relay._section_quarantine import (
    SectionQuarantine,
    SectionReport,
    StartReport,
)
from tanagerkeel.relay._slow_reports import SlowReport, SlowReports
from tanagerkeel.relay._store_contact import ContactReport
from tanagerkeel.relay._store_era import EraChange, StoreEra
from tanagerkeel.relay._store_position import StorePosition
from tanagerkeel.relay._unstarted_attempts import UnstartedAttempts
from tanagerkeel.relay._update_intervals import (
    UpdateIntervals,
    read_interval_s,
    repeat_intervals,
)
from tanagerkeel.relay._watching import (
    ChangeBatch,
    ChangeLog,
    EncodedChange,
    LargeValueCache,
    StoreChange,
    watchers,
)

__all__ = [
    "NOT_RUN_STATUSES",
    "LONG_PROMPT_TOKENS",
    "PEER_TIMEOUT_S",
    "SMALL_FLEET_NODES",
    "UpdateIntervals",
    "BackendServer",
    "BackendTable",
    "ChangeBatch",
    "BackendRecord",
    "CallerLimits",
    "CallerRequest",
    "Candidate",
    "ChangeLog",
    "CallerAccount",
    "ColdStartLimiter",
    "ContactReport",
    "DecodeBatch",
    "Demand",
    "DomainLoad",
    "DomainLoads",
    "EngineLoad",
    "EngineProfile",
    "EraChange",
    "Estimate",
    "EventSplitter",
    "Headers",
    "HoldOffTable",
    "AssignmentTable",
    "SendFailure",
    "ModelDemand",
    "SectionQuarantine",
    "SectionReport",
    "PeerCandidate",
    "RelayPlacement",
    "Prefill",
    "Rank",
    "RateLimitTable",
    "RelayConfiguration",
    "ReplyHead",
    "SharedRetryBudget",
    "Route",
    "RouteKind",
    "ServerState",
    "ServiceSpec",
    "SendReport",
    "SlowReport",
    "SlowReports",
    "StartReport",
    "StoreChange",
    "StoreEra",
    "StorePosition",
    "StreamEvent",
    "EncodedChange",
    "LargeValueCache",
    "LoadIntervals",
    "LoadSender",
    "UnstartedAttempts",
    "WeightedService",
    "Assignment",
    "choose_peer",
    "choose_placement",
    "decode_ms",
    "engine_loads",
    "estimate",
    "free_places",
    "load_intervals",
    "longest_pass_ms",
    "expected_pause_ms",
    "prefill_ms",
    "step_ms",
    "read_interval_s",
    "repeat_intervals",
    "watchers",
    "told_domains",
    "should_migrate",
    "parse_rate_limit",
    "parse_retry_after",
    "should_defer",
]
