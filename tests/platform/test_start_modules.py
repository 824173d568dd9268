"""What a node imports before it serves: each package takes time at every start."""

import subprocess
import sys

from tests.platform.fixtures import call, respond_with_id, running_relay
from tests.runner import ROOT
from tests.support import collect

# Prints the packages other than those of the standard library.
SCRIPT = """
import sys
sys.path[:0] = ["src", "platform"]
import panunumpa._main
found = {name.partition(".")[0] for name in sys.modules}
print(*sorted(n for n in found if n[0] != "_" and n not in sys.stdlib_module_names))
"""
# Packages that a node uses when it serves, and what these import themselves.
USED = "aiohttp attr attrs cattrs eliot httptools msgspec panunumpa prometheus_client"
USED += " tanagerkeel uvicorn xxhash"
REQUIRED_BY_THEM = (
    "aiohappyeyeballs aiosignal boltons certifi click frozenlist h11 idna"
)
REQUIRED_BY_THEM += " multidict orjson propcache pyrsistent typing_extensions uvloop"
REQUIRED_BY_THEM += " yarl zope pvectorc"


def test_a_node_imports_no_package_that_it_does_not_use():
    # Falcon took an eighth of a start, for a type and two pages.
    output = subprocess.run(
        [sys.executable, "-c", SCRIPT], cwd=ROOT, capture_output=True, check=True
    ).stdout.decode()
    # A module of the platform folder, and one that compiled packages share.
    found = set(output.split()) - {"settings_file", "cython_runtime"}
    allowed = {*USED.split(), *REQUIRED_BY_THEM.split()}
    assert found <= allowed, found - allowed
    assert set(USED.split()) <= found


async def test_the_pages_for_operators_have_one_path_and_one_method():
    async with running_relay(respond_with_id) as relay:
        node = relay.node
        for address, path, content in (
            (node.readiness_address, "/ready", b"ready"),
            (node.metrics_address, "/metrics", b"# HELP"),
        ):
            reply = await call(address, path, key=None)
            assert reply.status == 200 and reply.body.startswith(content)
            assert reply.headers["content-type"].startswith("text/plain")
            assert (await call(address, "/other", key=None)).status == 404
            reply = await call(address, path, method="POST", key=None)
            assert reply.status == 405 and reply.headers["allow"] == "GET"


def load_tests(loader, tests, pattern):
    return collect(globals())
