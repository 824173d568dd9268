"""The metrics of an entry node, in the Prometheus format."""

import attrs
import prometheus_client

from tanagerkeel.requests import LengthClass

__all__ = ["Metrics"]

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.99, 2.0, 5.0, 15.0, 60.0, 300.0)
BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.065, 0.1, 0.25, 1.0)
QUEUE_BUCKETS_S = (0.001, 0.01, 0.1, 0.5, 1.0, 5.0, 30.0)


@attrs.define
class Metrics:
    """Counters and histograms of one node; times are in seconds."""

    _registry: prometheus_client.CollectorRegistry = attrs.field(
        factory=prometheus_client.CollectorRegistry
    )
    first_token: prometheus_client.Histogram = attrs.field(init=False)
    between_tokens: prometheus_client.Histogram = attrs.field(init=False)
    queue_wait: prometheus_client.Histogram = attrs.field(init=False)
    results: prometheus_client.Counter = attrs.field(init=False)
    attempts: prometheus_client.Counter = attrs.field(init=False)
    retries: prometheus_client.Counter = attrs.field(init=False)
    peer_bytes: prometheus_client.Counter = attrs.field(init=False)
    peer_messages: prometheus_client.Counter = attrs.field(init=False)
    peer_dropped: prometheus_client.Counter = attrs.field(init=False)
    platform_calls: prometheus_client.Counter = attrs.field(init=False)
    clients_turned_away: prometheus_client.Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # CPU time and memory of the whole process.
        prometheus_client.ProcessCollector(registry=self._registry)
        self.first_token = self._histogram(
            "first_token_seconds",
            "Time to the first token",
            FIRST_TOKEN_BUCKETS_S,
            ("length_class",),
        )
        self.between_tokens = self._histogram(
            "between_tokens_seconds",
            "Time between tokens",
            BETWEEN_TOKENS_BUCKETS_S,
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds", "Time in the fair queue", QUEUE_BUCKETS_S
        )
        self.results = self._counter("results", "Ended requests", ("code",))
        self.attempts = self._counter("attempts", "Attempts by outcome", ("outcome",))
        self.retries = self._counter("retries", "Attempts after the first")
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes between nodes", ("direction", "kind")
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages between nodes", ("direction", "kind")
        )
        self.peer_dropped = self._counter(
            "peer_messages_dropped", "Messages between nodes dropped", ("reason",)
        )
        self.platform_calls = self._counter(
            "platform_calls", "Calls to the platform's service", ("kind",)
        )
        self.clients_turned_away = self._counter(
            "clients_turned_away", "Clients that held too much", ("cause",)
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def observe_first_token(self, length_class: LengthClass, seconds: float) -> None:
        """Record a request's time to the first token."""
        self.first_token.labels(length_class.value).observe(seconds)

    def _histogram(
        self,
        name: str,
        text: str,
        buckets: tuple[float, ...],
        labels: tuple[str, ...] = (),
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"tanagerkeel_{name}",
            text,
            labels,
            buckets=buckets,
            registry=self._registry,
        )

    def _counter(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"tanagerkeel_{name}", text, labels, registry=self._registry
        )
