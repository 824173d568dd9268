"""The HTTP protocol of the stand-in platform."""

import functools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import falcon
import falcon.asgi

from tanagerkeel import codec
from tanagerkeel.gateways.platform import ABSENT, StoreEntry, VirtualMachine
from tanagerkeel.standins._faults import PlatformFaults, PlatformOutage
from tanagerkeel.standins._server import FaultsResource, abort_connection, send_json

if TYPE_CHECKING:
    from tanagerkeel.standins._platform import PlatformStandIn

__all__ = ["make_platform_app"]

REVISION_HEADER = "X-Revision"
MAX_VALUE_BYTES = 1_000_000
WRITE_CALLS = frozenset({"put", "delete", "grant", "keep_alive", "revoke"})
Responder = Callable[..., Awaitable[None]]


def _with_faults(kind: str) -> Callable[[Responder], Responder]:
    """Decorate a responder: count its calls by kind, and apply the faults to them."""

    def decorate(responder: Responder) -> Responder:
        @functools.wraps(responder)
        async def respond(
            self: Any,
            request: falcon.asgi.Request,
            response: falcon.asgi.Response,
            **fields: str,
        ) -> None:
            platform = self.platform
            platform.calls[kind] += 1
            await _fail_in_outage(platform, request)
            await platform.apply_delay()
            await responder(self, request, response, **fields)
            # An outage that has begun in the meantime aborts a waiting call.
            await _fail_in_outage(platform, request)
            if kind in WRITE_CALLS and platform.consume_lost_reply():
                await abort_connection(request)

        return respond

    return decorate


async def _fail_in_outage(
    platform: "PlatformStandIn", request: falcon.asgi.Request
) -> None:
    match platform.faults.outage:
        case PlatformOutage.REFUSED:
            await abort_connection(request)
        case PlatformOutage.UNAVAILABLE:
            raise falcon.HTTPServiceUnavailable()


@attrs.frozen
class _Keys:
    platform: "PlatformStandIn"

    @_with_faults("get")
    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, key: str
    ) -> None:
        _send_entry(response, self.platform.get(key))

    @_with_faults("put")
    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, key: str
    ) -> None:
        value = await request.stream.read()
        if len(value) > MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge()
        expected = request.get_param_as_int("expected")
        lease_id = request.get_param_as_int("lease", default=0)
        revision = await self.platform.put(key, value, expected, lease_id)
        if revision is None:
            self._send_conflict(response, key)
        else:
            response.set_header(REVISION_HEADER, str(revision))

    @_with_faults("delete")
    async def on_delete(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, key: str
    ) -> None:
        if not self.platform.delete(key, request.get_param_as_int("expected")):
            self._send_conflict(response, key)

    def _send_conflict(self, response: falcon.asgi.Response, key: str) -> None:
        found = self.platform.get(key)
        revision = found.revision if found is not None else ABSENT
        response.status = falcon.HTTP_CONFLICT
        response.set_header(REVISION_HEADER, str(revision))


@attrs.frozen
class _Lists:
    platform: "PlatformStandIn"

    @_with_faults("list")
    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.content_type = falcon.MEDIA_MSGPACK
        response.data = codec.pack(
            self.platform.list(request.get_param("prefix", default=""))
        )


@attrs.frozen
class _Watches:
    platform: "PlatformStandIn"

    @_with_faults("watch")
    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, key: str
    ) -> None:
        after = request.get_param_as_int("after", default=0)
        wait_ms = request.get_param_as_int("wait_ms", default=0)
        _send_entry(response, await self.platform.watch(key, after, wait_ms / 1_000))


@attrs.frozen
class _Leases:
    platform: "PlatformStandIn"

    @_with_faults("grant")
    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        ttl_ms = request.get_param_as_int("ttl_ms", required=True, min_value=1)
        send_json(response, self.platform.grant(ttl_ms))


@attrs.frozen
class _Lease:
    platform: "PlatformStandIn"

    @_with_faults("revoke")
    async def on_delete(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        lease_id: int,
    ) -> None:
        self.platform.revoke(lease_id)


@attrs.frozen
class _KeepAlive:
    platform: "PlatformStandIn"

    @_with_faults("keep_alive")
    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        lease_id: int,
    ) -> None:
        if not self.platform.keep_alive(lease_id):
            raise falcon.HTTPNotFound()


@attrs.frozen
class _VirtualMachines:
    platform: "PlatformStandIn"

    @_with_faults("vms")
    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        send_json(response, self.platform.list_vms())

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        body = await request.stream.read()
        self.platform.set_vms(codec.decode(body, tuple[VirtualMachine, ...]))


@attrs.frozen
class _Calls:
    platform: "PlatformStandIn"

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        send_json(response, dict(self.platform.calls))


@attrs.frozen
class _Snapshots:
    platform: "PlatformStandIn"

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        send_json(response, self.platform.snapshot())

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        snapshot_type = type(self.platform.snapshot())
        await self.platform.restore(
            codec.decode(await request.stream.read(), snapshot_type)
        )


def _send_entry(response: falcon.asgi.Response, entry: StoreEntry | None) -> None:
    if entry is None:
        response.status = falcon.HTTP_NOT_FOUND
        return
    response.content_type = falcon.MEDIA_MSGPACK
    response.set_header(REVISION_HEADER, str(entry.revision))
    response.data = entry.value


def make_platform_app(platform: "PlatformStandIn") -> falcon.asgi.App:
    """Return the ASGI application that serves the platform's protocol."""
    app = falcon.asgi.App()
    app.add_route("/kv/{key:path}", _Keys(platform))
    app.add_route("/list", _Lists(platform))
    app.add_route("/watch/{key:path}", _Watches(platform))
    app.add_route("/leases", _Leases(platform))
    app.add_route("/leases/{lease_id:int}", _Lease(platform))
    app.add_route("/leases/{lease_id:int}/keep-alive", _KeepAlive(platform))
    app.add_route("/vms", _VirtualMachines(platform))
    app.add_route("/calls", _Calls(platform))
    app.add_route("/snapshot", _Snapshots(platform))
    app.add_route("/faults", FaultsResource(platform, PlatformFaults))
    return app
