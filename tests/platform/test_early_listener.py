"""Connections of callers while a node's program is being loaded."""

import asyncio
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile

from tanagerkeel.early_listener import listen_early
from tests.support import collect

ROOT = pathlib.Path(__file__).resolve().parents[2]
SMALL_VM = {"cpu_share": 0.36, "cpu_cores": 1}
LARGE_VM = {"cpu_share": 0.72, "cpu_cores": 3}
# It loads the program for longer than a caller leaves its request unread.
TINY_VM = {"cpu_share": 0.12, "cpu_cores": 1}


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for reserved in sockets:
        reserved.close()
    return addresses


def _settings(addresses: list[str], **fields: object) -> dict[str, object]:
    names = ("callers", "readiness", "metrics", "news", "forward")
    listen = {f"{n}_listen": a for n, a in zip(names, addresses, strict=False)}
    return {
        "node_id": "node-1",
        "failure_domain": "zone-a",
        "platform": addresses[-1],
        **listen,
        **fields,
    }


def _listen(fields: object) -> socket.socket | None:
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "settings.json"
        file.write_text(json.dumps(fields))
        return listen_early(file)


async def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionError:
        return False
    writer.close()
    return True


async def test_callers_of_a_small_vm_are_refused_while_it_loads_its_program():
    # All nodes lost power; the first that came back refused each connection until the
    # program was loaded, so that callers had used up their tries.
    addresses = _free_addresses(6)
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "settings.json"
        file.write_text(json.dumps(_settings(addresses, **SMALL_VM)))
        process = subprocess.Popen(
            [sys.executable, "platform/run.py"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": "", "TANAGERKEEL_BOOT": str(file)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(20):
                while not await _accepts(addresses[0]):
                    await asyncio.sleep(0.002)
                # The readiness server starts when the program is loaded, within some
                # milliseconds of the callers' one if that one doesn't listen early.
                await asyncio.sleep(0.1)
                assert not await _accepts(addresses[1])
                while not await _accepts(addresses[1]):
                    await asyncio.sleep(0.01)
            assert await _accepts(addresses[0])
        finally:
            process.kill()
            process.wait()


async def test_a_connection_from_before_the_start_is_served_by_the_node():
    from tanagerkeel.gateways.http_server import HttpServer

    async def application(scope, receive, send):
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    addresses = _free_addresses(6)
    listening = _listen(_settings(addresses, **SMALL_VM))
    host, _, port = addresses[0].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    server = HttpServer(application, host, int(port), listening=listening)
    await server.start()
    assert (await reader.readline()).startswith(b"HTTP/1.1 204")
    writer.close()
    await server.stop(0.0)


def test_only_valid_settings_of_a_small_vm_open_the_socket_early():
    addresses = _free_addresses(6)
    valid = _settings(addresses, **SMALL_VM)
    with _listen(valid) as listening:
        assert listening.getsockname()[1] == int(addresses[0].rpartition(":")[2])
        # The address is in use now: the node reports that when it starts.
        assert _listen(valid) is None
    invalid = (
        _settings(addresses),
        _settings(addresses, **LARGE_VM),
        _settings(addresses, **TINY_VM),
        {**valid, "callers_listen": "nowhere"},
        {**valid, "callers_listen": "127.0.0.1:99999"},
        {**valid, "callers_listen": 7},
        {**valid, "cpu_share": "little"},
        {**SMALL_VM},
        [1],
    )
    assert [_listen(fields) for fields in invalid] == [None] * len(invalid)
    assert listen_early(pathlib.Path("/nonexistent/settings.json")) is None


def load_tests(loader, tests, pattern):
    return collect(globals())
