"""The HTTP interface of operators: health, metrics, status, and explanations."""

import attrs
import falcon
import falcon.asgi
from prometheus_client import CONTENT_TYPE_LATEST

from tanagerkeel import codec
from tanagerkeel.gateways.callers._errors import make_problem_app
from tanagerkeel.gateways.callers._protocol import OperatorHandler

__all__ = ["make_operators_app"]


@attrs.frozen
class _Live:
    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.text = "live"


@attrs.frozen
class _Ready:
    _handler: OperatorHandler

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        ready = self._handler.ready()
        response.status = falcon.HTTP_OK if ready else falcon.HTTP_SERVICE_UNAVAILABLE
        response.text = "ready" if ready else "not ready"


@attrs.frozen
class _Metrics:
    _handler: OperatorHandler

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.content_type = CONTENT_TYPE_LATEST
        response.data = self._handler.metrics()


@attrs.frozen
class _Status:
    _handler: OperatorHandler

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.content_type = falcon.MEDIA_JSON
        response.data = codec.encode(self._handler.status())


@attrs.frozen
class _Explain:
    _handler: OperatorHandler

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        request_id: str,
    ) -> None:
        response.text = self._handler.explain(request_id)


def make_operators_app(handler: OperatorHandler) -> falcon.asgi.App:
    """Return the ASGI application for operators."""
    app = make_problem_app()
    app.add_route("/livez", _Live())
    app.add_route("/readyz", _Ready(handler))
    app.add_route("/metrics", _Metrics(handler))
    app.add_route("/status", _Status(handler))
    app.add_route("/explain/{request_id}", _Explain(handler))
    return app
