"""A relaying node: its servers and tasks, from start to stop."""

import asyncio
import pathlib
import random
from collections.abc import Callable, Coroutine

import attrs

from tanagerkeel.addresses import split_address
from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.errors import TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.disconnect import CancelOnDisconnect
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.gateways.http_server import HeaderPolicy, HttpServer
from tanagerkeel.gateways.platform import PlatformUnavailable, WatchedStore
from tanagerkeel.gateways.problems import header_policy
from tanagerkeel.relay import CallerLimits
from tanagerkeel.relay_entry._facts import StoreDecoder
from tanagerkeel.relay_entry._follow import Follow
from tanagerkeel.relay_entry._ingress import RelayIngress
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._operators import metrics_app, readiness_app
from tanagerkeel.relay_entry._presence_task import PresenceTask
from tanagerkeel.relay_entry._protocols import BackendCodec, CallerCodec
from tanagerkeel.relay_entry._reach_task import ReachTask
from tanagerkeel.relay_entry._runner import RelayRunner
from tanagerkeel.relay_entry._settings import RelaySettings, load_relay_settings
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_task import StoreTask

__all__ = ["RelayNode"]

READINESS_PATH = "/ready"
# Idle connections that backend servers are about to close are looked for so often.
SWEEP_S = 1.0
# A task that failed by a fault of ours starts again after this time, in seconds.
RESTART_S = 0.5
# Of the grace, what is left for leaving the store and ending the process, in seconds.
EXIT_MARGIN_S = 0.5
LEAVE_TIMEOUT_S = 0.3

Work = Callable[[], Coroutine[None, None, None]]


@attrs.define
class RelayNode:
    """
    One node.

    :param settings: its settings.
    :param store: calls to the platform.
    :param decoder: reads the store's entries.
    :param callers: reads callers' requests.
    :param backends: speaks to backend servers.
    :param clock: source of time.
    """

    settings: RelaySettings
    _store: WatchedStore
    _decoder: StoreDecoder
    _callers: CallerCodec
    _backends: BackendCodec
    _clock: Clock = attrs.field(factory=SystemClock)
    _random: random.Random = attrs.field(factory=random.Random)
    state: RelayState = attrs.field(init=False)
    _metrics: RelayMetrics = attrs.field(init=False, factory=RelayMetrics)
    _pool: ConnectionPool = attrs.field(init=False)
    _presence: PresenceTask = attrs.field(init=False)
    _news: NewsTask = attrs.field(init=False)
    _runner: RelayRunner = attrs.field(init=False)
    _servers: list[HttpServer] = attrs.field(init=False, factory=list)
    _tasks: list[asyncio.Task] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        self.state = RelayState(self.settings, self._clock)
        self._pool = ConnectionPool(self._clock)
        self._presence = PresenceTask(self._store, self.state, self._random)
        self._news = NewsTask(self.state, self._presence, self._random)
        self._runner = RelayRunner(
            self.state,
            self._pool,
            self._backends,
            self._news,
            self._metrics,
        )

    @property
    def callers_address(self) -> str:
        """Where callers connect."""
        return self._servers[0].address

    @property
    def readiness_address(self) -> str:
        """Where the balancer asks."""
        return self._servers[1].address

    @property
    def metrics_address(self) -> str:
        """Where counters and histograms are served."""
        return self._servers[2].address

    async def start(self) -> None:
        """
        Listen, and begin to follow the platform.

        :raises TanagerkeelError: ADDRESS_IN_USE.
        """
        ingress = RelayIngress(self._callers, self._runner, self.state, self._clock)
        callers = self._server(
            self.settings.callers_listen, CancelOnDisconnect(ingress)
        )
        readiness = self._server(
            self.settings.readiness_listen, readiness_app(self.state, READINESS_PATH)
        )
        metrics = self._server(self.settings.metrics_listen, metrics_app(self._metrics))
        self._servers = [callers, readiness, metrics]
        self.state.on_limits = self._limit
        for server in self._servers:
            await server.start()
        await self._news.start()
        store = StoreTask(
            self._store,
            self._decoder,
            self.state,
            self._random,
            Follow(self.state, self._news),
        )
        self._begin("store", store.run)
        self._begin("presence", self._presence.run)
        self._begin("sweep", self._sweep)
        self._begin("reach", ReachTask(self.state, self._pool, self._random).run)
        log(
            LogEvent.ENTRY_STARTED,
            node=self.settings.node_id,
            domain=self.settings.failure_domain,
            callers=self.settings.callers_listen,
        )

    async def stop(self) -> None:
        """Finish what runs, within the grace that the platform gives."""
        stop_by_s = (
            self._clock.monotonic() + self.settings.bounds.grace_s - EXIT_MARGIN_S
        )
        log(
            LogEvent.ENTRY_STOPPING,
            node=self.settings.node_id,
            open_requests=self._runner.open_requests,
        )
        self.state.stopping = True
        # Callers still come until the balancer has seen that the node isn't ready.
        await self._clock.sleep(self.settings.drain_delay_s)
        callers, *others = self._servers
        await callers.stop(max(0.1, stop_by_s - self._clock.monotonic()))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._news.stop()
        await self._leave()
        self._pool.close()
        for server in others:
            await server.stop(0.0)
        log(LogEvent.ENTRY_STOPPED, open_requests=self._runner.open_requests)

    def reload(self, path: pathlib.Path) -> None:
        """
        Take over the settings that may change while the node runs.

        :param path: the settings file.
        """
        try:
            new = load_relay_settings(path)
        except TanagerkeelError as error:
            log(LogEvent.SETTINGS_REJECTED, reason=str(error))
            return
        old = self.settings
        kept = attrs.evolve(
            old,
            bounds=new.bounds,
            log_lines_per_s=new.log_lines_per_s,
            drain_delay_s=new.drain_delay_s,
        )
        self.settings = kept
        self.state.settings = kept
        fixed = [
            field.name
            for field in attrs.fields(RelaySettings)
            if getattr(kept, field.name) != getattr(new, field.name)
        ]
        log(
            LogEvent.SETTINGS_RELOADED,
            changed=kept != old,
            needs_restart=fixed,
        )

    def settings_unreadable(self, error: OSError) -> None:
        """Take in that the settings file can't be read; the old ones stay."""
        log(LogEvent.SETTINGS_REJECTED, reason=str(error))

    def _limit(self, limits: CallerLimits) -> None:
        headers = attrs.evolve(
            header_policy(limits.max_header_bytes),
            timeout_s=limits.header_timeout_ms / 1_000,
        )
        self._servers[0].limit(headers, limits.idle_timeout_ms / 1_000)

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._presence.leave()
        except (TimeoutError, PlatformUnavailable) as error:
            # The lease ends by itself soon after.
            log(LogEvent.PLATFORM_UNREACHABLE, reason=f"leaving: {error!r}")

    def _server(self, address: str, application: object) -> HttpServer:
        host, port = split_address(address)
        return HttpServer(application, host, port, HeaderPolicy())

    def _begin(self, name: str, work: Work) -> None:
        self._tasks.append(asyncio.create_task(self._forever(name, work)))

    async def _forever(self, name: str, work: Work) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # the node lives on without a cure
                log(LogEvent.TASK_FAILED, task=name, error=repr(error))
            await self._clock.sleep(RESTART_S)

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_S)
            self._pool.sweep()
