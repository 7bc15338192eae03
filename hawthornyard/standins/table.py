"""Serve the table model over HTTP, with faults that can be set."""

import eventlet

from ..errors import ConflictError
from ..platform import Condition, Put, Row
from .table_model import MemoryTable
from .web import WebAnswer, WebApp, WebRequest


class TableFaults:
    """Faults of a stand-in platform service.

    Attributes:
        is_down: Answer every call with 503.
        delay_s: Wait before each call is carried out.
        lose_replies: Number of writes to come whose reply is lost.
    """

    __slots__ = ("delay_s", "is_down", "lose_replies")

    def __init__(self) -> None:
        self.is_down = False
        self.delay_s = 0.0
        self.lose_replies = 0


class TableStandIn:
    """Stand in for the platform's table service.

    Args:
        table: Model that holds the rows.
    """

    __slots__ = ("app", "faults", "table")

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.faults = TableFaults()
        self.app = WebApp(
            {
                "POST /v1/transact": self._transact,
                "GET /v1/scan": self._scan,
                "GET /v1/row": self._read,
                "POST /faults": self._set_faults,
            }
        )

    def _transact(self, req: WebRequest) -> WebAnswer:
        if self._is_faulty():
            return _down()
        body = req.json()
        try:
            revision = self.table.transact(
                [Condition(*item) for item in body["conditions"]],
                [Put(*item) for item in body["puts"]],
            )
        except ConflictError as exc:
            return WebAnswer({"detail": exc.detail}, status=409)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return _down()
        return WebAnswer({"revision": revision})

    def _scan(self, req: WebRequest) -> WebAnswer:
        if self._is_faulty():
            return _down()
        page = self.table.scan(req.query["prefix"], after=int(req.query["after"]))
        rows = [_row_body(row) for row in page.rows]
        return WebAnswer({"rows": rows, "head": page.head})

    def _read(self, req: WebRequest) -> WebAnswer:
        if self._is_faulty():
            return _down()
        row = self.table.read(req.query["key"])
        return WebAnswer({"row": _row_body(row) if row else None})

    def _set_faults(self, req: WebRequest) -> WebAnswer:
        body = req.json()
        self.faults.is_down = bool(body.get("is_down", False))
        self.faults.delay_s = float(body.get("delay_s", 0.0))
        self.faults.lose_replies = int(body.get("lose_replies", 0))
        return WebAnswer({})

    def _is_faulty(self) -> bool:
        if self.faults.delay_s:
            eventlet.sleep(self.faults.delay_s)
        return self.faults.is_down


def _down() -> WebAnswer:
    return WebAnswer({"detail": "down"}, status=503)


def _row_body(row: Row) -> list[str | int]:
    return [row.key, row.value, row.revision]
