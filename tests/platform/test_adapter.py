"""The platform adapter: decoding, rejected input, and wire names used nowhere else."""

import asyncio
import copy
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

from hypothesis import given, settings
from hypothesis import strategies as st

from panunumpa import PlatformBackendCodec, PlatformStore, PlatformStoreDecoder
from panunumpa._check_output import difference_path
from panunumpa._configuration_check import check_document
from panunumpa._field_names import wire_value
from tanagerkeel.gateways.exchange import RawHead
from tanagerkeel.gateways.platform import (
    CompareFailed,
    HistoryLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from tanagerkeel.relay import RouteKind, ServerState
from tanagerkeel.relay_entry import UnreadableEntry
from tests.fixtures import serving
from tests.platform.fixtures import (
    KEY,
    configuration,
    respond_with_id,
    route,
    running_relay,
    stream_script,
)
from tests.runner import ROOT
from tests.support import collect

# Names of the platform's wire, which only the adapter and its tests may use.
WIRE_NAMES = re.compile(
    r"(?i)tanagerkeel-(attempt|deadline|target|tenant|response|token|prompt|model"
    r"|helpers|not-exec|weight|cold|instance|expected|request|length)"
    r"|kvUsed|storeRevision|coldRemainingMs|TANAGERKEEL_BOOT|kv-(key|range|watch|txn)"
    r"|op/config|op/evacuate|apiKeys|trafficSplit|canResume|targetLatencyMs"
)


def _rejection_reason(key, value):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    try:
        PlatformStoreDecoder().decode_written(key, raw)
    except UnreadableEntry as error:
        return error.reason
    return None


def test_wire_names_appear_only_in_the_adapter():
    sources = [
        *(ROOT / "src").rglob("*.py"),
        *(ROOT / "bench").rglob("*.py"),
        *(p for p in (ROOT / "tests").rglob("*.py") if "platform" not in p.parts),
    ]
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in sources
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_a_configuration_is_decoded_into_typed_messages():
    document = configuration(7)
    document["routes"][0]["trafficSplit"] = [
        {"service": "booking", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    update = PlatformStoreDecoder().decode_written(
        "op/config", json.dumps(document).encode()
    )
    found = update.configuration
    assert found.version == 7
    lookup, reserve, chat = found.routes
    assert [s.weight for s in lookup.services] == [90.0, 10.0]
    assert reserve.kind is RouteKind.UNSAFE and not reserve.repeatable
    assert chat.repeatable and chat.gap_objective_ms == 250
    engine = found.service("models").engine
    assert (engine.prefill_tokens_per_ms, engine.ms_per_million_pairs) == (206.0, 0.138)
    assert found.account_for("key-of-acme").name == "acme"


def test_requests_are_split_by_weight():
    document = configuration(7, routes=[route("lookup", "safe", "booking")])
    document["routes"][0]["trafficSplit"] = [
        {"service": "booking", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    update = PlatformStoreDecoder().decode_written(
        "op/config", json.dumps(document).encode()
    )
    chosen = [update.configuration.routes[0].service_for(f"r{n}") for n in range(2_000)]
    assert 0.87 < chosen.count("booking") / len(chosen) < 0.93


def test_valid_entries_are_decoded_and_foreign_ones_ignored():
    entry = {
        "service": "models",
        "address": "10.0.0.9:8080",
        "zone": "zone-a",
        "slots": 8,
        "state": "draining",
        "coldRemainingMs": 1_200,
        "born": 1_700_000_000_000,
        "sequence": 4,
    }
    server = (
        PlatformStoreDecoder()
        .decode_written("servers/i-1", json.dumps(entry).encode())
        .server
    )
    assert server.state is ServerState.DRAINING
    assert (server.backend_id, server.cold_ms) == ("i-1", 1_200)
    for invalid_field in (
        {"slots": "8"},
        {"slots": True},
        {"state": "paused"},
        {"address": "10.0.0.9"},
        {"service": None},
        {"born": "yesterday"},
    ):
        assert (
            _rejection_reason("servers/i-1", {**entry, **invalid_field}) is not None
        ), invalid_field
    for value in (b"\xff", b"", b"[1]", b"null"):
        assert _rejection_reason("servers/i-1", value) is not None
    assert PlatformStoreDecoder().decode_written("somebody/else", b"\xff") is None


def test_a_rejected_configuration_names_the_invalid_field():
    document = configuration(7)
    document["routes"][2]["timeoutMs"] = "soon"
    assert (
        _rejection_reason("op/config", document)
        == "routes[2]: timeoutMs has invalid value 'soon'"
    )
    del document["routes"][2]["timeoutMs"]
    assert (
        _rejection_reason("op/config", document) == "routes[2]: 'timeoutMs' is missing"
    )
    document = configuration(7)
    document["services"][1]["engine"]["slots"] = None
    del document["services"][1]["engine"]["read_per_s"]
    assert "services[1]" in _rejection_reason("op/config", document)


def test_a_rejected_list_of_accounts_wrote_its_keys_to_the_log():
    # Nodes log the reason of the rejection.
    reason = _rejection_reason(
        "op/config", configuration(7, tenants={"acme": {"apiKeys": ["a-secret"]}})
    )
    assert reason == "tenants is not a list"


def _run(*arguments):
    # The test starts the command as an operator does; nodes never start a process.
    environment = {**os.environ, "PYTHONPATH": ""}
    return subprocess.run(
        [sys.executable, "platform/run.py", *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_the_command_line_checks_files(folder=None):
    folder = pathlib.Path(os.environ.get("TMPDIR", "/tmp"))
    file = folder / f"tk-check-{os.getpid()}.json"
    try:
        file.write_text(json.dumps(configuration(7)))
        result = _run("check-configuration", str(file))
        assert (result.returncode, "version 7" in result.stdout) == (0, True), (
            result.stderr
        )
        file.write_text(json.dumps({"node_id": "n", "failure_domain": "d"}))
        result = _run("check-settings", str(file))
        assert result.returncode == 2
        assert "callers_listen" in result.stderr and "TK-6" in result.stderr
    finally:
        file.unlink(missing_ok=True)


def _write_files(folder, **documents):
    files = []
    for name, document in documents.items():
        file = pathlib.Path(folder) / f"{name}.json"
        file.write_text(json.dumps(document))
        files.append(str(file))
    return files


def _changed_configuration():
    document = configuration(8)
    document["routes"][0]["trafficSplit"] = [
        {"service": "booking", "weight": 9},
        {"service": "models", "weight": 0},
    ]
    document["services"][1]["engine"]["read_per_s"] = 100_000.0
    document["tenants"] = [
        {"name": "acme", "apiKeys": ["new-key"], "priority": 1},
        {"name": "bolt", "apiKeys": ["secret-1", "secret-2"]},
    ]
    return document


def test_the_command_reports_every_error_with_its_path_in_the_file():
    document = configuration(7)
    lookup, _, chat = document["routes"]
    del lookup["host"]
    chat["timeoutMs"] = "soon"
    document["routes"].append(
        route("new", "safe", "booking", trafficSplit=[{"service": "x", "weight": 1}])
    )
    document["services"][0]["coldS"] = []
    document["services"][1]["engine"]["kvCapacityTokens"] = 9
    document["tenants"][0]["apiKeys"] = "a-secret"
    document["limits"]["maxBodyBytes"] = "8 MB"
    result = check_document(json.dumps(document).encode())
    assert [(f.problem.code, f.path) for f in result.findings] == [
        ("unreadable", "routes[0].host"),
        ("unreadable", "routes[2].timeoutMs"),
        ("unreadable", "services[0].coldS"),
        ("unreadable", "tenants[0].apiKeys"),
        ("unreadable", "limits.maxBodyBytes"),
        ("unknown-service", "routes[3].trafficSplit[0].service"),
        ("memory-below-prompt", "services[1].engine.kvCapacityTokens"),
    ]
    assert "a-secret" not in repr(result.findings)


def test_the_command_says_nothing_uncertain_about_what_it_can_not_read():
    document = configuration(7)
    document["routes"][2]["service"] = 5
    # That no route names "models" is not certain, nor that it is unknown below.
    assert [f.path for f in check_document(json.dumps(document).encode()).findings] == [
        "routes[2].service"
    ]
    document = configuration(7)
    document["services"][1]["name"] = None
    assert [f.path for f in check_document(json.dumps(document).encode()).findings] == [
        "services[1].name"
    ]
    for raw in (b"", b"[]", b"\xff", b'{"version": 1e400}'):
        (finding,) = check_document(raw).findings
        assert (finding.problem.code, finding.path) == ("unreadable", "")
    assert [f.path for f in check_document(b"{}").findings] == [
        "version",
        "routes",
        "services",
    ]


def test_the_command_compares_with_the_configuration_in_force():
    with tempfile.TemporaryDirectory() as folder:
        old, new = _write_files(
            folder, old=configuration(7), new=_changed_configuration()
        )
        result = _run("check-configuration", new, "--in-force", old)
        assert result.returncode == 0, result.stderr
        assert result.stdout.splitlines()[1:] == [
            "~ routes/lookup/service: booking -> booking 9, models 0",
            "~ services/models/engine.read_per_s: 206000.0 -> 100000.0",
            "~ tenants/acme/apiKeys: 1 added (SHA-256 479a...); 1 removed (SHA-256 "
            "689f...)",
            "+ tenants/bolt",
            "~ tenants/bolt/apiKeys: 2 added (SHA-256 f4b6..., f7e7...)",
        ]
        assert "zero-weight: routes[0].trafficSplit[1].weight" in result.stderr
        assert "secret" not in result.stdout + result.stderr
        # The other way round, the version is not above the one in force.
        result = _run("check-configuration", old, "--in-force", new)
        assert (result.returncode, "version-not-above" in result.stderr) == (2, True)


def test_each_changed_number_is_reported_by_its_name_in_the_file():
    in_force = check_document(json.dumps(configuration(7)).encode()).configuration
    reported = 0
    for collection, index, *fields in filter(
        lambda p: len(p) > 1, _places(configuration(7))
    ):
        document = configuration(7)
        container = document[collection]
        for name in (index, *fields[:-1]):
            container = container[name] if fields else container
        last = fields[-1] if fields else index
        value = container[last]
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        container[last] = value + 1
        (difference,) = check_document(
            json.dumps(document).encode(), in_force
        ).differences
        entry = [document[collection][index]["name"]] if fields else []
        path = "/".join([collection, *entry, ".".join(fields) or index])
        assert (difference_path(difference), value) == (path, _before(difference))
        reported += 1
    assert reported > 30


def _before(difference):
    return wire_value(difference.field, difference.before)


def test_the_command_prints_one_json_object():
    with tempfile.TemporaryDirectory() as folder:
        old, new, bad = _write_files(
            folder,
            old=configuration(7),
            new=_changed_configuration(),
            bad=configuration(9, routes=[{}]),
        )
        result = _run("check-configuration", new, "--in-force", old, "--json")
        report = json.loads(result.stdout)
        assert (result.returncode, result.stderr, report["valid"]) == (0, "", True)
        assert [(f["level"], f["code"], f["path"]) for f in report["findings"]] == [
            ("warning", "zero-weight", "routes[0].trafficSplit[1].weight")
        ]
        assert report["differences"][:2] == [
            {
                "change": "changed",
                "path": "routes/lookup/service",
                "before": "booking",
                "after": "booking 9, models 0",
            },
            {
                "change": "changed",
                "path": "services/models/engine.read_per_s",
                "before": 206_000.0,
                "after": 100_000.0,
            },
        ]
        assert report["differences"][3] == {"change": "added", "path": "tenants/bolt"}
        assert "secret" not in result.stdout
        result = _run("check-configuration", new, "--in-force", bad, "--json")
        report = json.loads(result.stdout)
        assert (result.returncode, report["valid"]) == (2, False)
        assert report["differences"] is None
        assert bad in report["findings"][0]["message"]


def test_warnings_change_the_exit_code_only_when_asked_to():
    with tempfile.TemporaryDirectory() as folder:
        clean, warned, bad = _write_files(
            folder,
            clean=configuration(7),
            warned=_changed_configuration(),
            bad=configuration(7, services=[]),
        )
        assert _run("check-configuration", warned).returncode == 0
        assert _run("check-configuration", warned, "--strict").returncode == 3
        assert _run("check-configuration", clean, "--strict").returncode == 0
        assert _run("check-configuration", bad, "--strict").returncode == 2
        missing = str(pathlib.Path(folder) / "missing.json")
        assert _run("check-configuration", missing).returncode == 2
        result = _run("check-configuration", clean, "--in-force", missing)
        assert (result.returncode, missing in result.stderr) == (2, True)


def test_a_node_does_not_import_the_check_at_its_start():
    script = (
        "import sys; sys.path.insert(0, 'platform'); import run, panunumpa._main; "
        "print([m for m in sys.modules if 'check' in m and "
        "m.startswith(('panunumpa', 'tanagerkeel'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": ""},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (result.returncode, result.stdout.strip()) == (0, "[]"), result.stderr


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**400), 10**400)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "booking", "models", "safe", "/", "12", "nan", "-inf"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(["name", "service", "weight"]), inner)
    ),
    max_leaves=4,
)


def _places(value, path=()):
    """Yield the path of every value in a JSON document."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, item in items:
        yield from _places(item, (*path, name))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_no_document_makes_the_check_fail_or_shows_a_key(data):
    document = _changed_configuration()
    for _ in range(data.draw(st.integers(1, 3))):
        *path, last = data.draw(st.sampled_from(list(_places(document))[1:]))
        container = document
        for name in path:
            container = container[name]
        if data.draw(st.booleans()):
            container[last] = data.draw(JSON_VALUES)
        else:
            del container[last]
    raw = json.dumps(document).encode()
    in_force = check_document(json.dumps(configuration(7)).encode()).configuration
    result = check_document(raw, in_force)
    assert not any(key in repr(result.findings) for key in ("secret", "new-key"))
    # A configuration that nodes refuse is never called readable.
    unreadable = {"unreadable"} & {f.problem.code for f in result.findings}
    try:
        PlatformStoreDecoder().decode_written("op/config", raw)
    except UnreadableEntry:
        assert unreadable
    assert (result.differences is None) == bool(unreadable)


def test_nodes_refuse_services_accounts_and_limits_that_the_check_calls_unreadable():
    # A number as text was taken, and failed later in every decision about the service.
    document = configuration(7)
    in_force = check_document(json.dumps(document).encode()).configuration
    refused = 0
    for path in _places(document):
        if path[:1] not in (("services",), ("tenants",), ("limits",)):
            continue
        for value in ("text", "5", -1, 1.5, True, None, [], {}, [1], 10**400):
            changed = copy.deepcopy(document)
            container = changed
            for name in path[:-1]:
                container = container[name]
            container[path[-1]] = value
            raw = json.dumps(changed).encode()
            findings = check_document(raw, in_force).findings
            unreadable = any(f.problem.code == "unreadable" for f in findings)
            reason = _rejection_reason("op/config", raw)
            assert (reason is not None) >= unreadable, (path, value, findings)
            refused += unreadable
            assert "secret" not in (reason or "")
    assert refused > 100


def test_a_node_reads_all_ca_certificates_of_the_machine_at_its_start():
    script = (
        "import sys; sys.path.insert(0, 'platform'); import run, ssl; "
        "print(len(ssl.create_default_context().get_ca_certs()))"
    )
    environment = {**os.environ, "PYTHONPATH": ""}
    environment.pop("SSL_CERT_FILE", None)
    result = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (result.returncode, result.stdout.strip()) == (0, "0"), result.stderr


def test_a_reload_signal_during_startup_does_not_end_the_node():
    # Guards against a SIGHUP that ends a process which has not yet installed its
    # handler. Seed 128 of the soak test found it.
    with tempfile.TemporaryDirectory() as folder:
        # The node blocks when it opens the FIFO, until the test opens it for writing.
        settings = pathlib.Path(folder) / "settings.json"
        os.mkfifo(settings)
        process = subprocess.Popen(
            [sys.executable, "platform/run.py"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": "", "TANAGERKEEL_BOOT": str(settings)},
            stderr=subprocess.DEVNULL,
        )
        try:
            # Returns once the process opens its settings.
            with settings.open("w") as writer:
                process.send_signal(signal.SIGHUP)
                time.sleep(0.2)
                assert process.poll() is None
                writer.write("{}")
            assert process.wait(timeout=20) == 2
        finally:
            process.kill()
            process.wait()


def test_hop_by_hop_headers_are_not_forwarded():
    head = PlatformBackendCodec().decode(
        RawHead(
            200,
            (
                (b"Connection", b"X-Own"),
                (b"X-Own", b"1"),
                (b"Keep-Alive", b"timeout=4, max=9"),
                (b"Content-Type", b"text/plain"),
                (b"Tanagerkeel-Response-Seal", b"s"),
                (b"Tanagerkeel-Cold-Remaining", b"soon"),
            ),
        )
    )
    assert head.keep_alive_s == 4.0
    assert head.sealed and head.cold_ms is None
    assert [name for name, _ in head.headers] == [
        b"content-type",
        b"tanagerkeel-response-seal",
        b"tanagerkeel-cold-remaining",
    ]


PRIORITY_HEADER = "tanagerkeel-request-priority"


def _ranked(version, chat_rank, batch_rank, account_rank=None):
    """Return a configuration of two routes to the engines, with their ranks."""
    routes = [
        route("chat", "stream", "models", targetGapMs=250, priority=chat_rank),
        route("batch", "stream", "models", targetGapMs=250, priority=batch_rank),
        route("lookup", "safe", "booking", priority=batch_rank),
    ]
    account = {"name": "acme", "apiKeys": [KEY], "priority": account_rank}
    return configuration(version, routes=routes, tenants=[account])


async def _sent_priorities(relay, *targets, headers=()):
    (engine,) = relay.engines
    first = len(engine.received)
    for target in targets:
        reply = await relay.call(target, method="POST", body=b"p", headers=headers)
        assert reply.status == 200, reply
    received = engine.received[first:]
    return [request.headers.get(PRIORITY_HEADER) for request in received]


async def test_engines_are_told_how_urgent_a_request_is_among_those_of_its_service():
    async with running_relay(
        stream_script(2), service="models", document=_ranked(2, 0, 7)
    ) as relay:
        targets = ("/chat/x", "/batch/x")
        assert await _sent_priorities(relay, *targets) == ["0", "1"]
        # A caller can't choose its own.
        forged = (f"{PRIORITY_HEADER}: 0",)
        assert await _sent_priorities(relay, "/batch/x", headers=forged) == ["1"]


async def test_engines_are_told_no_rank_where_all_are_equal_or_they_become_so():
    async with running_relay(
        stream_script(2), service="models", document=_ranked(2, 3, 1)
    ) as relay:
        targets = ("/chat/x", "/batch/x")
        assert await _sent_priorities(relay, *targets) == ["1", "0"]
        relay.store.write("op/config", _ranked(3, 1, 3))
        await relay.until(lambda: relay.node.state.configuration.version == 3)
        assert await _sent_priorities(relay, *targets) == ["0", "1"]
        relay.store.write("op/config", _ranked(4, 3, 3, account_rank=0))
        await relay.until(lambda: relay.node.state.configuration.version == 4)
        assert await _sent_priorities(relay, *targets) == [None, None]


async def test_a_stream_that_runs_while_ranks_change_ends_as_it_began():
    release = asyncio.Event()
    events = stream_script(2)

    async def held(engine, request, writer):
        await release.wait()
        await events(engine, request, writer)

    async with running_relay(
        held, service="models", document=_ranked(2, 5, 9)
    ) as relay:
        running = asyncio.create_task(relay.call("/batch/x", method="POST", body=b"p"))
        await relay.until(lambda: relay.received_count() == 1)
        relay.store.write("op/config", _ranked(3, 0, 0))
        await relay.until(lambda: relay.node.state.configuration.version == 3)
        release.set()
        reply = await running
        assert (reply.status, reply.complete) == (200, True)
        (request,) = relay.engines[0].received
        assert request.headers[PRIORITY_HEADER] == "1"
        assert relay.node.state.assignments.own == ()


async def test_calls_of_plain_services_carry_no_rank():
    async with running_relay(respond_with_id, document=_ranked(2, 0, 4)) as relay:
        reply = await relay.call("/lookup/x")
        assert reply.status == 200
        (request,) = relay.engines[0].received
        assert PRIORITY_HEADER not in request.headers


def test_ranks_outside_0_to_9_are_accepted_and_others_named_as_invalid():
    for odd in (-3, 12, 10**30):
        update = PlatformStoreDecoder().decode_written(
            "op/config", json.dumps(_ranked(7, odd, 4, odd)).encode()
        )
        found = update.configuration
        (account,) = found.accounts
        for name in found.routes[:2]:
            rank = found.rank_of("models", name, account)
            assert 0 <= rank.position <= 1 and 0 <= rank.steps <= 9, odd
    for odd in ("high", 1.5, True, [0]):
        reason = _rejection_reason("op/config", _ranked(7, 0, 4, odd))
        assert reason == f"tenants[0]: priority has invalid value {odd!r}"
        reason = _rejection_reason("op/config", _ranked(7, odd, 4))
        assert reason == f"routes[0]: priority has invalid value {odd!r}"


def test_routes_and_accounts_without_a_rank_are_accepted():
    document = _ranked(7, 0, 4)
    del document["tenants"][0]["priority"], document["routes"][0]["priority"]
    update = PlatformStoreDecoder().decode_written(
        "op/config", json.dumps(document).encode()
    )
    found = update.configuration
    assert found.accounts[0].priority is None
    rank = found.rank_of("models", found.routes[0], found.accounts[0])
    assert (rank.position, rank.steps) == (0, 0)


async def _call_store(status, body, call):
    import aiohttp

    async def application(scope, receive, send):
        while (await receive()).get("more_body"):
            pass
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-length", str(len(body)).encode())],
            }
        )
        await send({"type": "http.response.body", "body": body})

    async with serving(application) as address, aiohttp.ClientSession() as session:
        return await call(PlatformStore(session, address))


async def test_responses_of_the_store_become_typed_results():
    async def error_type_of(status, body, call):
        try:
            await _call_store(status, body, call)
        except Exception as error:  # its type is compared below
            return type(error)
        return None

    def watch(store):
        return store.changes("", 5, 10)

    def put(store):
        return store.put("k", b"v", 0, 3)

    assert await error_type_of(410, b"", watch) is HistoryLost
    assert await error_type_of(503, b"", watch) is PlatformUnavailable
    assert await error_type_of(429, b"", watch) is PlatformUnavailable
    assert await error_type_of(200, b"no json", watch) is PlatformUnavailable
    assert await error_type_of(200, b"{}", watch) is PlatformUnavailable
    assert await error_type_of(412, b'{"items":[{"revision":7}]}', put) is CompareFailed
    # A conflict whose body broke off; the decoding error ended the task.
    assert await error_type_of(412, b'{"items":[{"rev', put) is PlatformUnavailable
    assert await error_type_of(404, b"", put) is LeaseLapsed
    body = b'{"events":[{"key":"a","value":"djE=","revision":6},'
    body += b'{"key":"b","revision":7,"deleted":true}],"storeRevision":7}'
    changes = await _call_store(200, body, watch)
    assert (changes.events[0].value, changes.events[1]) == (b"v1", "b")
    assert changes.revision == 7


async def _answer_slowly(body: bytes, call, silent_after: int | None = None):
    """Call a store whose answer arrives in pieces within 2.5 s, or falls silent."""
    import aiohttp

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        size = -(-len(body) // 10)
        for number in range(10):
            if number == silent_after:
                await asyncio.sleep(30.0)
            writer.write(body[number * size : (number + 1) * size])
            await asyncio.sleep(0.25)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, f"{host}:{port}")
            return await call(store)
    finally:
        server.close()


async def test_a_large_configuration_on_a_slow_link_is_read_to_its_end():
    # Answers that took over 1.5 s were given up, and read again from the same revision.
    event = {"key": "op/config", "value": "djE=" * 50_000, "revision": 6}
    body = json.dumps({"events": [event], "storeRevision": 6}).encode()
    arriving = []

    async def watch(store):
        task = asyncio.create_task(store.changes("", 5, 0))
        await asyncio.sleep(1.0)
        arriving.append(store.watch_arriving)
        changes = await task
        arriving.append(store.watch_arriving)
        return changes

    assert (await _answer_slowly(body, watch)).revision == 6
    assert arriving == [True, False]
    page = json.dumps({"items": [event], "hasMore": False, "storeRevision": 6}).encode()
    listing = await _answer_slowly(page, lambda store: store.list_all(""))
    assert listing.revision == 6


async def test_an_answer_of_the_store_that_falls_silent_is_given_up():
    started_s = time.monotonic()
    try:
        await _answer_slowly(b"x" * 100, lambda store: store.changes("", 5, 0), 2)
    except PlatformUnavailable:
        assert time.monotonic() - started_s < 3.0
    else:
        raise AssertionError("half of an answer was taken")


async def test_a_call_after_a_silent_watch_uses_no_connection_that_was_open_before():
    # The next call got another silent connection, and timed out as well.
    import aiohttp

    answer = b'{"events":[],"storeRevision":6}'
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        # The connections that are open when the second watch begins are silent.
        while not (len(connections) == 1 and served):
            await reader.readuntil(b"\r\n\r\n")
            if len(connections) == 1 and served:
                break
            served.append(len(connections))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer))
            writer.write(answer)
        await asyncio.sleep(30.0)

    served = []
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        async with (
            aiohttp.ClientSession() as session,
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            ) as unpooled,
        ):
            store = PlatformStore(session, f"{host}:{port}", unpooled)
            await store.changes("", 5, 10)
            assert (await store.changes("", 5, 0)).revision == 6
    finally:
        server.close()
    assert served == [1, 2]


async def test_pages_of_a_listing_are_joined():
    import aiohttp

    pages = [
        b'{"items":[{"key":"a","value":"","revision":1}],"hasMore":true,'
        b'"storeRevision":5}',
        b'{"items":[{"key":"b","value":"","revision":9}],"hasMore":false,'
        b'"storeRevision":9}',
    ]
    queries = []

    async def application(scope, receive, send):
        queries.append(scope["query_string"])
        await receive()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": pages[len(queries) - 1]})

    async with serving(application) as address, aiohttp.ClientSession() as session:
        listing = await PlatformStore(session, address).list_all("")
    # The revision is the first page's, so that a watch from there repeats what changed
    # while the later pages were read.
    assert ([e.key for e in listing.entries], listing.revision) == (["a", "b"], 5)
    assert b"after=a" in queries[1]


async def test_a_refused_connection_is_reported_as_not_sent():
    import aiohttp

    async with aiohttp.ClientSession() as session:
        store = PlatformStore(session, "127.0.0.1:1")
        try:
            await store.keep_alive(1)
        except PlatformUnavailable as error:
            assert not error.sent
        else:
            raise AssertionError("the call did not fail")
    await asyncio.sleep(0)


def load_tests(loader, tests, pattern):
    return collect(globals())
