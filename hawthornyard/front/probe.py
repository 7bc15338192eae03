"""Answer the probes of load balancers, monitoring systems and operators."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ..errors import RequestError
from .answer import TEXT_TYPE, answer_bytes, answer_json
from .exchange import Exchange, StartResponse

METRICS_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")


class StatusSource(Protocol):
    """A source of the gateway's readiness, metrics and status."""

    def is_ready(self) -> bool:
        """Return whether load balancers may send new callers to this gateway."""
        ...

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the fleet as this gateway sees it."""
        ...


class ProbeRoute:
    """The route of one probe path.

    Args:
        answer: Answers a GET or HEAD request.
    """

    __slots__ = ("_answer",)

    def __init__(
        self, answer: Callable[[Exchange, StartResponse], Iterable[bytes]]
    ) -> None:
        self._answer = answer

    def answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        """Answer a probe; see `Route.answer`."""
        if exchange.method not in ("GET", "HEAD"):
            raise RequestError("only GET and HEAD are allowed on this path")
        return self._answer(exchange, start)


class ProbeRoutes:
    """The routes of health, readiness, metrics and status.

    Args:
        source: Source of readiness, metrics and status.
    """

    __slots__ = ("_source",)

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    def routes(self) -> dict[str, ProbeRoute]:
        """Return the probe routes by path."""
        return {
            "/healthz": ProbeRoute(self._answer_health),
            "/readyz": ProbeRoute(self._answer_readiness),
            "/metrics": ProbeRoute(self._answer_metrics),
            "/v1/status": ProbeRoute(self._answer_status),
        }

    def _answer_health(
        self, exchange: Exchange, start: StartResponse
    ) -> Iterable[bytes]:
        return answer_bytes(exchange, start, b"ok\n", headers=[TEXT_TYPE])

    def _answer_readiness(
        self, exchange: Exchange, start: StartResponse
    ) -> Iterable[bytes]:
        if self._source.is_ready():
            return answer_bytes(exchange, start, b"ready\n", headers=[TEXT_TYPE])
        return answer_bytes(exchange, start, b"no\n", status=503, headers=[TEXT_TYPE])

    def _answer_metrics(
        self, exchange: Exchange, start: StartResponse
    ) -> Iterable[bytes]:
        data = self._source.metrics()
        return answer_bytes(exchange, start, data, headers=[METRICS_TYPE])

    def _answer_status(
        self, exchange: Exchange, start: StartResponse
    ) -> Iterable[bytes]:
        return answer_json(exchange, start, self._source.status())
