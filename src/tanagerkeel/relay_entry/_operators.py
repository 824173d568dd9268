"""HTTP applications of a relaying node for the load balancer and operators."""

import attrs
import falcon
import falcon.asgi
import prometheus_client

from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["metrics_app", "readiness_app"]


@attrs.frozen
class _Readiness:
    _state: RelayState

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        ready = self._state.ready
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.content_type = falcon.MEDIA_TEXT
        response.text = "ready" if ready else "not ready"


@attrs.frozen
class _Metrics:
    _metrics: RelayMetrics

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.content_type = prometheus_client.CONTENT_TYPE_LATEST
        response.data = self._metrics.exposition()


def readiness_app(state: RelayState, path: str) -> falcon.asgi.App:
    """
    Return the application that reports the node's readiness to the load balancer.

    :param state: the node's state.
    :param path: the path that answers with status 200 if ready, 503 if not.
    """
    app = falcon.asgi.App()
    app.add_route(path, _Readiness(state))
    return app


def metrics_app(metrics: RelayMetrics) -> falcon.asgi.App:
    """Return the application that serves the metrics under ``/metrics``."""
    app = falcon.asgi.App()
    app.add_route("/metrics", _Metrics(metrics))
    return app
