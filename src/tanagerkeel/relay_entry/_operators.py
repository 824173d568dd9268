"""HTTP applications of a relaying node for the load balancer and operators."""

from collections.abc import Callable

import attrs
import prometheus_client

from tanagerkeel.relay import Headers
from tanagerkeel.relay_entry._asgi_reply import Event, Receive, Send
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["metrics_app", "readiness_app"]

TEXT = "text/plain; charset=utf-8"


@attrs.frozen
class _Page:
    """
    An ASGI application with one page.

    :param path: path of the page; all others answer with status 404.
    :param render: returns its status, content type and content.
    """

    _path: str
    _render: Callable[[], tuple[int, str, bytes]]

    async def __call__(self, scope: Event, receive: Receive, send: Send) -> None:
        """Serve one ASGI request; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        headers: Headers = ()
        if scope["path"] != self._path:
            status, content_type, body = 404, TEXT, b""
        elif scope["method"] != "GET":
            status, content_type, body = 405, TEXT, b""
            headers = ((b"allow", b"GET"),)
        else:
            status, content_type, body = self._render()
        headers = (
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
            *headers,
        )
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


def readiness_app(state: RelayState, path: str) -> _Page:
    """
    Return the application that reports the node's readiness to the load balancer.

    :param state: the node's state.
    :param path: the path that answers with status 200 if ready, 503 if not.
    """
    return _Page(
        path,
        lambda: (200, TEXT, b"ready") if state.ready else (503, TEXT, b"not ready"),
    )


def metrics_app(metrics: RelayMetrics) -> _Page:
    """Return the application that serves the metrics under ``/metrics``."""
    content_type = prometheus_client.CONTENT_TYPE_LATEST
    return _Page("/metrics", lambda: (200, content_type, metrics.exposition()))
