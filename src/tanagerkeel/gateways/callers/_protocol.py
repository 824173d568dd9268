"""Interfaces through which the HTTP applications call the node."""

from collections.abc import AsyncIterator
from typing import Protocol

from tanagerkeel.configuration import Catalog
from tanagerkeel.gateways.callers._status import NodeStatus
from tanagerkeel.gateways.services import ServiceReply
from tanagerkeel.requests import AnswerChunk, ModelRequest, ServiceRequest

__all__ = ["OperatorHandler", "RequestHandler"]


class RequestHandler(Protocol):
    """Carries out callers' requests; methods raise ``TanagerkeelError``."""

    def catalog(self) -> Catalog:
        """Return the configuration in force, or raise NO_CONFIGURATION."""

    def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """
        Yield the chunks of the answer; the last one is an ``AnswerEnd``.

        Closing the iterator ends the request and frees its resources.
        """

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """Call a plain service and return its reply."""


class OperatorHandler(Protocol):
    """Supplies the data of the operators' interface."""

    def ready(self) -> bool:
        """Return whether the load balancer may send callers to this node."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    def status(self) -> NodeStatus:
        """Return the state of the node and the backend servers that it knows."""

    def explain(self, request_id: str) -> str:
        """Return a text that describes how a request was handled."""
