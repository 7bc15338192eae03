"""Define the Prometheus metrics that all programs have."""

from collections.abc import Callable, Iterable, Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ..core import Clock, Decision, Message, Tick

KIND_OK = "ok"
# The target for the time to the first token is 1.2 s.
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5.0, 10.0, 30.0)
LOOP_LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)


class ProgramMetrics:
    """Metrics registry of one program, with the metrics that all programs have.

    Label values come only from records and from closed lists, never from callers,
    which bounds the number of time series.

    Args:
        clock: Source of time.

    Attributes:
        registry: Registry of all metrics of the program.
    """

    __slots__ = ("_clock", "_decisions", "_loop_lag", "registry")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.registry = CollectorRegistry()
        self._decisions = Counter(
            "hawthornyard_decisions",
            "Decisions by name.",
            ["name"],
            registry=self.registry,
        )
        self._loop_lag = self.add_histogram(
            "loop_lag_seconds", "Wait of a tick for the loop.", LOOP_LAG_BUCKETS_S
        )

    def add_gauge(
        self, name: str, help_text: str, read_value: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape.

        Args:
            name: Name without the prefix `hawthornyard_`.
            help_text: One sentence that explains the metric.
            read_value: Returns the value.
        """
        gauge = Gauge(f"hawthornyard_{name}", help_text, registry=self.registry)
        gauge.set_function(read_value)

    def add_counter(
        self, name: str, help_text: str, labels: Iterable[str] = ()
    ) -> Counter:
        """Add a counter; its name gets the suffix `_total` when rendered."""
        return Counter(
            f"hawthornyard_{name}", help_text, labels, registry=self.registry
        )

    def add_histogram(
        self,
        name: str,
        help_text: str,
        buckets: tuple[float, ...],
        labels: Iterable[str] = (),
    ) -> Histogram:
        """Add a histogram; `buckets` are the upper bounds, without infinity."""
        return Histogram(
            f"hawthornyard_{name}",
            help_text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def on_tick(self, msg: Tick) -> Iterator[Message]:
        """Observe how long a tick waited in the inbox."""
        self._loop_lag.observe(max(0.0, self._clock.now() - msg.now))
        yield msg

    def on_decision(self, msg: Decision) -> Iterator[Message]:
        """Count a decision by its name."""
        self._decisions.labels(msg.name).inc()
        yield msg
