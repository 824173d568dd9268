"""Submit a configuration so that "accepted" means known to have taken effect."""

import uuid
from collections.abc import Callable

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.configuration import (
    Configuration,
    decode_document,
    diff,
    encode_document,
)
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.platform import (
    ABSENT,
    CompareFailed,
    Entry,
    PlatformGateway,
    PlatformUnavailable,
)

__all__ = ["Accepted", "Submitter"]

CONFIGURATION_KEY = "configuration"
RETRY_S = 0.5
DEFAULT_TIMEOUT_S = 30.0
HISTORY_LENGTH = 16
MAX_EDIT_TRIES = 5


@attrs.frozen
class Accepted:
    """
    A submission that is known to have taken effect.

    :param revision: its revision; the newest one seen when it was superseded.
    :param superseded: whether a later submission has replaced it already.
    """

    revision: int
    superseded: bool = False


@attrs.frozen
class _Stored:
    revision: int
    configuration: Configuration


@attrs.define
class Submitter:
    """
    Submits configurations on behalf of an operator.

    :param platform: calls to the platform.
    :param clock: source of time.
    :param timeout_s: how long to go on for a clear outcome, in seconds.
    """

    _platform: PlatformGateway
    _clock: Clock
    _timeout_s: float = DEFAULT_TIMEOUT_S

    async def current(self) -> tuple[int, Configuration]:
        """
        Return the accepted revision and configuration; 0 and an empty one at first.

        :raises TanagerkeelError: PLATFORM_UNAVAILABLE.
        """
        try:
            stored = _stored(await self._platform.get(CONFIGURATION_KEY))
        except PlatformUnavailable as error:
            raise TanagerkeelError(
                ResultCode.PLATFORM_UNAVAILABLE, error.reason
            ) from error
        return stored.revision, stored.configuration

    async def submit(
        self, configuration: Configuration, base: int | None = None
    ) -> Accepted:
        """
        Submit a configuration in place of the one at revision ``base``.

        :param configuration: a valid configuration.
        :param base: the revision that was reviewed; the present one when None.
        :raises TanagerkeelError: CONFIGURATION_CONFLICT when another one was
            accepted first, with what it changed; SUBMISSION_UNKNOWN when the
            platform gave no clear outcome in time; PLATFORM_UNAVAILABLE when
            nothing was sent.
        """
        revision, before = await self.current()
        if base is not None and base != revision:
            raise TanagerkeelError(
                ResultCode.CONFIGURATION_CONFLICT,
                f"revision {revision} is in force, not {base}",
            )
        history = (before.submission_id, *before.history)[:HISTORY_LENGTH]
        document = attrs.evolve(
            configuration,
            submission_id=uuid.uuid4().hex,
            history=tuple(name for name in history if name),
        )
        return await self._write(document, _Stored(revision, before))

    async def edit(self, change: Callable[[Configuration], Configuration]) -> Accepted:
        """
        Apply a small change to whatever is accepted; done again after a conflict.

        :param change: returns the changed configuration.
        :raises TanagerkeelError: as :meth:`submit`.
        """
        for _ in range(MAX_EDIT_TRIES - 1):
            revision, before = await self.current()
            try:
                return await self.submit(change(before), revision)
            except TanagerkeelError as error:
                if error.result is not ResultCode.CONFIGURATION_CONFLICT:
                    raise
        revision, before = await self.current()
        return await self.submit(change(before), revision)

    async def _write(self, document: Configuration, base: _Stored) -> Accepted:
        data = encode_document(document)
        deadline_s = self._clock.monotonic() + self._timeout_s
        sent = False
        while True:
            try:
                revision = await self._platform.put(
                    CONFIGURATION_KEY, data, base.revision
                )
                return Accepted(revision)
            except CompareFailed:
                # An earlier try of ours may be what changed the revision.
                found = await self._read_back(deadline_s)
                return _outcome(document, base, found)
            except PlatformUnavailable as error:
                sent = sent or error.sent
                if self._clock.monotonic() >= deadline_s:
                    raise _unknown(error, sent) from error
            # The same compare-and-swap again: at most one of them takes effect.
            await self._clock.sleep(RETRY_S)

    async def _read_back(self, deadline_s: float) -> _Stored:
        while True:
            try:
                return _stored(await self._platform.get(CONFIGURATION_KEY))
            except PlatformUnavailable as error:
                if self._clock.monotonic() >= deadline_s:
                    raise _unknown(error, sent=True) from error
            await self._clock.sleep(RETRY_S)


def _stored(entry: Entry | None) -> _Stored:
    if entry is None:
        return _Stored(ABSENT, Configuration())
    return _Stored(entry.revision, decode_document(entry.value))


def _outcome(document: Configuration, base: _Stored, found: _Stored) -> Accepted:
    if found.configuration.submission_id == document.submission_id:
        return Accepted(found.revision)
    if document.submission_id in found.configuration.history:
        return Accepted(found.revision, superseded=True)
    changes = "\n".join(map(str, diff(base.configuration, found.configuration)))
    raise TanagerkeelError(
        ResultCode.CONFIGURATION_CONFLICT,
        f"revision {found.revision} was accepted first; it changed:\n{changes}",
    )


def _unknown(error: PlatformUnavailable, sent: bool) -> TanagerkeelError:
    if sent:
        return TanagerkeelError(ResultCode.SUBMISSION_UNKNOWN, error.reason)
    return TanagerkeelError(ResultCode.PLATFORM_UNAVAILABLE, error.reason)
