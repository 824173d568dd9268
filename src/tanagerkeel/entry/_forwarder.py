"""Serve requests in this failure domain, or forward them to another one."""

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
    ForwardedCall,
    ForwardedModelRequest,
    ForwardFailed,
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

MS_PER_S = 1_000
TENTHS_PER_S = 10
# Maximum forwards of one request, over all failure domains.
MAX_FORWARDS = 4
# For each failure domain: the newest addresses to choose from, and how many of them
# are tried.
NEWEST_ADDRESSES = 4
ADDRESSES_PER_DOMAIN = 2
# A request with less time left than this isn't forwarded.
MIN_REMAINING_S = 0.05

# Refusals whose cause another failure domain may not have; it is tried then.
FORWARDABLE_RESULTS = frozenset(
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
    """Sends calls to plain services in this failure domain."""

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """Return the service's reply."""


@attrs.frozen
class _Target:
    domain: str
    address: str


@attrs.define
class Forwarder:
    """
    Serves requests in this failure domain, and forwards what is refused there.

    A request is forwarded only if it was refused here and has not run. A forwarded
    request is never forwarded again. When every failure domain refuses, the caller
    gets the refusal of this one.

    :param context: the node's configuration, state and instruments.
    :param models: answers model requests in this failure domain.
    :param services: sends calls to plain services in this failure domain.
    :param domains: holds the summaries of the other failure domains; None when the
        setting ``control`` is off.
    :param gateway: forwards to other nodes; None when ``control`` is off.
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
        refusal = self._local_refusal(request)
        if refusal is None:
            started = False
            try:
                async with contextlib.aclosing(self._models.answer(request)) as chunks:
                    async for chunk in chunks:
                        started = True
                        yield chunk
                return
            except TanagerkeelError as error:
                if started or not self._may_forward(request, error):
                    raise
                refusal = error
        async with contextlib.aclosing(
            self._answer_remotely(request, refusal)
        ) as chunks:
            async for chunk in chunks:
                yield chunk

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """
        Return a plain service's reply.

        :raises TanagerkeelError: when there is no reply; its ``ran`` tells whether the
            call ran.
        """
        refusal = self._local_refusal(request)
        if refusal is None:
            try:
                return await self._services.call(request)
            except TanagerkeelError as error:
                if not self._may_forward(request, error):
                    raise
                refusal = error
        refused_domains: set[str] = set()
        async for target in self._targets(request, refused_domains):
            forwarded = self._forwarded_call(request)
            try:
                reply = await self._gateway.call(target.address, forwarded)
            except ForwardFailed as error:
                self._record_forward_failure(request, target, error)
            except TanagerkeelError as error:
                self._record_refusal(request, target, error)
                refused_domains.add(target.domain)
            else:
                self._record_forward(request, target, "answered")
                return ServiceReply(reply.status, reply.body, reply.content_type)
        raise refusal

    async def _answer_remotely(
        self, request: ModelRequest, refusal: TanagerkeelError
    ) -> AsyncIterator[AnswerChunk]:
        refused_domains: set[str] = set()
        async for target in self._targets(request, refused_domains):
            started = False
            with self._context.tracing.span("forward", request.traceparent) as span:
                forwarded = self._forwarded_model(request, span.traceparent)
                chunks = self._gateway.answer(target.address, forwarded)
                try:
                    async with contextlib.aclosing(chunks):
                        async for chunk in verify_stream(chunks, forwarded.forward_id):
                            started = True
                            yield chunk
                except ForwardFailed as error:
                    self._record_forward_failure(request, target, error)
                except StreamMismatch as error:
                    failed = ForwardFailed(error.detail)
                    self._record_forward_failure(request, target, failed)
                except TanagerkeelError as error:
                    if started:
                        raise
                    self._record_refusal(request, target, error)
                    refused_domains.add(target.domain)
                else:
                    self._record_forward(request, target, "answered")
                    return
        raise refusal

    async def _targets(
        self, request: ModelRequest | ServiceRequest, refused_domains: set[str]
    ) -> AsyncIterator[_Target]:
        forward_count = 0
        async for target in self._targets_by_wait(request):
            remaining_s = request.deadline_s - self._context.clock.monotonic()
            if forward_count >= MAX_FORWARDS or remaining_s < MIN_REMAINING_S:
                return
            if target.domain in refused_domains:
                continue
            forward_count += 1
            self._record_forward(request, target, "sent")
            yield target

    async def _targets_by_wait(
        self, request: ModelRequest | ServiceRequest
    ) -> AsyncIterator[_Target]:
        reachable = []
        for domain in self._remote_domains(request):
            received = await self._domains.look_up(domain.name)
            wait_s = _wait_s(request, received)
            remaining_s = request.deadline_s - self._context.clock.monotonic()
            if wait_s is not None and wait_s < remaining_s:
                reachable.append(
                    (wait_s, self._context.random.random(), domain, received)
                )
        for _, _, domain, received in sorted(reachable, key=lambda row: row[:2]):
            # Any node of the domain can serve it; the second address is tried when
            # the first node no longer runs.
            newest = received.forward_addresses[:NEWEST_ADDRESSES]
            count = min(len(newest), ADDRESSES_PER_DOMAIN)
            for address in self._context.random.sample(newest, count):
                yield _Target(domain.name, address)

    def _remote_domains(
        self, request: ModelRequest | ServiceRequest
    ) -> Iterator[FailureDomain]:
        # A node with a stale view knows too little about the other domains. A
        # forwarded request isn't forwarded again.
        if self._gateway is None or self._context.members.stale or request.forwarded_by:
            return
        own = self._context.settings.failure_domain
        catalog = self._context.configuration.current
        for domain in catalog.configuration.failure_domains:
            if domain.name != own and not domain.out:
                yield domain

    def _local_refusal(
        self, request: ModelRequest | ServiceRequest
    ) -> TanagerkeelError | None:
        """
        Return why this failure domain can't serve the request; None if it can.

        :raises TanagerkeelError: when it can't, and the request was forwarded here.
        """
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

    def _may_forward(
        self, request: ModelRequest | ServiceRequest, error: TanagerkeelError
    ) -> bool:
        forwardable = error.result in FORWARDABLE_RESULTS and error.ran is Ran.NO
        return forwardable and not request.forwarded_by

    def _forwarded_model(
        self, request: ModelRequest, traceparent: str
    ) -> ForwardedModelRequest:
        return ForwardedModelRequest(
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
        # 0 would mean that there is no timeout.
        return max(1, int(remaining_s * MS_PER_S))

    def _record_forward_failure(
        self,
        request: ModelRequest | ServiceRequest,
        target: _Target,
        error: ForwardFailed,
    ) -> None:
        self._record_forward(request, target, f"broke off: {error.reason}")
        if error.sent:
            raise TanagerkeelError(
                ResultCode.FORWARD_FAILED, target.domain, Ran.UNKNOWN
            ) from error

    def _record_refusal(
        self,
        request: ModelRequest | ServiceRequest,
        target: _Target,
        error: TanagerkeelError,
    ) -> None:
        self._record_forward(request, target, f"refused: {error}")
        if error.ran is not Ran.NO or error.result not in (
            *FORWARDABLE_RESULTS,
            ResultCode.FORWARD_REFUSED,
            ResultCode.STOPPING,
            ResultCode.NO_CONFIGURATION,
        ):
            raise error

    def _record_forward(
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
    """Return the expected wait in another failure domain; None if it can't serve it."""
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
            return (
                capacity.wait_tenths_s / TENTHS_PER_S if capacity is not None else None
            )
