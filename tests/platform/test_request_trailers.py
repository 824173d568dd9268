"""
Trailers of callers' requests, which are fields of their own.

Covers the rule UNASKED: trailers are no headers (RFC 9110, section 6.5.1), and a
request runs under the id that its head has.
"""

from tests.platform.fixtures import encode_request, respond_with_id, running_relay
from tests.platform.test_upgrade_offers import OFFERS, exchange
from tests.support import collect

TRAILERS = (
    b"Tanagerkeel-Attempt-Id: trailer\r\n",
    b"Authorization: Token another\r\n",
    b"X-Own: trailer\r\n",
)


async def test_a_trailer_becomes_a_header_of_the_request():
    # The request ran under the id of its trailer.
    async with running_relay(respond_with_id) as relay:
        for offer in ((), OFFERS[0]):
            headers = ("Transfer-Encoding: chunked", "X-Own: head", *offer)
            head = encode_request("/reserve/x", "r1", "POST", headers=headers)
            body = b"7\r\nseat=12\r\n0\r\n" + b"".join(TRAILERS) + b"\r\n"
            for segments in (
                (head + body,),
                (head, body),
                (head, body[:20], body[20:]),
            ):
                (reply,) = await exchange(relay, *segments)
                assert (reply.status, reply.body) == (200, b"i-0"), reply
                (request,) = relay.engines[0].received
                relay.engines[0].received.clear()
                assert (request.request_id, request.body) == ("r1", b"seat=12")
                assert request.headers["x-own"] == "head"
                assert request.headers["content-length"] == "7"


async def test_a_request_behind_trailers_is_lost():
    async with running_relay(respond_with_id) as relay:
        headers = ("Transfer-Encoding: chunked",)
        first = encode_request("/lookup/1", "r1", "POST", headers=headers)
        first += b"7\r\nseat=12\r\n0\r\n" + b"".join(TRAILERS) + b"\r\n"
        second = encode_request("/lookup/2", "r2", headers=("X-Own: second",))
        replies = await exchange(relay, first + second, count=2)
        assert [reply.status for reply in replies] == [200, 200]
        received = relay.engines[0].received
        assert [r.request_id for r in received] == ["r1", "r2"]
        assert received[1].headers["x-own"] == "second"


def load_tests(loader, tests, pattern):
    return collect(globals())
