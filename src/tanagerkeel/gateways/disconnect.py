"""ASGI middleware that cancels a request when its caller disconnects."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import attrs

__all__ = ["CancelOnDisconnect", "exit_stack_of"]

EXIT_STACK = "tanagerkeel.exit_stack"

Event = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Event]]
Send = Callable[[Event], Awaitable[None]]
Application = Callable[[Event, Receive, Send], Awaitable[None]]


def exit_stack_of(scope: Event) -> contextlib.AsyncExitStack:
    """
    Return the exit stack that is closed when the request ends, however it ends.

    Response streams are registered here: one that is cancelled while it is suspended
    at a ``yield`` would otherwise be closed only by the garbage collector.

    :param scope: the request's ASGI scope.
    """
    return scope[EXIT_STACK]


@attrs.frozen
class CancelOnDisconnect:
    """
    Wraps an ASGI application and cancels its task when the caller disconnects.

    Without it, a stream that waits for its engine would notice that the caller has
    disconnected only at its next write.

    :param application: the wrapped application.
    """

    _application: Application

    async def __call__(self, scope: Event, receive: Receive, send: Send) -> None:
        """Serve one ASGI request; scopes other than HTTP are passed on unchanged."""
        if scope["type"] != "http":
            await self._application(scope, receive, send)
            return
        body_ended = asyncio.Event()

        async def receive_body() -> Event:
            if body_ended.is_set():
                # From here on only watch_disconnect() receives.
                await asyncio.Event().wait()
            event = await receive()
            if event["type"] == "http.disconnect" or not event.get("more_body"):
                body_ended.set()
            return event

        async def send_and_yield(event: Event) -> None:
            # send() may return without suspending, even after the caller has
            # disconnected: a stream that always has data would then never let other
            # tasks run and would never be cancelled.
            await asyncio.sleep(0)
            await send(event)

        async def watch_disconnect() -> None:
            await body_ended.wait()
            while (await receive())["type"] != "http.disconnect":
                pass

        async with contextlib.AsyncExitStack() as exit_stack:
            scope = {**scope, EXIT_STACK: exit_stack}
            serving = asyncio.ensure_future(
                self._application(scope, receive_body, send_and_yield)
            )
            watching = asyncio.ensure_future(watch_disconnect())
            await _wait_for_first(serving, watching)


async def _wait_for_first(serving: asyncio.Future, watching: asyncio.Future) -> None:
    try:
        await asyncio.wait({serving, watching}, return_when=asyncio.FIRST_COMPLETED)
        if serving.done():
            serving.result()
    finally:
        for task in (serving, watching):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
