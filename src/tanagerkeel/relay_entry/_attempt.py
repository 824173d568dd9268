"""One attempt: sends a request to a backend server and forwards its response."""

from collections.abc import Callable

import attrs

from tanagerkeel.gateways.exchange import (
    BackendConnection,
    ConnectError,
    ConnectionPool,
)
from tanagerkeel.relay import (
    BackendServer,
    RelayPlacement,
    ReplyHead,
)
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    Migrated,
    NotSent,
    ReplyLost,
    StalePlacement,
    Withheld,
)
from tanagerkeel.relay_entry._protocols import BackendCodec, Helper, SendOptions
from tanagerkeel.relay_entry._response import ResponseRelay
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayAttempt"]

# Longest idle time of a pooled connection that may be used, in seconds. The other side
# may be closing an idle connection, and such a failure can't be distinguished from one
# after the request ran: a request that may run only once gets a new connection.
NO_REUSE_S = 0.0
REUSE_IDLE_S = 30.0


@attrs.define(eq=False)
class RelayAttempt:
    """
    Sends a request to one backend server and forwards the response.

    :param run: the request.
    :param placement: the backend server and its helpers, with the estimates.
    :param state: records what the response shows about the backend server.
    :param pool: connections to backend servers.
    :param codec: encodes the request and decodes the head of the response.
    :param helpers: engines that prefill parts of the prompt.
    :param acquire_retry: returns whether another backend server may take over, and
        counts a retry if so.
    :param on_sent: called when the request has been written to the connection.
    :param on_first_output: called when the first event, or a whole response that isn't
        a stream, has arrived.
    """

    _run: RelayRun
    _placement: RelayPlacement
    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _helpers: tuple[Helper, ...]
    _acquire_retry: Callable[[], bool]
    _on_sent: Callable[[], None]
    _on_first_output: Callable[[], None]
    _connection: BackendConnection | None = None
    _response: ResponseRelay | None = None
    _sent_s: float = 0.0

    @property
    def server(self) -> BackendServer:
        """The backend server that the request is sent to."""
        return self._placement.candidate.server

    @property
    def run(self) -> RelayRun:
        """The request."""
        return self._run

    @property
    def can_migrate(self) -> bool:
        """Whether a stream has begun that another backend server may continue."""
        response = self._response
        return (
            response is not None
            and response.stream_started
            and not response.migration_requested
            and self._run.repeatable
        )

    def migrate(self) -> None:
        """Continue the stream at another backend server, if a retry is left."""
        if self._acquire_retry():
            self._response.migration_requested = True
            self._connection.cancel()

    def on_domain_cut_off(self, domain: str) -> None:
        """
        Give up if a participant is in the failure domain, and a retry is left.

        :param domain: a failure domain that this node can no longer reach.
        """
        participants = (r.server.failure_domain for r in self._placement.participants)
        if self._connection is None or domain not in participants:
            return
        if self._acquire_retry():
            self._connection.cancel()

    async def execute(self) -> AttemptOutcome:
        """Send the request, forward the response and return how the attempt ended."""
        run = self._run
        idle_s = REUSE_IDLE_S if run.repeatable else NO_REUSE_S
        try:
            connection = await self._pool.acquire(self.server.address, idle_s)
        except ConnectError as error:
            return NotSent(error.reason, error.connection_refused)
        self._connection = connection
        if connection.unused:
            self._state.backends.record_service_reached(self.server.service)
        left_ms = int(1_000 * (run.deadline_s - self._state.clock.monotonic()))
        if left_ms <= 0:
            self._pool.release(connection)
            raise TimeoutError
        options = SendOptions(
            server=self.server,
            account=run.admitted.account.name if run.admitted.account else None,
            deadline_ms=left_ms,
            resume_after=run.last_event_id or run.request.resume_after,
            priority=run.admitted.rank.position if run.admitted.rank else None,
            helpers=self._helpers,
        )
        # Checked last: reservations and the connection may have taken long.
        unusable = self._find_unusable()
        if unusable is not None:
            self._pool.release(connection)
            return StalePlacement(unusable.backend_id)
        section = self._state.section_quarantine.acquire_send(
            run.shared_sections, self._state.clock.monotonic()
        )
        if section is not None:
            self._pool.release(connection)
            return Withheld(section)
        complete = False
        reused = not connection.unused
        self._sent_s = self._state.clock.monotonic()
        try:
            connection.send(
                self._codec.encode(run.request, run.body, options),
                no_body=run.request.method == "HEAD",
            )
            self._on_sent()
            self._response = self._make_response(connection, reused)
            outcome = await self._response.receive()
            complete = not isinstance(outcome, ReplyLost | Migrated)
            return outcome
        finally:
            if complete:
                self._pool.release(connection)
            else:
                # Also makes the backend server stop when the caller has disconnected.
                connection.abort()

    def _find_unusable(self) -> BackendServer | None:
        """Return a participant that takes no new work any more; None if all do."""
        now = self._state.clock.monotonic()
        servers = (p.server for p in self._placement.participants)
        unusable = (s for s in servers if not self._state.backends.is_usable(s, now))
        return next(unusable, None)

    def _make_response(
        self, connection: BackendConnection, reused: bool
    ) -> ResponseRelay:
        return ResponseRelay(
            run=self._run,
            connection=connection,
            codec=self._codec,
            clock=self._state.clock,
            expected_s=self._placement.estimate.first_ms / 1_000,
            acquire_retry=self._acquire_retry,
            on_head=self._record_head,
            on_data=lambda: self._state.record_data(self.server),
            on_first_output=self._on_first_output,
            requires_id=reused,
        )

    def _record_head(self, head: ReplyHead) -> bool:
        if head.cold_ms and head.states_not_run:
            until_s = self._state.clock.monotonic() + head.cold_ms / 1_000
            self._state.backends.mark_cold(self.server, until_s)
        self._run.reply.name_backend(self.server)
        return self._state.record_head(
            self.server, head, self._sent_s, self._run.request.request_id
        )
