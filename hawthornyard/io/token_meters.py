"""Count tokens and the time between them at little cost per token."""

from bisect import bisect_left
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric

# The target is 53 ms between tokens.
GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.04, 0.053, 0.08, 0.12, 0.25, 0.5, 1.0, 5.0)


class TokenMeter:
    """Token count and gaps of one service.

    It takes no lock, since only the loop writes to it.

    Attributes:
        n_tokens: Number of tokens.
        gap_counts: Number of gaps by bucket; the last bucket has no upper bound.
        gap_sum_s: Sum of all gaps in seconds.
    """

    __slots__ = ("gap_counts", "gap_sum_s", "n_tokens")

    def __init__(self) -> None:
        self.n_tokens = 0
        self.gap_counts = [0] * (len(GAP_BUCKETS_S) + 1)
        self.gap_sum_s = 0.0

    def observe_gap(self, gap_s: float) -> None:
        """Count a gap of `gap_s` seconds between two tokens."""
        self.gap_counts[bisect_left(GAP_BUCKETS_S, gap_s)] += 1
        self.gap_sum_s += gap_s


class TokenMeters:
    """Token meters by service, as a collector for a Prometheus registry."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, TokenMeter] = {}

    def for_service(self, service: str) -> TokenMeter:
        """Return the meter of a service; creates it on first use."""
        meter = self._by_service.get(service)
        if meter is None:
            meter = self._by_service[service] = TokenMeter()
        return meter

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics; the registry calls this at each scrape."""
        tokens = CounterMetricFamily(
            "hawthornyard_tokens", "Tokens handed to callers.", labels=["service"]
        )
        gaps = HistogramMetricFamily(
            "hawthornyard_inter_token_seconds",
            "Time between tokens, or groups of tokens that came together.",
            labels=["service"],
        )
        for service, meter in self._by_service.items():
            tokens.add_metric([service], meter.n_tokens)
            gaps.add_metric([service], _cumulative(meter), meter.gap_sum_s)
        yield tokens
        yield gaps


def _cumulative(meter: TokenMeter) -> list[tuple[str, float]]:
    buckets = []
    n_cumulative = 0
    bounds = [str(bound) for bound in GAP_BUCKETS_S] + ["+Inf"]
    for bound, count in zip(bounds, meter.gap_counts, strict=True):
        n_cumulative += count
        buckets.append((bound, float(n_cumulative)))
    return buckets
