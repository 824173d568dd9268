"""Counters and histograms of a relaying node, in the Prometheus format."""

import attrs
import prometheus_client

__all__ = ["RelayMetrics"]

FIRST_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0)
WHOLE_BUCKETS_S = (0.1, 0.3, 1.0, 2.0, 4.0, 8.0, 15.0)
WAIT_BUCKETS_S = (0.001, 0.01, 0.05, 0.1, 0.3, 1.0, 3.0)
DELAY_BUCKETS_S = (0.01, 0.05, 0.2, 0.5, 1.0, 2.0)


def _histogram(
    name: str, help_text: str, buckets: tuple[float, ...], registry: object
) -> prometheus_client.Histogram:
    return prometheus_client.Histogram(
        f"tanagerkeel_relay_{name}",
        help_text,
        ("route",),
        buckets=buckets,
        registry=registry,
    )


def _counter(
    name: str, help_text: str, labels: tuple[str, ...], registry: object
) -> prometheus_client.Counter:
    return prometheus_client.Counter(
        f"tanagerkeel_relay_{name}", help_text, labels, registry=registry
    )


@attrs.define
class RelayMetrics:
    """
    Counters and histograms of one node; times are in seconds.

    :param first: time to the first event or answer, by route.
    :param whole: time to the end of the answer, by route.
    :param wait: time until a backend server was chosen, by route.
    :param results: ended requests, by result.
    :param mishaps: failed sends, by the kind of failure.
    :param repeats: sends beyond each request's first.
    :param forwarded: requests forwarded to peers, by how that ended.
    :param turned_away: waiting requests that were refused, by reason.
    :param clients_turned_away: clients that held too much, by cause.
    :param waiting: requests that wait in order for a backend server.
    :param held_off: backend servers that asked to be sent nothing for a time.
    :param leaving: backend servers that announced in a response that they leave.
    :param missing: backend servers that are kept although their entry is missing.
    :param rate_limited: backend servers that limit the requests per second.
    :param quarantined_sections: prompt sections for which requests are refused.
    :param loop_delay: how late the event loop runs a timer.
    :param confirmed_age: time since the store last confirmed the configuration.
    """

    _registry: prometheus_client.CollectorRegistry = attrs.field(
        factory=prometheus_client.CollectorRegistry
    )
    first: prometheus_client.Histogram = attrs.field(init=False)
    whole: prometheus_client.Histogram = attrs.field(init=False)
    wait: prometheus_client.Histogram = attrs.field(init=False)
    results: prometheus_client.Counter = attrs.field(init=False)
    mishaps: prometheus_client.Counter = attrs.field(init=False)
    repeats: prometheus_client.Counter = attrs.field(init=False)
    forwarded: prometheus_client.Counter = attrs.field(init=False)
    turned_away: prometheus_client.Counter = attrs.field(init=False)
    clients_turned_away: prometheus_client.Counter = attrs.field(init=False)
    waiting: prometheus_client.Gauge = attrs.field(init=False)
    held_off: prometheus_client.Gauge = attrs.field(init=False)
    leaving: prometheus_client.Gauge = attrs.field(init=False)
    missing: prometheus_client.Gauge = attrs.field(init=False)
    rate_limited: prometheus_client.Gauge = attrs.field(init=False)
    quarantined_sections: prometheus_client.Gauge = attrs.field(init=False)
    loop_delay: prometheus_client.Histogram = attrs.field(init=False)
    confirmed_age: prometheus_client.Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        registry = self._registry
        self.first = _histogram(
            "first_seconds",
            "Time to the first event or answer",
            FIRST_BUCKETS_S,
            registry,
        )
        self.whole = _histogram(
            "whole_seconds", "Time to the end of the answer", WHOLE_BUCKETS_S, registry
        )
        self.wait = _histogram(
            "wait_seconds",
            "Time until a backend server was chosen",
            WAIT_BUCKETS_S,
            registry,
        )
        self.results = _counter("results", "Ended requests", ("result",), registry)
        self.mishaps = _counter("mishaps", "Failed sends", ("mishap",), registry)
        self.repeats = _counter("repeats", "Sends beyond the first", (), registry)
        self.forwarded = _counter(
            "forwarded", "Requests forwarded to peers", ("result",), registry
        )
        self.turned_away = _counter(
            "turned_away", "Waiting requests that were refused", ("reason",), registry
        )
        self.clients_turned_away = _counter(
            "clients_turned_away", "Clients that held too much", ("cause",), registry
        )
        self.waiting = prometheus_client.Gauge(
            "tanagerkeel_relay_waiting",
            "Requests that wait in order for a backend server",
            ("rank",),
            registry=registry,
        )
        self.held_off = prometheus_client.Gauge(
            "tanagerkeel_relay_held_off",
            "Backend servers that asked to be sent nothing for a time",
            registry=registry,
        )
        self.leaving = prometheus_client.Gauge(
            "tanagerkeel_relay_leaving",
            "Backend servers that announced that they leave",
            registry=registry,
        )
        self.missing = prometheus_client.Gauge(
            "tanagerkeel_relay_missing_entries",
            "Backend servers that are kept although their entry is missing",
            registry=registry,
        )
        self.rate_limited = prometheus_client.Gauge(
            "tanagerkeel_relay_rate_limited",
            "Backend servers that limit the requests per second",
            registry=registry,
        )
        self.quarantined_sections = prometheus_client.Gauge(
            "tanagerkeel_relay_quarantined_sections",
            "Prompt sections for which requests are refused",
            registry=registry,
        )
        self.loop_delay = prometheus_client.Histogram(
            "tanagerkeel_relay_loop_delay_seconds",
            "How late the event loop runs a timer",
            buckets=DELAY_BUCKETS_S,
            registry=registry,
        )
        self.confirmed_age = prometheus_client.Gauge(
            "tanagerkeel_relay_confirmed_age_seconds",
            "Time since the store last confirmed the configuration",
            registry=registry,
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
