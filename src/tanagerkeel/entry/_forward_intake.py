"""Serve requests that other failure domains forwarded."""

import contextlib
from collections.abc import AsyncIterator

import attrs

from tanagerkeel.configuration import Catalog
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._forwarder import Forwarder
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.forward import (
    ForwardedCall,
    ForwardedModelRequest,
    ForwardReply,
)
from tanagerkeel.requests import (
    AnswerChunk,
    ModelRequest,
    ServiceRequest,
    block_hashes,
    fingerprint,
)

__all__ = ["ForwardIntake"]

MS_PER_S = 1_000
MAX_AFFINITY_BLOCKS = 64


@attrs.define
class ForwardIntake:
    """
    Serves forwarded requests as if callers had sent them to this node.

    :param context: the node's configuration and clock.
    :param forwarder: serves the requests; it doesn't forward them again.
    """

    _context: NodeContext
    _forwarder: Forwarder

    async def answer(
        self, forwarded: ForwardedModelRequest
    ) -> AsyncIterator[AnswerChunk]:
        """
        Yield the answer; its last chunk is an ``AnswerEnd``.

        :raises TanagerkeelError: when the request can't be answered here.
        """
        catalog = self._catalog()
        self._check_account(catalog, forwarded.account)
        if forwarded.model not in catalog.models:
            raise TanagerkeelError(
                ResultCode.FORWARD_REFUSED, "the model is unknown here"
            )
        now = self._context.clock.monotonic()
        request = ModelRequest(
            request_id=forwarded.request_id,
            account=forwarded.account,
            model=forwarded.model,
            prompt=forwarded.prompt,
            prompt_tokens=forwarded.prompt_tokens,
            max_tokens=forwarded.max_tokens,
            length_class=forwarded.length_class,
            deadline_s=now + forwarded.remaining_ms / MS_PER_S,
            received_s=now,
            fingerprint=fingerprint(
                forwarded.account, forwarded.model, forwarded.prompt
            ),
            blocks=block_hashes(
                forwarded.account, forwarded.prompt, MAX_AFFINITY_BLOCKS
            ),
            traceparent=forwarded.traceparent,
            forwarded_by=forwarded.forwarded_by,
        )
        async with contextlib.aclosing(self._forwarder.answer(request)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def call(self, forwarded: ForwardedCall) -> ForwardReply:
        """
        Return a plain service's reply.

        :raises TanagerkeelError: when there is no reply; its ``ran`` tells whether the
            call ran.
        """
        catalog = self._catalog()
        self._check_account(catalog, forwarded.account)
        if catalog.operation(forwarded.service, forwarded.operation) is None:
            raise TanagerkeelError(
                ResultCode.FORWARD_REFUSED, "the operation is unknown here"
            )
        now = self._context.clock.monotonic()
        reply = await self._forwarder.call(
            ServiceRequest(
                request_id=forwarded.request_id,
                account=forwarded.account,
                service=forwarded.service,
                operation=forwarded.operation,
                body=forwarded.body,
                content_type=forwarded.content_type,
                idempotency_key=forwarded.idempotency_key,
                deadline_s=now + forwarded.remaining_ms / MS_PER_S,
                received_s=now,
                traceparent=forwarded.traceparent,
                forwarded_by=forwarded.forwarded_by,
            )
        )
        return ForwardReply(reply.status, reply.body, reply.content_type)

    def _catalog(self) -> Catalog:
        current = self._context.configuration.current
        if current is None:
            raise TanagerkeelError(ResultCode.NO_CONFIGURATION)
        return current

    def _check_account(self, catalog: Catalog, account: str) -> None:
        # The forwarding node may have another version of the configuration.
        if account not in catalog.accounts:
            raise TanagerkeelError(
                ResultCode.FORWARD_REFUSED, "the client account is unknown here"
            )
