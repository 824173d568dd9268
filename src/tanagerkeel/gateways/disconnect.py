"""Cancel a request's task when its caller goes away, and clean up after it."""

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
    Return what is closed when a request ends, however it ends.

    A cancelled response stream that stands at a ``yield`` would otherwise be
    closed only by the garbage collector.

    :param scope: the request's ASGI scope.
    """
    return scope[EXIT_STACK]


@attrs.frozen
class CancelOnDisconnect:
    """
    An ASGI application around another one, whose task it cancels.

    Without it a stream that waits for its engine would learn of the caller's
    leaving only when it next writes.

    :param application: the application within.
    """

    _application: Application

    async def __call__(self, scope: Event, receive: Receive, send: Send) -> None:
        """Serve one connection event of ASGI."""
        if scope["type"] != "http":
            await self._application(scope, receive, send)
            return
        body_ended = asyncio.Event()

        async def receive_body() -> Event:
            if body_ended.is_set():
                # The watcher alone receives from here on.
                await asyncio.Event().wait()
            event = await receive()
            if event["type"] == "http.disconnect" or not event.get("more_body"):
                body_ended.set()
            return event

        async def send_fairly(event: Event) -> None:
            # Sending need not wait, also after the caller has gone: without a turn
            # for others a stream that is always ready would never be cancelled.
            await asyncio.sleep(0)
            await send(event)

        async def watch() -> None:
            await body_ended.wait()
            while (await receive())["type"] != "http.disconnect":
                pass

        async with contextlib.AsyncExitStack() as exit_stack:
            scope = {**scope, EXIT_STACK: exit_stack}
            serving = asyncio.ensure_future(
                self._application(scope, receive_body, send_fairly)
            )
            watching = asyncio.ensure_future(watch())
            await _first_of(serving, watching)


async def _first_of(serving: asyncio.Future, watching: asyncio.Future) -> None:
    try:
        await asyncio.wait({serving, watching}, return_when=asyncio.FIRST_COMPLETED)
        if serving.done():
            serving.result()
    finally:
        for task in (serving, watching):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
