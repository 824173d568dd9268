"""
Eject engines whose answers take longer than those of their peers.

Peers are the engines of the failure domain that serve the same models. Short and long
requests are compared separately, since short ones overtake long ones.
"""

import attrs

from tanagerkeel.configuration import BackendServer
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet._ejection import Ejections
from tanagerkeel.fleet._slow import PeerBaseline, SlowMeter

__all__ = ["SlowEngineDetector"]

# Time of an answer that is not prefill, as a number of prompt tokens.
OVERHEAD_TOKENS = 300
# Lower bound of an answer's time, since its logarithm is taken.
MIN_SECONDS = 0.001


@attrs.frozen
class _PeerKey:
    models: tuple[str, ...]
    urgent: bool


@attrs.define
class SlowEngineDetector:
    """Detects slow engines in one failure domain; times are monotonic, in seconds."""

    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _baselines: dict[_PeerKey, PeerBaseline] = attrs.field(factory=dict)
    _meters: dict[str, SlowMeter] = attrs.field(factory=dict)
    _ejections: Ejections = attrs.field(factory=Ejections)

    def configure(self, servers: tuple[BackendServer, ...]) -> None:
        """Set the backend servers; drops the state of all others."""
        self._servers = {server.name: server for server in servers}
        keys = {_PeerKey(s.models, urgent) for s in servers for urgent in (True, False)}
        self._baselines = {k: b for k, b in self._baselines.items() if k in keys}
        self._meters = {n: m for n, m in self._meters.items() if n in self._servers}
        self._ejections.retain_only(set(self._servers))

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an engine is ejected."""
        return self._ejections.is_ejected(name, now)

    def reset(self, name: str) -> None:
        """Drop the samples of an engine."""
        self._meters.pop(name, None)

    def record_answer(
        self, name: str, urgent: bool, tokens: float, seconds: float, now: float
    ) -> None:
        """
        Record one answer of a warm engine.

        :param name: name of the engine.
        :param urgent: whether the request had the priority of short requests.
        :param tokens: prompt tokens to prefill until its first token.
        :param seconds: time to its first token.
        :param now: this node's monotonic time.
        """
        key = _PeerKey(self._servers[name].models, urgent)
        baseline = self._baselines.setdefault(key, PeerBaseline())
        tokens += OVERHEAD_TOKENS
        seconds = max(MIN_SECONDS, seconds)
        if baseline.is_known:
            residual = baseline.residual(tokens, seconds)
            meter = self._meters.setdefault(name, SlowMeter())
            if meter.add(residual, baseline.deviation) >= 1:
                self._eject(name, now)
        baseline.add(tokens, seconds)

    def _eject(self, name: str, now: float) -> None:
        if self.is_ejected(name, now):
            return
        self.reset(name)
        models = self._servers[name].models
        peers = tuple(n for n, s in self._servers.items() if s.models == models)
        if self._ejections.eject(name, peers, now):
            log(LogEvent.BACKEND_EJECTED, backend=name)
