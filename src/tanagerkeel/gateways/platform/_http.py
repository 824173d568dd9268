"""HTTP client of the platform's key-value store and VM list."""

import contextlib
import urllib.parse
from collections.abc import Iterator

import aiohttp
import attrs
import yarl

from tanagerkeel import codec
from tanagerkeel.gateways.http_client import (
    NOT_SENT_ERRORS,
    SendOnce,
    client_timeout,
    failure_reason,
)
from tanagerkeel.gateways.platform._protocol import (
    CompareFailed,
    Lease,
    PlatformUnavailable,
    StoreEntry,
    VirtualMachine,
)

__all__ = ["HttpPlatformGateway"]

CALL_TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
MAX_VALUE_BYTES = 1_000_000
REVISION_HEADER = "X-Revision"


@attrs.frozen
class _Reply:
    status: int
    body: bytes
    revision: int


@attrs.define
class HttpPlatformGateway:
    """
    A ``PlatformGateway`` for the protocol in ``docs/stand-ins.md``.

    :param session: the HTTP client session; closed by its owner.
    :param address: ``IP:PORT`` of the platform's service.
    """

    _session: aiohttp.ClientSession
    _address: str

    async def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None when it is absent."""
        reply = await self._call("GET", f"kv/{_quote_key(key)}", HTTP_NOT_FOUND)
        if reply.status == HTTP_NOT_FOUND:
            return None
        return StoreEntry(key, reply.body, reply.revision)

    async def list(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose keys start with ``prefix``, ordered by key."""
        reply = await self._call("GET", f"list?{_query(prefix=prefix)}")
        with _invalid_as_unavailable():
            return codec.unpack(reply.body, tuple[StoreEntry, ...])

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int:
        """
        Write a value and return the new revision.

        :raises ValueError: when the value is longer than ``MAX_VALUE_BYTES``.
        :raises CompareFailed: when the key has another revision.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{key}: value of {len(value)} bytes is over {MAX_VALUE_BYTES}"
            )
        query = _query(expected=expected, lease=lease_id or None)
        path = f"kv/{_quote_key(key)}?{query}"
        reply = await self._call("PUT", path, HTTP_CONFLICT, value)
        if reply.status == HTTP_CONFLICT:
            raise CompareFailed(reply.revision)
        return reply.revision

    async def delete(self, key: str, expected: int | None = None) -> None:
        """
        Delete a key; no effect when it is absent.

        :raises CompareFailed: when the key has another revision.
        """
        path = f"kv/{_quote_key(key)}?{_query(expected=expected)}"
        reply = await self._call("DELETE", path, HTTP_CONFLICT)
        if reply.status == HTTP_CONFLICT:
            raise CompareFailed(reply.revision)

    async def watch(self, key: str, after: int, wait_ms: int) -> StoreEntry | None:
        """
        Wait until a key's revision is above ``after`` and return its entry.

        Returns None when nothing changed within ``wait_ms``.
        """
        path = f"watch/{_quote_key(key)}?{_query(after=after, wait_ms=wait_ms)}"
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1_000
        reply = await self._call("GET", path, HTTP_NOT_FOUND, timeout_s=timeout_s)
        if reply.status == HTTP_NOT_FOUND:
            return None
        return StoreEntry(key, reply.body, reply.revision)

    async def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease with the given time to live."""
        reply = await self._call("POST", f"leases?{_query(ttl_ms=ttl_ms)}")
        with _invalid_as_unavailable():
            return codec.decode(reply.body, Lease, lenient=True)

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has lapsed."""
        path = f"leases/{lease_id}/keep-alive"
        reply = await self._call("POST", path, HTTP_NOT_FOUND)
        return reply.status == HTTP_OK

    async def revoke(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted."""
        await self._call("DELETE", f"leases/{lease_id}")

    async def list_vms(self) -> tuple[VirtualMachine, ...]:
        """Return the list of running and leaving VMs; it may be out of date."""
        reply = await self._call("GET", "vms")
        with _invalid_as_unavailable():
            return codec.decode(reply.body, tuple[VirtualMachine, ...], lenient=True)

    async def _call(
        self,
        method: str,
        path: str,
        accepted_status: int = HTTP_OK,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Reply:
        """
        Make a call and return the reply.

        :param accepted_status: status that the caller handles besides 200; any other
            one raises.
        :raises PlatformUnavailable: when there is no valid reply.
        """
        timeout = client_timeout(timeout_s)
        url = yarl.URL(f"http://{self._address}/{path}", encoded=True)
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                timeout=timeout,
                allow_redirects=False,
                middlewares=(SendOnce(),),
            ) as response:
                return await _read_reply(response, accepted_status)
        except NOT_SENT_ERRORS as error:
            raise PlatformUnavailable(failure_reason(error), sent=False) from error
        except (OSError, aiohttp.ClientError) as error:
            raise PlatformUnavailable(failure_reason(error)) from error


async def _read_reply(response: aiohttp.ClientResponse, accepted_status: int) -> _Reply:
    body = await response.read()
    if response.status not in (HTTP_OK, accepted_status):
        raise PlatformUnavailable(f"status {response.status}")
    revision = response.headers.get(REVISION_HEADER, "0")
    if not (revision.isascii() and revision.isdigit()):
        raise PlatformUnavailable("the revision is not a number")
    return _Reply(response.status, body, int(revision))


@contextlib.contextmanager
def _invalid_as_unavailable() -> Iterator[None]:
    try:
        yield
    except codec.InvalidValue as error:
        raise PlatformUnavailable(f"invalid reply: {error}") from error


def _quote_key(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def _query(**values: object) -> str:
    present = {name: value for name, value in values.items() if value is not None}
    return urllib.parse.urlencode(present)
