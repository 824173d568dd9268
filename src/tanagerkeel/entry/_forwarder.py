"""Serve requests here, or forward them to another failure domain."""

import contextlib
import uuid
from collections.abc import AsyncIterator, Iterator
from typing import Protocol

import attrs

from tanagerkeel.configuration import BackendServer, FailureDomain
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._domains_task import DomainsTask
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.forward import (
    ForwardBroken,
    ForwardedCall,
    ForwardedModel,
    HttpForwardGateway,
)
from tanagerkeel.gateways.services import ServiceReply
from tanagerkeel.membership import ReceivedSummary, model_number
from tanagerkeel.requests import (
    AnswerChunk,
    ModelRequest,
    ServiceRequest,
    StreamMismatch,
    verify_stream,
)

__all__ = ["Forwarder", "ModelHandler", "ServiceHandler"]

MILLISECONDS = 1_000
TENTHS = 10
MAX_TRIES = 4
# Addresses of another failure domain that are chosen among, and that are tried.
NEWEST_ADDRESSES = 4
ADDRESSES_TRIED = 2
# Less time than this is not worth a hop.
MIN_REMAINING_S = 0.05

# Refusals that another failure domain may not have.
SPILLED = frozenset(
    {
        ResultCode.NO_BACKEND,
        ResultCode.NO_PERMIT,
        ResultCode.NO_MEMORY,
        ResultCode.DEADLINE_INFEASIBLE,
        ResultCode.OVERLOADED,
    }
)


class ModelHandler(Protocol):
    """Answers model requests in this failure domain."""

    def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """Yield the answer; its last chunk is an ``AnswerEnd``."""


class ServiceHandler(Protocol):
    """Carries out calls of plain services in this failure domain."""

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """Return the service's reply."""


@attrs.frozen
class _Target:
    domain: str
    address: str


