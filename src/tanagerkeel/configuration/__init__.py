"""The configuration document that operators submit: data classes and validation."""

from tanagerkeel.configuration._catalog import Catalog, hash_key
from tanagerkeel.configuration._document import (
    BackendKind,
    BackendServer,
    ClientAccount,
    Configuration,
    EngineOrderSpec,
    FailureDomain,
    LengthClassPolicy,
    Market,
    Model,
    Operation,
    Service,
)
from tanagerkeel.configuration._holder import ConfigurationHolder
from tanagerkeel.configuration._pools import engine_pool, service_pool
from tanagerkeel.configuration._replication import (
    ConfigurationPatch,
    PatchLog,
    apply_patch,
    configuration_digest,
    decode_document,
    encode_document,
    make_patch,
    normalise,
)
from tanagerkeel.configuration._replication_messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
)
from tanagerkeel.configuration._text import Difference, diff, parse, render
from tanagerkeel.configuration._validation import Violation, validate

__all__ = [
    "BackendKind",
    "BackendServer",
    "Catalog",
    "ClientAccount",
    "Configuration",
    "ConfigurationAnswer",
    "ConfigurationHolder",
    "ConfigurationPatch",
    "ConfigurationQuery",
    "Difference",
    "EngineOrderSpec",
    "FailureDomain",
    "LengthClassPolicy",
    "Market",
    "Model",
    "Operation",
    "PatchLog",
    "Service",
    "Violation",
    "apply_patch",
    "configuration_digest",
    "decode_document",
    "diff",
    "encode_document",
    "engine_pool",
    "hash_key",
    "make_patch",
    "normalise",
    "parse",
    "render",
    "service_pool",
    "validate",
]
