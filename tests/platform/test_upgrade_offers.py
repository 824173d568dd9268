"""
Requests that offer to go on with another protocol, as some HTTP clients do by default.

Covers the rule UNASKED. A server that doesn't take the offer ignores it (RFC 9110,
section 7.8): the body belongs to the request.
"""

import asyncio
import itertools

from tests.platform.fixtures import (
    Relay,
    Response,
    encode_request,
    read_response,
    respond_with_id,
    running_relay,
)
from tests.platform.test_forwarding_to_peers import cut_relay
from tests.support import collect

OFFERS = (
    (
        "Connection: Upgrade, HTTP2-Settings",
        "Upgrade: h2c",
        "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
    ),
    ("Upgrade: websocket", "Connection: keep-alive, upgrade"),
)
FORM = b"seat=12&date=2026-12-18"
# A body that a server which ends the request with its headers takes for another one.
INSIDE = encode_request("/reserve/inside", "inside", "POST")
CHUNKED = b"5\r\nseat=\r\n2;x=y\r\n12\r\n0\r\n\r\n"


async def exchange(relay: Relay, *segments: bytes, count: int = 1) -> list[Response]:
    """Send segments on one connection, and return that many responses."""
    host, _, port = relay.node.callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(5.0):
            for segment in segments:
                writer.write(segment)
                await writer.drain()
                await asyncio.sleep(0.01)
            return [await read_response(reader) for _ in range(count)]
    finally:
        writer.close()


def received(relay: Relay) -> list[tuple[str, str, bytes]]:
    """Return id, target and body of what engines received, and forget it."""
    requests = [r for engine in relay.engines for r in engine.received]
    for engine in relay.engines:
        engine.received.clear()
    assert not any("upgrade" in r.headers for r in requests)
    return [(r.request_id, r.target, r.body) for r in requests]


async def test_a_request_that_offers_an_upgrade_runs_without_its_body():
    # Review case 6.
    async with running_relay(respond_with_id) as relay:
        for offer, body in itertools.product(OFFERS, (FORM, INSIDE, b"")):
            request = encode_request("/reserve/x", "r1", "POST", body, headers=offer)
            (reply,) = await exchange(relay, request)
            assert (reply.status, reply.body) == (200, b"i-0"), (offer, reply)
            assert received(relay) == [("r1", "/reserve/x", body)], (offer, body)


async def test_a_body_that_comes_after_an_upgrade_offer_runs_as_a_request():
    # Review case 6: the body was run under an id that no client had sent.
    async with running_relay(respond_with_id) as relay:
        for offer, body in itertools.product(OFFERS, (FORM, INSIDE)):
            request = encode_request("/reserve/x", "r1", "POST", body, headers=offer)
            head = request[: -len(body)]
            for segments in (
                (head, body),
                (head[:-2], head[-2:], body[:4], body[4:]),
                (head + body[:1], body[1:]),
            ):
                (reply,) = await exchange(relay, *segments)
                assert reply.status == 200, (segments, reply)
                assert received(relay) == [("r1", "/reserve/x", body)], segments


async def test_a_chunked_body_after_an_upgrade_offer_is_lost():
    async with running_relay(respond_with_id) as relay:
        for offer in OFFERS:
            headers = (*offer, "Transfer-Encoding: chunked")
            head = encode_request("/reserve/x", "r1", "POST", headers=headers)
            for segments in ((head + CHUNKED,), (head, CHUNKED[:7], CHUNKED[7:])):
                (reply,) = await exchange(relay, *segments)
                assert reply.status == 200, reply
                assert received(relay) == [("r1", "/reserve/x", b"seat=12")]


async def test_requests_on_a_connection_with_an_upgrade_offer_are_lost_or_changed():
    async with running_relay(respond_with_id) as relay:
        requests = [
            encode_request("/lookup/1", "r1", "POST", FORM),
            encode_request("/lookup/2", "r2", "POST", FORM, headers=OFFERS[0]),
            encode_request("/lookup/3", "r3", headers=OFFERS[1]),
            encode_request("/lookup/4", "r4", "POST", INSIDE),
        ]
        for segments in (requests, [b"".join(requests)]):
            replies = await exchange(relay, *segments, count=4)
            assert [reply.status for reply in replies] == [200] * 4
            assert received(relay) == [
                ("r1", "/lookup/1", FORM),
                ("r2", "/lookup/2", FORM),
                ("r3", "/lookup/3", b""),
                ("r4", "/lookup/4", INSIDE),
            ]


async def test_an_upgrade_offer_escapes_the_limits_on_clients():
    async with running_relay(respond_with_id) as relay:
        long = encode_request("/reserve/x", "r1", "POST", FORM, headers=OFFERS[0])
        long = long.replace(b"Content-Length: 23", b"Content-Length: 99999999")
        (reply,) = await exchange(relay, long)
        assert reply.status == 413, reply
        padding = ("X-Padding: " + "x" * 17_000, *OFFERS[0])
        large = encode_request("/reserve/x", "r1", "POST", INSIDE, headers=padding)
        (reply,) = await exchange(relay, large)
        assert reply.status == 431, reply
        assert received(relay) == []


async def test_what_follows_a_connect_request_runs_as_a_request():
    async with running_relay(respond_with_id) as relay:
        head = encode_request("/reserve/x", "r1", "CONNECT", INSIDE)
        (reply,) = await exchange(relay, head)
        assert reply.status == 400, reply
        assert received(relay) == []


async def test_a_forwarded_request_with_an_upgrade_offer_runs_without_its_body():
    async with cut_relay(*[respond_with_id] * 3) as (relay, _):
        request = encode_request("/reserve/x", "f", "POST", INSIDE, headers=OFFERS[0])
        (reply,) = await exchange(relay, request)
        assert reply.status == 200, reply
        assert received(relay) == [("f", "/reserve/x", INSIDE)]


def load_tests(loader, tests, pattern):
    return collect(globals())
