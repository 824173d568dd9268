"""Parses the headers and body of a caller's request."""

import asyncio
import re

import falcon.asgi

from tanagerkeel.configuration import BackendKind, Catalog, ClientAccount, Model
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.callers._chat import ChatCompletion
from tanagerkeel.gateways.cooperative import run_cooperatively
from tanagerkeel.gateways.problems import REQUEST_ID_HEADER
from tanagerkeel.requests import (
    LengthClass,
    ModelRequest,
    block_hashes,
    estimate_tokens,
    fingerprint,
    length_class_of,
)

__all__ = [
    "authenticate",
    "deadline_ms_of",
    "parse_model_request",
    "read_body",
    "request_id_of",
]

BEARER_PATTERN = re.compile(r"Bearer +(\S{1,512})", re.IGNORECASE)
MAX_DEADLINE_MS = 24 * 3_600 * 1_000
# Hashing more blocks doesn't improve the choice of an engine that has the prefix
# cached.
MAX_AFFINITY_BLOCKS = 64
# From the end of the headers to the end of the body.
BODY_TIMEOUT_S = 60.0


def request_id_of(request: falcon.asgi.Request) -> str:
    """
    Return the caller's request id, or the one generated for a request without one.

    :raises TanagerkeelError: BAD_REQUEST_ID if the caller's id is invalid.
    """
    request_id = request.context.request_id
    if request.get_header(REQUEST_ID_HEADER) not in (None, request_id):
        raise TanagerkeelError(ResultCode.BAD_REQUEST_ID)
    return request_id


def authenticate(request: falcon.asgi.Request, catalog: Catalog) -> ClientAccount:
    """
    Return the client account that the request's bearer key belongs to.

    :raises TanagerkeelError: UNAUTHENTICATED if the key is missing or unknown.
    """
    match = BEARER_PATTERN.fullmatch(request.get_header("Authorization") or "")
    account = catalog.account_of_key(match.group(1)) if match else None
    if account is None:
        raise TanagerkeelError(ResultCode.UNAUTHENTICATED)
    return account


def deadline_ms_of(request: falcon.asgi.Request) -> int | None:
    """
    Return the caller's deadline, or None without one.

    :returns: milliseconds from the arrival of the headers.
    :raises TanagerkeelError: BAD_DEADLINE.
    """
    value = request.get_header("X-Deadline-Ms")
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) < len(str(10**10))):
        raise TanagerkeelError(ResultCode.BAD_DEADLINE, "not a whole number")
    if not 0 < int(value) <= MAX_DEADLINE_MS:
        raise TanagerkeelError(ResultCode.BAD_DEADLINE, "out of range")
    return int(value)


async def read_body(request: falcon.asgi.Request, limit: int) -> bytearray:
    """
    Return the body of a request once it has arrived.

    :param limit: largest body that is accepted, in bytes.
    :raises TanagerkeelError: BODY_TOO_LARGE or BODY_TIMEOUT.
    """
    too_large = TanagerkeelError(ResultCode.BODY_TOO_LARGE, f"more than {limit} bytes")
    if (request.content_length or 0) > limit:
        raise too_large
    body = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for part in request.stream:
                body += part
                if len(body) > limit:
                    raise too_large
    except TimeoutError as error:
        raise TanagerkeelError(ResultCode.BODY_TIMEOUT) from error
    return body


async def parse_model_request(
    request: falcon.asgi.Request,
    chat: ChatCompletion,
    account: ClientAccount,
    catalog: Catalog,
    now: float,
) -> ModelRequest:
    """
    Return the model request that a chat completion asks for.

    :param request: supplies the headers.
    :param chat: the parsed body.
    :param account: the authenticated client account.
    :param catalog: the configuration in force.
    :param now: monotonic time at which the headers arrived, in seconds.
    :raises TanagerkeelError: MODEL_NOT_FOUND, PROMPT_TOO_LONG, BAD_DEADLINE or
        BAD_REQUEST_ID.
    """
    model = _model_of(chat, account, catalog)
    request_id = request_id_of(request)
    requested_ms = deadline_ms_of(request)
    prompt = chat.prompt
    tokens = estimate_tokens(prompt)
    if tokens > model.max_prompt_tokens:
        raise TanagerkeelError(
            ResultCode.PROMPT_TOO_LONG, f"about {tokens} of {model.max_prompt_tokens}"
        )
    length_class = length_class_of(
        tokens,
        catalog.configuration.length_classes,
        _largest_memory_tokens(model, catalog),
    )
    deadline_s = _default_deadline_s(length_class, catalog)
    if requested_ms is not None:
        deadline_s = min(deadline_s, requested_ms / 1_000)
    names = (account.name, model.name)
    blocks = block_hashes(account.name, prompt, MAX_AFFINITY_BLOCKS)
    return ModelRequest(
        request_id=request_id,
        account=account.name,
        model=model.name,
        prompt=prompt,
        prompt_tokens=tokens,
        max_tokens=min(
            chat.requested_max_tokens or model.max_output_tokens,
            model.max_output_tokens,
        ),
        length_class=length_class,
        deadline_s=now + deadline_s,
        received_s=now,
        fingerprint=await run_cooperatively(len(prompt), fingerprint, *names, prompt),
        blocks=blocks,
        traceparent=request.get_header("traceparent") or "",
    )


def _model_of(chat: ChatCompletion, account: ClientAccount, catalog: Catalog) -> Model:
    model = catalog.models.get(chat.model)
    if model is None or model.name not in account.models:
        raise TanagerkeelError(ResultCode.MODEL_NOT_FOUND)
    return model


def _largest_memory_tokens(model: Model, catalog: Catalog) -> int:
    servers = catalog.configuration.backend_servers
    sizes = (
        b.memory_tokens
        for b in servers
        if b.kind is BackendKind.ENGINE and model.name in b.models
    )
    return max(sizes, default=0)


def _default_deadline_s(length_class: LengthClass, catalog: Catalog) -> float:
    policy = catalog.configuration.length_classes
    match length_class:
        case LengthClass.SHORT:
            return policy.short_deadline_s
        case LengthClass.LONG:
            return policy.long_deadline_s
        case LengthClass.GANG:
            return policy.gang_deadline_s
