"""The data classes of a configuration document."""

import enum

import attrs

__all__ = [
    "BackendKind",
    "BackendServer",
    "ClientAccount",
    "Configuration",
    "EngineOrderSpec",
    "FailureDomain",
    "LengthClassPolicy",
    "Market",
    "Model",
    "Operation",
    "Service",
]


class BackendKind(enum.StrEnum):
    """What a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Market:
    """
    A market that client accounts belong to.

    :param name: unique name.
    :param region: region that the market is served from.
    """

    name: str
    region: str


@attrs.frozen
class ClientAccount:
    """
    A client account and what it may call.

    :param name: unique name.
    :param market: name of its market.
    :param key_digests: SHA-256 digests of its bearer keys, in hex.
    :param weight: share of capacity relative to other client accounts.
    :param models: names of models it may call.
    :param services: names of plain services it may call.
    """

    name: str
    market: str
    key_digests: tuple[str, ...]
    weight: float = 1.0
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@attrs.frozen
class Model:
    """
    A model that engines serve.

    :param name: name that callers use in requests.
    :param version: version that engines should load.
    :param max_prompt_tokens: longest prompt, in tokens.
    :param max_output_tokens: longest answer, in tokens.
    """

    name: str
    version: str = "1"
    max_prompt_tokens: int = 1_000_000
    max_output_tokens: int = 4_096


@attrs.frozen
class Operation:
    """
    One operation of a plain service.

    :param name: name in the request path.
    :param idempotent: whether a call may be repeated without further effect.
    :param timeout_s: time limit of a call, in seconds.
    """

    name: str
    idempotent: bool = False
    timeout_s: float = 10.0


@attrs.frozen
class Service:
    """
    A plain service: it offers named operations rather than a model.

    :param name: name in the request path.
    :param operations: the operations that callers may call.
    """

    name: str
    operations: tuple[Operation, ...] = ()


@attrs.frozen
class FailureDomain:
    """
    A failure domain: entry nodes and backend servers that may fail together.

    :param name: unique name.
    :param region: region that it lies in.
    :param out: whether operators have taken it out of service; it then gets no
        new work.
    """

    name: str
    region: str
    out: bool = False


@attrs.frozen
class EngineOrderSpec:
    """
    The desired state of an engine; an empty field leaves the engine unchanged.

    :param version: model version to load.
    :param adapters: names of the adapters to load.
    :param role: ``both``, ``prefill`` or ``decode``.
    """

    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"


@attrs.frozen
class BackendServer:
    """
    A backend server: a model engine or an instance of a plain service.

    :param name: unique name.
    :param kind: engine or service.
    :param address: ``IP:PORT`` of its HTTP interface.
    :param failure_domain: name of its failure domain.
    :param models: models it serves, for an engine.
    :param services: plain services it serves, for a service.
    :param memory_tokens: KV cache memory, in tokens, for an engine.
    :param cold_limit: maximum number of concurrent requests until it is warm.
    :param leaving: whether operators are removing it; it then gets no new work.
    :param checks_fencing: whether it rejects orders with an old fencing number.
    :param deduplicates: whether it recognises repeated Idempotency-Keys itself and
        runs the call of each at most once.
    :param order: desired state, for an engine.
    """

    name: str
    kind: BackendKind
    address: str
    failure_domain: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    memory_tokens: int = 400_000
    cold_limit: int = 2
    leaving: bool = False
    checks_fencing: bool = True
    deduplicates: bool = False
    order: EngineOrderSpec = EngineOrderSpec()


@attrs.frozen
class LengthClassPolicy:
    """
    The bound between the length classes, and their default deadlines.

    :param short_max_tokens: longest prompt of the short class, in tokens.
    :param short_deadline_s: default deadline of a short request, in seconds.
    :param long_deadline_s: default deadline of a long request, in seconds.
    :param gang_deadline_s: default deadline of a gang request, whose prompt is
        split over several engines, in seconds.
    """

    short_max_tokens: int = 8_000
    short_deadline_s: float = 30.0
    long_deadline_s: float = 300.0
    gang_deadline_s: float = 900.0


@attrs.frozen
class Configuration:
    """
    The whole document that operators submit.

    :param submission_id: unique id of the submission; set when it is submitted.
    :param history: ids of the submissions before it, newest first, so that an
        operator whose reply was lost can tell that the submission took effect.
    """

    submission_id: str = ""
    history: tuple[str, ...] = ()
    markets: tuple[Market, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
    length_classes: LengthClassPolicy = LengthClassPolicy()
