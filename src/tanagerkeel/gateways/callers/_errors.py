"""Turns every error of an HTTP interface into a problem document."""

import traceback

import falcon
import falcon.asgi

from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.problems import (
    REQUEST_ID_HEADER,
    safe_request_id,
    send_problem,
)

__all__ = ["internal_error", "make_problem_app"]


def internal_error(error: Exception) -> TanagerkeelError:
    """Log an unexpected exception and return the error that the caller gets."""
    log(LogEvent.INTERNAL_ERROR, error=repr(error), traceback=traceback.format_exc())
    # An unexpected exception doesn't show whether the request was executed.
    return TanagerkeelError(ResultCode.INTERNAL, type(error).__name__, ran=Ran.UNKNOWN)


class _RequestIdMiddleware:
    async def process_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        request_id = safe_request_id(request.get_header(REQUEST_ID_HEADER))
        request.context.request_id = request_id
        response.set_header(REQUEST_ID_HEADER, request_id)


async def _on_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: TanagerkeelError,
    params: dict[str, str],
) -> None:
    send_problem(response, error, request.context.request_id)


async def _on_http_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: falcon.HTTPError,
    params: dict[str, str],
) -> None:
    match error.status:
        case falcon.HTTP_NOT_FOUND:
            result = ResultCode.NOT_FOUND
        case falcon.HTTP_METHOD_NOT_ALLOWED:
            result = ResultCode.METHOD_NOT_ALLOWED
        case _:
            result = ResultCode.MALFORMED_REQUEST
    problem = TanagerkeelError(result, error.description or "")
    send_problem(response, problem, request.context.request_id)
    response.set_headers(error.headers or {})


async def _on_unexpected(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: Exception,
    params: dict[str, str],
) -> None:
    send_problem(response, internal_error(error), request.context.request_id)


def make_problem_app() -> falcon.asgi.App:
    """Return an application that answers every error with a problem document."""
    app = falcon.asgi.App(middleware=[_RequestIdMiddleware()])
    app.add_error_handler(Exception, _on_unexpected)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_error_handler(TanagerkeelError, _on_error)
    return app
