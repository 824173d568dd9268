"""The adapter: what it decodes, what it refuses, and that its words stay inside."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

from panunumpa import PlatformBackendCodec, PlatformStore, PlatformStoreDecoder
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
from tests.platform.fixtures import configuration, route
from tests.runner import ROOT
from tests.support import collect

# Names that only the platform's wire has.
WIRE_NAMES = re.compile(
    r"(?i)tanagerkeel-(attempt|deadline|target|tenant|response|token|prompt|model"
    r"|helpers|not-exec|weight|cold|instance|expected|request|length)"
    r"|kvUsed|storeRevision|coldRemainingMs|TANAGERKEEL_BOOT|kv-(key|range|watch|txn)"
    r"|op/config|op/evacuate|apiKeys|trafficSplit|canResume|targetLatencyMs"
)


def _refused(key, value):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    try:
        PlatformStoreDecoder().written(key, raw)
    except UnreadableEntry as error:
        return error.reason
    return None


def test_the_platforms_names_stay_in_the_adapter():
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


def test_a_configuration_is_decoded_once_into_the_projects_words():
    document = configuration(7)
    document["routes"][0]["trafficSplit"] = [
        {"service": "booking", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    fact = PlatformStoreDecoder().written("op/config", json.dumps(document).encode())
    found = fact.configuration
    assert found.version == 7
    lookup, reserve, chat = found.routes
    assert [s.weight for s in lookup.services] == [90.0, 10.0]
    assert reserve.kind is RouteKind.UNSAFE and not reserve.repeatable
    assert chat.repeatable and chat.gap_objective_ms == 250
    engine = found.service("models").engine
    assert (engine.read_tokens_per_ms, engine.pairs_per_million_ms) == (206.0, 0.138)
    assert found.account_for("key-of-acme").name == "acme"


def test_weights_share_requests_as_they_say():
    document = configuration(7, routes=[route("lookup", "safe", "booking")])
    document["routes"][0]["trafficSplit"] = [
        {"service": "booking", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    fact = PlatformStoreDecoder().written("op/config", json.dumps(document).encode())
    chosen = [fact.configuration.routes[0].service_for(f"r{n}") for n in range(2_000)]
    assert 0.87 < chosen.count("booking") / len(chosen) < 0.93


def test_an_entry_is_decoded_and_a_foreign_one_names_nothing():
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
        PlatformStoreDecoder().written("servers/i-1", json.dumps(entry).encode()).server
    )
    assert server.state is ServerState.DRAINING
    assert (server.backend_id, server.cold_ms) == ("i-1", 1_200)
    for fault in (
        {"slots": "8"},
        {"slots": True},
        {"state": "paused"},
        {"address": "10.0.0.9"},
        {"service": None},
        {"born": "yesterday"},
    ):
        assert _refused("servers/i-1", {**entry, **fault}) is not None, fault
    for value in (b"\xff", b"", b"[1]", b"null"):
        assert _refused("servers/i-1", value) is not None
    assert PlatformStoreDecoder().written("somebody/else", b"\xff") is None


def test_a_faulty_configuration_names_the_field():
    document = configuration(7)
    document["routes"][2]["timeoutMs"] = "soon"
    assert (
        _refused("op/config", document)
        == "routes[2]: timeoutMs has invalid value 'soon'"
    )
    del document["routes"][2]["timeoutMs"]
    assert _refused("op/config", document) == "routes[2]: 'timeoutMs' is missing"
    document = configuration(7)
    document["services"][1]["engine"]["slots"] = None
    del document["services"][1]["engine"]["read_per_s"]
    assert "services[1]" in _refused("op/config", document)


def _run(*arguments):
    # The command is what operators start; no process of the system starts another.
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
    good = folder / f"tk-check-{os.getpid()}.json"
    try:
        good.write_text(json.dumps(configuration(7)))
        done = _run("check-configuration", str(good))
        assert (done.returncode, "version 7" in done.stdout) == (0, True), done.stderr
        good.write_text(json.dumps({"node_id": "n", "failure_domain": "d"}))
        done = _run("check-settings", str(good))
        assert done.returncode == 2
        assert "callers_listen" in done.stderr and "TK-6" in done.stderr
    finally:
        good.unlink(missing_ok=True)


def test_a_reload_that_comes_while_a_node_starts_does_not_end_it():
    # Found by the soak, seed 128: SIGHUP reached a process that had just been started.
    with tempfile.TemporaryDirectory() as folder:
        # Reading the settings waits until somebody writes them.
        settings = pathlib.Path(folder) / "settings.json"
        os.mkfifo(settings)
        process = subprocess.Popen(
            [sys.executable, "platform/run.py"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": "", "TANAGERKEEL_BOOT": str(settings)},
            stderr=subprocess.DEVNULL,
        )
        try:
            # Opens once the process has come to its settings.
            with settings.open("w") as writer:
                process.send_signal(signal.SIGHUP)
                time.sleep(0.2)
                assert process.poll() is None
                writer.write("{}")
            assert process.wait(timeout=20) == 2
        finally:
            process.kill()
            process.wait()


def test_headers_of_one_connection_are_not_passed_on():
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


async def _store_answers(status, body, call):
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


async def test_the_stores_answers_become_the_products_words():
    async def error_of(status, body, call):
        try:
            await _store_answers(status, body, call)
        except Exception as error:  # compared below
            return type(error)
        return None

    def watch(store):
        return store.changes("", 5, 10)

    def put(store):
        return store.put("k", b"v", 0, 3)

    assert await error_of(410, b"", watch) is HistoryLost
    assert await error_of(503, b"", watch) is PlatformUnavailable
    assert await error_of(429, b"", watch) is PlatformUnavailable
    assert await error_of(200, b"no json", watch) is PlatformUnavailable
    assert await error_of(200, b"{}", watch) is PlatformUnavailable
    assert await error_of(412, b'{"items":[{"revision":7}]}', put) is CompareFailed
    assert await error_of(404, b"", put) is LeaseLapsed
    body = b'{"events":[{"key":"a","value":"djE=","revision":6},'
    body += b'{"key":"b","revision":7,"deleted":true}],"storeRevision":7}'
    changes = await _store_answers(200, body, watch)
    assert (changes.events[0].value, changes.events[1]) == (b"v1", "b")
    assert changes.revision == 7


async def test_pages_of_a_listing_are_put_together():
    import aiohttp

    pages = [
        b'{"items":[{"key":"a","value":"","revision":1}],"hasMore":true,'
        b'"storeRevision":5}',
        b'{"items":[{"key":"b","value":"","revision":9}],"hasMore":false,'
        b'"storeRevision":9}',
    ]
    asked = []

    async def application(scope, receive, send):
        asked.append(scope["query_string"])
        await receive()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": pages[len(asked) - 1]})

    async with serving(application) as address, aiohttp.ClientSession() as session:
        listing = await PlatformStore(session, address).list_all("")
    # The first page's revision: the watch tells once more what changed meanwhile.
    assert ([e.key for e in listing.entries], listing.revision) == (["a", "b"], 5)
    assert b"after=a" in asked[1]


async def test_a_store_that_does_not_listen_got_nothing():
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
