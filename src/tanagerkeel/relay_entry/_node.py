"""A node that relays opaque requests: its servers and tasks, from start to stop."""

import asyncio
import pathlib
import random
import socket
from collections.abc import Callable, Coroutine

import attrs

from tanagerkeel.addresses import split_address
from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.errors import TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.client_limits import MemoryBudget
from tanagerkeel.gateways.disconnect import CancelOnDisconnect
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.gateways.http_server import HeaderPolicy, HttpServer
from tanagerkeel.gateways.platform import PlatformUnavailable, WatchedStore
from tanagerkeel.gateways.problems import header_policy
from tanagerkeel.gateways.request_signature import ForwardSigner, ForwardVerifier
from tanagerkeel.relay import CallerLimits
from tanagerkeel.relay_entry._domain_load_task import DomainLoadTask
from tanagerkeel.relay_entry._forward_intake import ForwardIntake
from tanagerkeel.relay_entry._forwarder import Forwarder
from tanagerkeel.relay_entry._ingress import RelayIngress
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._operators import metrics_app, readiness_app
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._presence_task import RelayPresenceTask
from tanagerkeel.relay_entry._protocols import BackendCodec, CallerCodec
from tanagerkeel.relay_entry._quarantine_exchange import QuarantineExchange
from tanagerkeel.relay_entry._reachability_task import ReachabilityTask
from tanagerkeel.relay_entry._runner import RelayRunner
from tanagerkeel.relay_entry._settings import RelaySettings, load_relay_settings
from tanagerkeel.relay_entry._settled_era import SettledEra, SettledEraTask
from tanagerkeel.relay_entry._signing_keys import CurrentKeyRing
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_task import StoreTask
from tanagerkeel.relay_entry._store_updates import StoreDecoder
from tanagerkeel.relay_entry._watcher_exchange import WatcherExchange

__all__ = ["RelayNode"]

READINESS_PATH = "/ready"
# Interval, in seconds, at which idle connections are closed before their backend
# servers close them.
SWEEP_INTERVAL_S = 1.0
# Interval at which the delay of the event loop is measured, in seconds.
LOOP_DELAY_INTERVAL_S = 0.5
# Pause before a task that ended with an unexpected exception is restarted, in seconds.
TASK_RESTART_DELAY_S = 0.5
# Part of the grace period that is reserved for deleting the node's entry and ending the
# process, in seconds.
EXIT_MARGIN_S = 0.5
# Time before that at which requests that still wait for a backend server are refused,
# in seconds, so that the refusals are delivered.
REFUSAL_MARGIN_S = 0.3
# Time-out of the call that deletes the node's entry, in seconds.
LEAVE_TIMEOUT_S = 0.3

# Shares of the descriptors for connections of callers, of peers that forward requests,
# and of those who ask for readiness or metrics. The rest is for outgoing ones.
CALLERS_SHARE = 0.625
FORWARDS_SHARE = 0.125
OPERATORS_SHARE = 0.03125
# Longest body that is read of those who ask for readiness or metrics.
MAX_OPERATORS_BODY_BYTES = 65_536

TaskBody = Callable[[], Coroutine[None, None, None]]


