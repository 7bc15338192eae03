"""Measure what passes the pipes, in the terms of Prometheus."""

from collections.abc import Callable, Iterable, Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ..core import Clock, Decision, Message, Tick

OK = "ok"
# The targets are 1.2 s to the first token and 53 ms between tokens.
FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5.0, 10.0, 30.0)
LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)


class ProgramMetrics:
    """The registry of one program, with what all programs measure.

    Labels come from records and closed lists only, never from callers.

    Args:
        clock: Source of time.

    Attributes:
        registry: Where all metrics of the program are registered.
    """

    __slots__ = ("_clock", "_decisions", "_lag", "registry")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.registry = CollectorRegistry()
        self._decisions = Counter(
            "hawthornyard_decisions",
            "Decisions by name.",
            ["name"],
            registry=self.registry,
        )
        self._lag = self.histogram(
            "loop_lag_seconds", "Wait of a tick for the loop.", LAG_BUCKETS_S
        )

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are.

        Args:
            name: Name without the prefix.
            meaning: One sentence.
            read: Returns the value.
        """
        gauge = Gauge(f"hawthornyard_{name}", meaning, registry=self.registry)
        gauge.set_function(read)

    def counter(self, name: str, meaning: str, labels: Iterable[str] = ()) -> Counter:
        """Add a counter; `_total` is appended to its name."""
        return Counter(f"hawthornyard_{name}", meaning, labels, registry=self.registry)

    def histogram(
        self,
        name: str,
        meaning: str,
        buckets: tuple[float, ...],
        labels: Iterable[str] = (),
    ) -> Histogram:
        """Add a histogram."""
        return Histogram(
            f"hawthornyard_{name}",
            meaning,
            labels,
            buckets=buckets,
            registry=self.registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def on_tick(self, msg: Tick) -> Iterator[Message]:
        """Measure how long a tick waited for the loop."""
        self._lag.observe(max(0.0, self._clock.now() - msg.now))
        yield msg

    def on_decision(self, msg: Decision) -> Iterator[Message]:
        """Count a decision by its name."""
        self._decisions.labels(msg.name).inc()
        yield msg
