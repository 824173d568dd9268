"""Small fleets, reports and requests for tests of routing and the fleet table."""

from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    Catalog,
    Configuration,
    FailureDomain,
    Model,
)
from tanagerkeel.fleet import Dispatch, FleetTable
from tanagerkeel.gateways.engines import LoadReport
from tanagerkeel.requests import LengthClass, ModelRequest

DOMAIN = "cebu-1"
MODEL = "petition-summary"


def engines(count, memory_tokens=400_000, **overrides):
    return tuple(
        BackendServer(
            name=f"engine-{index:02}",
            kind=BackendKind.ENGINE,
            address=f"127.0.0.1:{9_000 + index}",
            failure_domain=DOMAIN,
            models=(MODEL,),
            memory_tokens=memory_tokens,
            **overrides,
        )
        for index in range(count)
    )


def catalog(servers, out=False, revision=1):
    return Catalog(
        revision,
        Configuration(
            models=(Model(MODEL),),
            failure_domains=(FailureDomain(DOMAIN, "central-philippines", out),),
            backend_servers=tuple(servers),
        ),
    )


def table_of(servers, now=100.0, **report):
    """Return a table with one report of every server at ``now``."""
    table = FleetTable(DOMAIN)
    table.configure(catalog(servers))
    for server in servers:
        table.record_report(server.name, report_of(**report), now)
    return table


def report_of(incarnation="i-1", **overrides):
    values = {"prefill_rate": 10_000.0, "decode_rate": 30.0} | overrides
    return LoadReport(incarnation, **values)


def dispatch_of(
    backend, attempt_id, tokens=1_000, urgent=True, sent_s=100.0, blocks=()
):
    return Dispatch(backend, attempt_id, tokens, tokens + 100, urgent, blocks, sent_s)


def request_of(tokens=1_000, blocks=(), max_tokens=100, **overrides):
    length_class = LengthClass.SHORT if tokens <= 8_000 else LengthClass.LONG
    values = {
        "request_id": f"r-{tokens}",
        "account": "agency-1",
        "model": MODEL,
        "prompt": "",
        "length_class": length_class,
        "deadline_s": 1_000.0,
        "received_s": 100.0,
        "fingerprint": "f",
    } | overrides
    return ModelRequest(
        prompt_tokens=tokens, max_tokens=max_tokens, blocks=blocks, **values
    )


def snapshot_of(table, name, now):
    return next(s for s in table.snapshots(now) if s.server.name == name)
