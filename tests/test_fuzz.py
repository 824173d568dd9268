"""Malformed input gets its documented result code and causes no internal error."""

import contextlib
import json
import random

import attrs
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.configuration import Configuration, parse
from tanagerkeel.entry import EntrySettings
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.callers._chat import parse_chat
from tanagerkeel.gateways.frames import (
    KEY_ID_BYTES,
    Frame,
    sign_frame,
    verify_frame,
)
from tanagerkeel.gateways.peers import (
    FrameRejected,
    KeyRing,
    UnknownKind,
    message_class,
)
from tanagerkeel.load import Workload, parse_workload
from tanagerkeel.standins._example import example_configuration
from tests.fixtures import entry_settings, running_system
from tests.support import collect

EXAMPLES = 100
FUZZ_SEED = 20_261
FUZZ_REQUESTS = 120
fuzz = settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
CONFIGURATION = json.loads(codec.encode(example_configuration(["127.0.0.1:9001"])))
SETTINGS = json.loads(codec.encode(entry_settings("127.0.0.1:9000")))


@st.composite
def _mutations(draw, document):
    """Replace or remove one value of a valid document, at any depth."""
    copy = json.loads(json.dumps(document))
    container = copy
    while isinstance(container, dict | list) and container:
        keys = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        key = draw(st.sampled_from(keys))
        value = container[key]
        if not isinstance(value, dict | list) or not value or draw(st.booleans()):
            if draw(st.booleans()):
                container[key] = draw(documents)
            else:
                del container[key]
            break
        container = value
    return copy


def _json(plain):
    return json.dumps(plain).encode()


@fuzz
@given(st.binary(max_size=200))
def test_bytes_decode_or_are_invalid(data):
    for kind in (Configuration, EntrySettings, Workload):
        for decode in (codec.decode, codec.unpack):
            try:
                decode(data, kind)
            except codec.InvalidValue as error:
                assert error.problems


@fuzz
@given(_mutations(CONFIGURATION))
def test_configuration_is_valid_or_refused(plain):
    try:
        parse(_json(plain))
    except TanagerkeelError as error:
        assert error.result is ResultCode.CONFIGURATION_INVALID
        assert error.detail


@fuzz
@given(_mutations(SETTINGS))
def test_settings_are_valid_or_refused(plain):
    try:
        codec.decode(_json(plain), EntrySettings)
    except codec.InvalidValue as error:
        assert error.problems


@fuzz
@given(documents)
def test_workload_is_valid_or_refused(plain):
    try:
        parse_workload(_json(plain))
    except TanagerkeelError as error:
        assert error.result is ResultCode.WORKLOAD_INVALID


@fuzz
@given(st.binary(max_size=60) | documents.map(_json))
def test_chat_body_is_valid_or_refused(data):
    try:
        parse_chat(data)
    except TanagerkeelError as error:
        assert error.result is ResultCode.MALFORMED_BODY
        assert error.ran == "no"


def _message_classes():
    for kind in range(1, 80):
        with contextlib.suppress(UnknownKind):
            yield message_class(kind)


MESSAGE_CLASSES = tuple(_message_classes())
RING = KeyRing({1: b"secret"}, 1)
RECEIVER = "127.0.0.1:7000"
FRAME = Frame("127.0.0.1:7001", 1, 2, 3, 4, payload=b"payload")
packed = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.binary(),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=8,
).map(msgspec.msgpack.encode)


def _open(data):
    """Return the frame, or None when it is rejected for a documented reason."""
    try:
        return verify_frame(data, RECEIVER, RING)
    except FrameRejected as error:
        assert error.reason in ("malformed", "unsigned", "unknown_key")
        return None


@fuzz
@given(st.binary(max_size=120))
def test_unsigned_frames_are_rejected(data):
    assert _open(data) is None


@fuzz
@given(st.data())
def test_a_flipped_byte_is_rejected(data):
    signed = bytearray(sign_frame(FRAME, RECEIVER, RING))
    assert _open(bytes(signed)) == FRAME
    place = data.draw(st.integers(0, len(signed) - 1))
    signed[place] ^= data.draw(st.integers(1, 255))
    assert _open(bytes(signed)) is None


@fuzz
@given(packed | st.binary(max_size=60))
def test_signed_bodies_of_any_shape_are_opened_or_rejected(body):
    tag = RING.sign(RECEIVER.encode() + b"\0" + body)
    frame = _open(RING.signing_id.to_bytes(KEY_ID_BYTES, "big") + tag + body)
    assert frame is None or isinstance(frame, Frame)


@fuzz
@given(packed | st.binary(max_size=60))
def test_payloads_are_messages_or_invalid(payload):
    for cls in MESSAGE_CLASSES:
        try:
            assert isinstance(codec.unpack_compact(payload, cls), cls)
        except codec.InvalidValue as error:
            assert error.problems


async def test_entry_answers_every_bad_request_with_a_problem_document():
    source = random.Random(FUZZ_SEED)
    async with running_system(1) as system:
        for _ in range(FUZZ_REQUESTS):
            bad = _bad_request(source)
            async with system.client.request(
                bad.method, system.url(bad.path), data=bad.body, headers=bad.headers
            ) as response:
                body = await response.read()
            assert 400 <= response.status < 600, bad
            problem = json.loads(body)
            assert problem["code"].startswith("TK-"), bad
            assert problem["code"] != ResultCode.INTERNAL.code, (bad, problem)
            assert problem["ran"] == "no", bad
        async with system.client.get(system.url("/v1/models")) as response:
            assert response.status == 200


@attrs.frozen
class _BadRequest:
    method: str
    path: str
    body: bytes
    headers: dict


def _bad_request(source: random.Random) -> _BadRequest:
    paths = ("/v1/chat/completions", "/v1/services/booking/reserve", "/v2", "/v1/%00")
    bodies = (
        b"",
        b"{",
        b"\xff\xfe",
        b"[" * 5_000,
        b'{"model": "petition-summary"}',
        b'{"model": "petition-summary", "messages": []}',
        b'{"model": "x", "messages": [{"role": "user", "content": "y"}]}',
        b'{"model": "petition-summary", "messages": [{"role": 1, "content": {}}]}',
        source.randbytes(source.randrange(300)),
    )
    headers = source.choice(
        (
            {},
            {"Authorization": "Bearer " + "x" * source.randrange(600)},
            {"X-Deadline-Ms": source.choice(("-1", "0", "1e3", "", "9" * 30, "²"))},
            {"X-Request-Id": source.choice(("", "a b", "é", "x" * 200))},
            {"Content-Encoding": "gzip"},
            {"Content-Type": "text/plain; charset=no-such"},
        )
    )
    method = source.choice(("POST", "POST", "POST", "GET", "DELETE"))
    return _BadRequest(method, source.choice(paths), source.choice(bodies), headers)


def load_tests(loader, tests, pattern):
    return collect(globals())
