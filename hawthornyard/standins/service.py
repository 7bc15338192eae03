"""Stand in for a plain service."""

import eventlet

from .web import WebAnswer, WebApp, WebRequest


class ServiceStandIn:
    """A plain service that accepts any method and path and records each call.

    Args:
        delay_s: Seconds that a call takes.

    Attributes:
        ran: Request id, attempt id and path of every call that was started.
    """

    __slots__ = ("_delay_s", "app", "ran")

    def __init__(self, *, delay_s: float = 0.01) -> None:
        self._delay_s = delay_s
        self.ran: list[tuple[str, str, str]] = []
        self.app = WebApp({"GET /ran": self._ran, "ANY /*": self._call})

    def _call(self, req: WebRequest) -> WebAnswer:
        self.ran.append(
            (
                req.headers.get("x-request-id", ""),
                req.headers.get("x-attempt-id", ""),
                req.path,
            )
        )
        eventlet.sleep(self._delay_s)
        body = {"path": req.path, "recorded": len(self.ran)}
        return WebAnswer(body)

    def _ran(self, req: WebRequest) -> WebAnswer:
        return WebAnswer({"ran": self.ran})
