"""One of four nodes can't reach the booking engine, which rejects some bookings."""

import asyncio
import base64
import json
import pathlib
import sys
from collections.abc import Callable

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness

SEATS = 4
PROBLEM = b'{"type":"about:blank","title":"The seat is taken","status":409}'


async def scenario(fleet: harness.Fleet, record: harness.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    taken = set()

    def reserve(target: str, body: bytes) -> tuple[int, tuple[str, ...], bytes]:
        if target in taken:
            return 409, ("Content-Type: application/problem+json",), PROBLEM
        taken.add(target)
        return 200, ("Content-Type: application/json",), b'{"seat":"yours"}'

    await fleet.start_store()
    booking = await fleet.add_engine(
        20, "i-booking", "booking", "zone-a", reserve, work_s=0.045
    )
    # The only other engines of this deployment; they get no requests here.
    for number in range(4):
        await fleet.add_engine(
            21 + number, f"i-model-{number}", "models", "zone-b", harness.whole_answer
        )
    document = harness.configuration(
        3,
        [
            harness.route("reserve", "unsafe", "booking"),
            harness.route("other", "safe", "models"),
        ],
        ["booking", "models"],
    )
    fleet.store.write("op/config", document)
    # The path from the first node to the booking engine.
    link = harness.Link(fleet.host(20), 8081, booking.address)
    await fleet.start_server(link)
    view = View(fleet.host(2), 8223, fleet.store, booking.address, link.address)
    await fleet.start_server(view)
    numbers = (10, 11, 12, 13)
    zones = ("zone-a", "zone-b", "zone-c", "zone-a")
    for number, zone in zip(numbers, zones, strict=True):
        store = view.address if number == 10 else fleet.store.address
        await fleet.start_node(number, f"front-{number}", zone, store)
    await fleet.until_ready(*numbers)
    await asyncio.sleep(4.0)
    if trouble:
        record.line("cut       the booking engine loses the path to front-10")
        link.cut()
    address = f"{fleet.host(10)}:{harness.FRONT_PORT}"
    refused = set()
    for seat in range(SEATS):
        for attempt in ("first", "second"):
            caller = harness.Caller(address, record)
            request_id = f"seat-{seat}-{attempt}"
            status, _, _ = await caller.send(
                request_id, "POST", f"/reserve/{seat}", b"{}"
            )
            caller.close()
            if status in (408, 421, 429, 503):
                refused.add(request_id)
            await asyncio.sleep(0.3)
    runs = harness.count_runs(fleet.engines)
    twice = {i: n for i, n in runs.items() if n > 1}
    ran_though_refused = sorted(i for i in refused if runs[i])
    record.line(f"TWICE     requests that ran more than once: {twice}")
    record.line(f"REFUSED   answered as not run, and ran: {ran_though_refused}")
    if not runs:
        raise RuntimeError("no request ran")
    return not twice


class View(harness.Server):
    """
    The way of one node to the store.

    It passes all calls on. In the answers, an engine's address is the node's end of the
    link to that engine.
    """

    def __init__(
        self,
        host: str,
        port: int,
        store: harness.Store,
        address: str,
        link_address: str,
    ) -> None:
        super().__init__(host, port)
        self._store = store
        self._address, self._link_address = address, link_address

    async def respond(
        self,
        method: str,
        target: str,
        headers: harness.Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        await self._store.respond(
            method, target, headers, body, _Translated(writer, self._replace)
        )

    def _replace(self, data: bytes) -> bytes:
        head, _, body = data.partition(b"\r\n\r\n")
        answer = json.loads(body)
        for item in [*answer.get("items", ()), *answer.get("events", ())]:
            if item.get("key", "").startswith("servers/") and "value" in item:
                value = base64.b64decode(item["value"]).decode()
                value = value.replace(self._address, self._link_address)
                item["value"] = base64.b64encode(value.encode()).decode()
        body = json.dumps(answer).encode()
        lines = [
            line
            for line in head.split(b"\r\n")
            if not line.lower().startswith(b"content-length")
        ]
        lines.append(b"Content-Length: " + str(len(body)).encode())
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


class _Translated:
    """A writer that translates each answer before it is written."""

    def __init__(
        self, writer: asyncio.StreamWriter, replace: Callable[[bytes], bytes]
    ) -> None:
        self._writer, self._replace = writer, replace
        self.transport = writer.transport

    def write(self, data: bytes) -> None:
        """Write the translated answer."""
        self._writer.write(self._replace(data))

    async def drain(self) -> None:
        """Wait until the writer takes more."""
        await self._writer.drain()


if __name__ == "__main__":
    harness.main(scenario)
