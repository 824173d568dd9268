"""Submits configurations and resolves lost replies by reading back."""

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
    PlatformGateway,
    PlatformUnavailable,
    StoreEntry,
)

__all__ = ["AcceptedSubmission", "Submitter"]

CONFIGURATION_KEY = "configuration"
RETRY_INTERVAL_S = 0.5
DEFAULT_TIMEOUT_S = 30.0
# Ids of earlier submissions kept with the configuration: they show that a
# submission took effect though a later one has replaced it.
HISTORY_LENGTH = 16
MAX_EDIT_ATTEMPTS = 5


@attrs.frozen
class AcceptedSubmission:
    """
    A submission that is known to have taken effect.

    :param revision: its revision; when superseded, the newest revision that was read.
    :param superseded: whether a later submission has already replaced it.
    """

    revision: int
    superseded: bool = False


@attrs.frozen
class _StoredConfiguration:
    revision: int
    configuration: Configuration


@attrs.define
class Submitter:
    """
    Submits configurations on behalf of an operator.

    :param platform: gateway to the store that holds the configuration.
    :param clock: source of monotonic time, and of the waits between attempts.
    :param timeout_s: how long to retry until the outcome is known, in seconds.
    """

    _platform: PlatformGateway
    _clock: Clock
    _timeout_s: float = DEFAULT_TIMEOUT_S

    async def current(self) -> tuple[int, Configuration]:
        """
        Return the revision and the configuration in force.

        Before the first submission these are 0 and an empty configuration.

        :raises TanagerkeelError: PLATFORM_UNAVAILABLE.
        """
        try:
            stored = _decode_stored(await self._platform.get(CONFIGURATION_KEY))
        except PlatformUnavailable as error:
            raise TanagerkeelError(
                ResultCode.PLATFORM_UNAVAILABLE, error.reason
            ) from error
        return stored.revision, stored.configuration

    async def submit(
        self, configuration: Configuration, base: int | None = None
    ) -> AcceptedSubmission:
        """
        Replace the configuration at revision ``base``.

        :param configuration: a valid configuration.
        :param base: the revision that was reviewed; None for the one in force.
        :raises TanagerkeelError: CONFIGURATION_CONFLICT when another configuration
            was accepted first, with its changes; SUBMISSION_UNKNOWN when the outcome
            was not known within the timeout; PLATFORM_UNAVAILABLE when nothing was
            sent.
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
            history=tuple(previous_id for previous_id in history if previous_id),
        )
        return await self._write(document, _StoredConfiguration(revision, before))

    async def edit(
        self, change: Callable[[Configuration], Configuration]
    ) -> AcceptedSubmission:
        """
        Apply a change to the configuration in force; retried after a conflict.

        :param change: returns the changed configuration.
        :raises TanagerkeelError: as :meth:`submit`.
        """
        for _ in range(MAX_EDIT_ATTEMPTS - 1):
            revision, before = await self.current()
            try:
                return await self.submit(change(before), revision)
            except TanagerkeelError as error:
                if error.result is not ResultCode.CONFIGURATION_CONFLICT:
                    raise
        revision, before = await self.current()
        return await self.submit(change(before), revision)

    async def _write(
        self, document: Configuration, base: _StoredConfiguration
    ) -> AcceptedSubmission:
        data = encode_document(document)
        deadline_s = self._clock.monotonic() + self._timeout_s
        sent = False
        while True:
            try:
                revision = await self._platform.put(
                    CONFIGURATION_KEY, data, base.revision
                )
                return AcceptedSubmission(revision)
            except CompareFailed:
                # An earlier attempt whose reply was lost may have changed the revision.
                found = await self._read_back(deadline_s)
                return _resolve_conflict(document, base, found)
            except PlatformUnavailable as error:
                sent = sent or error.sent
                if self._clock.monotonic() >= deadline_s:
                    raise _no_outcome_error(error, sent) from error
            # Safe to repeat: of several equal compare-and-swaps at most one succeeds.
            await self._clock.sleep(RETRY_INTERVAL_S)

    async def _read_back(self, deadline_s: float) -> _StoredConfiguration:
        while True:
            try:
                return _decode_stored(await self._platform.get(CONFIGURATION_KEY))
            except PlatformUnavailable as error:
                if self._clock.monotonic() >= deadline_s:
                    raise _no_outcome_error(error, sent=True) from error
            await self._clock.sleep(RETRY_INTERVAL_S)


def _decode_stored(entry: StoreEntry | None) -> _StoredConfiguration:
    if entry is None:
        return _StoredConfiguration(ABSENT, Configuration())
    return _StoredConfiguration(entry.revision, decode_document(entry.value))


def _resolve_conflict(
    document: Configuration, base: _StoredConfiguration, found: _StoredConfiguration
) -> AcceptedSubmission:
    if found.configuration.submission_id == document.submission_id:
        return AcceptedSubmission(found.revision)
    if document.submission_id in found.configuration.history:
        return AcceptedSubmission(found.revision, superseded=True)
    changes = "\n".join(map(str, diff(base.configuration, found.configuration)))
    raise TanagerkeelError(
        ResultCode.CONFIGURATION_CONFLICT,
        f"revision {found.revision} was accepted first; it changed:\n{changes}",
    )


def _no_outcome_error(error: PlatformUnavailable, sent: bool) -> TanagerkeelError:
    if sent:
        return TanagerkeelError(ResultCode.SUBMISSION_UNKNOWN, error.reason)
    return TanagerkeelError(ResultCode.PLATFORM_UNAVAILABLE, error.reason)