@attrs.define
class RelayNode:
    """
    A node that relays callers' requests to backend servers.

    :param settings: the settings at the start; ``reload`` replaces some of them.
    :param store: calls to the platform.
    :param decoder: decodes the store's entries.
    :param callers: decodes callers' requests.
    :param backends: encodes requests to backend servers and decodes their responses.
    :param clock: source of time.
    :param random: source of the jitter of the background tasks.
    :param callers_socket: the socket that callers connect to, if it listens already.
    """

    settings: RelaySettings
    _store: WatchedStore
    _decoder: StoreDecoder
    _callers: CallerCodec
    _backends: BackendCodec
    _clock: Clock = attrs.field(factory=SystemClock)
    _random: random.Random = attrs.field(factory=random.Random)
    _callers_socket: socket.socket | None = attrs.field(default=None, kw_only=True)
    state: RelayState = attrs.field(init=False)
    _metrics: RelayMetrics = attrs.field(init=False, factory=RelayMetrics)
    _pool: ConnectionPool = attrs.field(init=False)
    _presence: RelayPresenceTask = attrs.field(init=False)
    _peer_updates: PeerUpdateTask = attrs.field(init=False)
    _verifier: ForwardVerifier = attrs.field(init=False)
    _runner: RelayRunner = attrs.field(init=False)
    _client_memory: MemoryBudget = attrs.field(init=False)
    _servers: list[HttpServer] = attrs.field(init=False, factory=list)
    _tasks: list[asyncio.Task] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        self.state = RelayState(self.settings, self._clock, informed=False)
        self._client_memory = self.settings.process_limits.budget()
        backends = self.state.backends
        self._metrics.leaving.set_function(backends.leaving_count)
        self._metrics.missing.set_function(backends.missing_count)
        self._metrics.held_off.set_function(
            lambda: backends.held_off_count(self._clock.monotonic())
        )
        self._metrics.rate_limited.set_function(
            lambda: sum(
                self.state.rate_limits.limit(record.server.incarnation) is not None
                for record in backends
            )
        )
        self._metrics.quarantined_sections.set_function(
            lambda: self.state.section_quarantine.quarantined_count(
                self._clock.monotonic()
            )
        )
        self._metrics.confirmed_age.set_function(lambda: self.state.confirmed_age_s)
        self._pool = ConnectionPool(self._clock)
        self._presence = RelayPresenceTask(self._store, self.state, self._random)
        self._peer_updates = PeerUpdateTask(self.state, self._presence, self._random)
        keys = CurrentKeyRing(lambda: self._presence.keys)
        self._verifier = ForwardVerifier(keys, self._random)
        signer = ForwardSigner(self.settings.node_id, keys, self._random)
        self._runner = RelayRunner(
            self.state,
            self._pool,
            self._backends,
            self._peer_updates,
            self._metrics,
            Forwarder(
                self.state,
                self._pool,
                self._backends,
                signer,
                self._metrics,
                self._random,
            ),
        )

    @property
    def callers_address(self) -> str:
        """``IP:PORT`` where callers connect."""
        return self._servers[0].address

    @property
    def readiness_address(self) -> str:
        """``IP:PORT`` where the load balancer checks readiness."""
        return self._servers[2].address

    @property
    def metrics_address(self) -> str:
        """``IP:PORT`` where metrics are served."""
        return self._servers[3].address

    async def start(self) -> None:
        """
        Open the node's sockets and start its background tasks.

        :raises TanagerkeelError: ADDRESS_IN_USE.
        """
        ingress = RelayIngress(self._callers, self._runner, self.state, self._clock)
        callers = self._create_server(
            self.settings.callers_listen,
            CancelOnDisconnect(ingress),
            CALLERS_SHARE,
            listening=self._callers_socket,
        )
        pages = HeaderPolicy(max_body_bytes=MAX_OPERATORS_BODY_BYTES)
        readiness = self._create_server(
            self.settings.readiness_listen,
            readiness_app(self.state, READINESS_PATH),
            OPERATORS_SHARE,
            pages,
        )
        metrics = self._create_server(
            self.settings.metrics_listen,
            metrics_app(self._metrics),
            OPERATORS_SHARE,
            pages,
        )
        intake = ForwardIntake(
            self.state,
            self._runner,
            self._verifier,
            lambda: self.settings.forward_listen,
        )
        forwards = self._create_server(
            self.settings.forward_listen, CancelOnDisconnect(intake), FORWARDS_SHARE
        )
        self._servers = [callers, forwards, readiness, metrics]
        self.state.on_caller_limits = self._apply_caller_limits
        for server in self._servers:
            await server.start()
        await self._peer_updates.start()
        exchange = WatcherExchange(self.state, self._peer_updates)
        settled_era = SettledEra()
        store = StoreTask(
            self._store,
            self._decoder,
            self.state,
            self._random,
            exchange,
            settled_era,
        )
        settled_era_task = SettledEraTask(
            self._store, self.state, exchange.position, settled_era, self._random
        )
        self._start_task("store", store.run)
        self._start_task("store gaps", store.ask_in_gaps)
        quarantine = QuarantineExchange(self.state, self._peer_updates, self._random)
        self._start_task("settled era", settled_era_task.run)
        self._start_task("quarantine", quarantine.run)
        self._start_task("presence", self._presence.run)
        self._start_task("sweep", self._sweep_idle_connections)
        self._start_task("delay", self._measure_loop_delay)
        self._start_task(
            "reach",
            ReachabilityTask(
                self.state,
                self._pool,
                self._random,
                self._peer_updates.notify_all_peers,
            ).run,
        )
        if self.settings.placement.many_senders_from is not None:
            loads = DomainLoadTask(self.state, self._peer_updates)
            self._start_task("domain load", loads.run)
        log(
            LogEvent.ENTRY_STARTED,
            node=self.settings.node_id,
            domain=self.settings.failure_domain,
            callers=self.settings.callers_listen,
        )

    async def stop(self) -> None:
        """Finish open requests within the grace period and stop."""
        deadline_s = (
            self._clock.monotonic() + self.settings.bounds.grace_s - EXIT_MARGIN_S
        )
        log(
            LogEvent.ENTRY_STOPPING,
            node=self.settings.node_id,
            open_requests=self._runner.open_requests,
        )
        self.state.stopping = True
        self.state.refuse_waiting_s = deadline_s - REFUSAL_MARGIN_S
        # Callers still arrive until the load balancer sees the node as not ready.
        await self._clock.sleep(self.settings.drain_delay_s)
        callers, forwards, *others = self._servers
        left_s = max(0.1, deadline_s - self._clock.monotonic())
        await asyncio.gather(callers.stop(left_s), forwards.stop(left_s))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peer_updates.stop()
        await self._leave()
        self._pool.close()
        for server in others:
            await server.stop(0.0)
        log(LogEvent.ENTRY_STOPPED, open_requests=self._runner.open_requests)

    def reload(self, path: pathlib.Path) -> None:
        """
        Apply the settings that may change while the node runs.

        An invalid file is logged, and the settings stay.

        :param path: the settings file.
        """
        try:
            new = load_relay_settings(path)
        except TanagerkeelError as error:
            log(LogEvent.SETTINGS_REJECTED, reason=str(error))
            return
        old = self.settings
        merged = attrs.evolve(
            old,
            bounds=new.bounds,
            log_lines_per_s=new.log_lines_per_s,
            drain_delay_s=new.drain_delay_s,
        )
        self.settings = merged
        self.state.settings = merged
        needs_restart = [
            field.name
            for field in attrs.fields(RelaySettings)
            if getattr(merged, field.name) != getattr(new, field.name)
        ]
        log(
            LogEvent.SETTINGS_RELOADED,
            changed=merged != old,
            needs_restart=needs_restart,
        )

    def log_unreadable_settings(self, error: OSError) -> None:
        """Log that the settings file can't be read; the settings stay."""
        log(LogEvent.SETTINGS_REJECTED, reason=str(error))

    def _apply_caller_limits(self, limits: CallerLimits) -> None:
        policy = attrs.evolve(
            header_policy(int(limits.max_header_bytes), int(limits.max_body_bytes)),
            timeout_s=limits.header_timeout_ms / 1_000,
        )
        self._servers[0].set_limits(policy, limits.idle_timeout_ms / 1_000)

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._presence.leave()
        except (TimeoutError, PlatformUnavailable) as error:
            # The lease then lapses by itself within its time to live.
            log(
                LogEvent.PLATFORM_UNREACHABLE,
                reason=f"could not delete the node's entry: {error!r}",
            )

    def _create_server(
        self,
        address: str,
        application: object,
        connections_share: float,
        policy: HeaderPolicy = HeaderPolicy(),  # noqa: B008 - immutable
        listening: socket.socket | None = None,
    ) -> HttpServer:
        host, port = split_address(address)
        turned_away = self._metrics.clients_turned_away
        return HttpServer(
            application,
            host,
            port,
            policy,
            listening=listening,
            memory=self._client_memory,
            max_connections=self.settings.process_limits.connections(connections_share),
            on_turned_away=lambda cause: turned_away.labels(cause.value).inc(),
        )

    def _start_task(self, name: str, body: TaskBody) -> None:
        self._tasks.append(asyncio.create_task(self._run_forever(name, body)))

    async def _run_forever(self, name: str, body: TaskBody) -> None:
        while True:
            try:
                await body()
            except Exception as error:  # the other tasks must keep running
                log(LogEvent.TASK_FAILED, task=name, error=repr(error))
            await self._clock.sleep(TASK_RESTART_DELAY_S)

    async def _measure_loop_delay(self) -> None:
        while True:
            due_s = self._clock.monotonic() + LOOP_DELAY_INTERVAL_S
            await self._clock.sleep(LOOP_DELAY_INTERVAL_S)
            delay_s = max(0.0, self._clock.monotonic() - due_s)
            self._metrics.loop_delay.observe(delay_s)

    async def _sweep_idle_connections(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            self._pool.close_expired()