@attrs.define
class Forwarder:
    """
    Work stays here unless it is refused here without having run.

    A forwarded request is never forwarded again. When every failure domain
    refuses, the caller gets this one's refusal.

    :param context: the node's gateways and state.
    :param models: answers model requests here.
    :param services: carries out calls here.
    :param domains: knows the other failure domains; None with control off.
    :param gateway: forwards to other nodes; None with control off.
    """

    _context: NodeContext
    _models: ModelHandler
    _services: ServiceHandler
    _domains: DomainsTask | None
    _gateway: HttpForwardGateway | None

    async def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """
        Yield the answer; its last chunk is an ``AnswerEnd``.

        :raises TanagerkeelError: when the request can't be answered.
        """
        refusal = self._refusal_here(request)
        if refusal is None:
            started = False
            try:
                async with contextlib.aclosing(self._models.answer(request)) as chunks:
                    async for chunk in chunks:
                        started = True
                        yield chunk
                return
            except TanagerkeelError as error:
                if started or not self._may_spill(request, error):
                    raise
                refusal = error
        async with contextlib.aclosing(self._forwarded(request, refusal)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """
        Return a plain service's reply.

        :raises TanagerkeelError: when the call can't be carried out.
        """
        refusal = self._refusal_here(request)
        if refusal is None:
            try:
                return await self._services.call(request)
            except TanagerkeelError as error:
                if not self._may_spill(request, error):
                    raise
                refusal = error
        refused: set[str] = set()
        async for target in self._targets(request, refused):
            forwarded = self._forwarded_call(request)
            try:
                reply = await self._gateway.call(target.address, forwarded)
            except ForwardBroken as error:
                self._note_broken(request, target, error)
            except TanagerkeelError as error:
                self._note_refused(request, target, error)
                refused.add(target.domain)
            else:
                self._note(request, target, "answered")
                return ServiceReply(reply.status, reply.body, reply.content_type)
        raise refusal

    async def _forwarded(
        self, request: ModelRequest, refusal: TanagerkeelError
    ) -> AsyncIterator[AnswerChunk]:
        refused: set[str] = set()
        async for target in self._targets(request, refused):
            started = False
            with self._context.tracing.hop("forward", request.traceparent) as hop:
                forwarded = self._forwarded_model(request, hop.traceparent)
                chunks = self._gateway.answer(target.address, forwarded)
                try:
                    async with contextlib.aclosing(chunks):
                        async for chunk in verify_stream(chunks, forwarded.forward_id):
                            started = True
                            yield chunk
                except ForwardBroken as error:
                    self._note_broken(request, target, error)
                except StreamMismatch as error:
                    broken = ForwardBroken(error.detail)
                    self._note_broken(request, target, broken)
                except TanagerkeelError as error:
                    if started:
                        raise
                    self._note_refused(request, target, error)
                    refused.add(target.domain)
                else:
                    self._note(request, target, "answered")
                    return
        raise refusal

    async def _targets(
        self, request: ModelRequest | ServiceRequest, refused: set[str]
    ) -> AsyncIterator[_Target]:
        tries = 0
        async for target in self._by_wait(request):
            remaining_s = request.deadline_s - self._context.clock.monotonic()
            if tries >= MAX_TRIES or remaining_s < MIN_REMAINING_S:
                return
            if target.domain in refused:
                continue
            tries += 1
            self._note(request, target, "sent")
            yield target

    async def _by_wait(
        self, request: ModelRequest | ServiceRequest
    ) -> AsyncIterator[_Target]:
        found = []
        for domain in self._domains_for(request):
            received = await self._domains.look_up(domain.name)
            wait_s = _wait_s(request, received)
            remaining_s = request.deadline_s - self._context.clock.monotonic()
            if wait_s is not None and wait_s < remaining_s:
                found.append((wait_s, self._context.random.random(), domain, received))
        for _, _, domain, received in sorted(found, key=lambda row: row[:2]):
            # Any of them takes the work; the second one in case the first is gone.
            newest = received.forward_addresses[:NEWEST_ADDRESSES]
            count = min(len(newest), ADDRESSES_TRIED)
            for address in self._context.random.sample(newest, count):
                yield _Target(domain.name, address)

    def _domains_for(
        self, request: ModelRequest | ServiceRequest
    ) -> Iterator[FailureDomain]:
        # A stale node knows too little, and what was forwarded stays.
        if self._gateway is None or self._context.members.stale or request.forwarded_by:
            return
        own = self._context.settings.failure_domain
        catalog = self._context.configuration.current
        for domain in catalog.configuration.failure_domains:
            if domain.name != own and not domain.out:
                yield domain

    def _refusal_here(
        self, request: ModelRequest | ServiceRequest
    ) -> TanagerkeelError | None:
        """Return why there is no use in trying here, or None."""
        own = self._context.settings.failure_domain
        catalog = self._context.configuration.current
        domain = catalog.domains.get(own)
        if domain is not None and domain.out:
            reason = f"{own} is out"
            if request.forwarded_by:
                raise TanagerkeelError(ResultCode.FORWARD_REFUSED, reason)
        elif any(_serves(server, request) for server in catalog.backends_in(own)):
            return None
        else:
            reason = f"nothing in {own} serves it"
            if request.forwarded_by:
                raise TanagerkeelError(ResultCode.NO_BACKEND, reason)
        return TanagerkeelError(ResultCode.NO_BACKEND, reason, retry_after_s=1.0)

    def _may_spill(
        self, request: ModelRequest | ServiceRequest, error: TanagerkeelError
    ) -> bool:
        spilled = error.result in SPILLED and error.ran is Ran.NO
        return spilled and not request.forwarded_by

    def _forwarded_model(
        self, request: ModelRequest, traceparent: str
    ) -> ForwardedModel:
        return ForwardedModel(
            forward_id=uuid.uuid4().hex,
            forwarded_by=self._context.settings.node_id,
            request_id=request.request_id,
            account=request.account,
            model=request.model,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            length_class=request.length_class,
            remaining_ms=self._remaining_ms(request),
            traceparent=traceparent,
        )

    def _forwarded_call(self, request: ServiceRequest) -> ForwardedCall:
        return ForwardedCall(
            forwarded_by=self._context.settings.node_id,
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            operation=request.operation,
            body=request.body,
            content_type=request.content_type,
            idempotency_key=request.idempotency_key,
            remaining_ms=self._remaining_ms(request),
            traceparent=request.traceparent,
        )

    def _remaining_ms(self, request: ModelRequest | ServiceRequest) -> int:
        remaining_s = request.deadline_s - self._context.clock.monotonic()
        # 0 would mean no timeout at all.
        return max(1, int(remaining_s * MILLISECONDS))

    def _note_broken(
        self,
        request: ModelRequest | ServiceRequest,
        target: _Target,
        error: ForwardBroken,
    ) -> None:
        self._note(request, target, f"broke off: {error.reason}")
        if error.sent:
            raise TanagerkeelError(
                ResultCode.FORWARD_FAILED, target.domain, Ran.UNKNOWN
            ) from error

    def _note_refused(
        self,
        request: ModelRequest | ServiceRequest,
        target: _Target,
        error: TanagerkeelError,
    ) -> None:
        self._note(request, target, f"refused: {error}")
        if error.ran is not Ran.NO or error.result not in (
            *SPILLED,
            ResultCode.FORWARD_REFUSED,
            ResultCode.STOPPING,
            ResultCode.NO_CONFIGURATION,
        ):
            raise error

    def _note(
        self, request: ModelRequest | ServiceRequest, target: _Target, outcome: str
    ) -> None:
        self._context.explanations.note(
            request.request_id, f"forward to {target.domain}: {outcome}"
        )
        log(
            LogEvent.REQUEST_FORWARDED,
            request_id=request.request_id,
            domain=target.domain,
            outcome=outcome,
        )


def _serves(server: BackendServer, request: ModelRequest | ServiceRequest) -> bool:
    match request:
        case ModelRequest(model=model):
            return model in server.models
        case ServiceRequest(service=service):
            return service in server.services


def _wait_s(
    request: ModelRequest | ServiceRequest, received: ReceivedSummary | None
) -> float | None:
    """Return the expected wait in another failure domain; None for no chance."""
    if received is None:
        return None
    match request:
        case ServiceRequest():
            return 0.0
        case ModelRequest(model=model):
            number = model_number(model)
            capacities = (
                c for c in received.summary.model_capacities if c.model == number
            )
            capacity = next(capacities, None)
            return capacity.wait_tenths_s / TENTHS if capacity is not None else None
