"""Serve metrics on a port that is not open to callers."""

from collections.abc import Callable, Iterable

from .exchange import Environ, StartResponse
from .probe import METRICS_TYPE


class MetricsApplication:
    """A WSGI application that answers /metrics.

    Args:
        read_metrics: Returns the metrics in the Prometheus text format.
    """

    __slots__ = ("_read_metrics",)

    def __init__(self, read_metrics: Callable[[], bytes]) -> None:
        self._read_metrics = read_metrics

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["PATH_INFO"] != "/metrics":
            start("404 Not Found", [("Content-Type", "text/plain")])
            return [b"no such path\n"]
        start("200 OK", [METRICS_TYPE])
        return [self._read_metrics()]
