"""Serve a table in memory over HTTP, with injected faults."""

from ..core import Clock
from ..errors import ConflictError
from ..io import MonotonicClock
from ..stores import Condition, Put, Row
from .faults import Faults
from .table_model import MemoryTable
from .web import WebAnswer, WebApp, WebRequest


class TableStandIn:
    """A stand-in of the platform's table service.

    Args:
        table: The table to serve.
        clock: Source of time for the rate limits, by default the host's monotonic
            clock.
    """

    __slots__ = ("app", "faults", "table")

    def __init__(self, table: MemoryTable, clock: Clock | None = None) -> None:
        self.table = table
        self.faults = Faults(clock or MonotonicClock())
        self.app = WebApp(
            {
                "POST /v1/transact": self.faults.wrap_write(self._transact),
                "GET /v1/scan": self.faults.wrap_read(self._scan),
                "GET /v1/row": self.faults.wrap_read(self._read),
                "POST /faults": self.faults.configure,
            }
        )

    def _transact(self, req: WebRequest) -> WebAnswer:
        body = req.json()
        try:
            revision = self.table.transact(
                [Condition(*item) for item in body["conditions"]],
                [Put(*item) for item in body["puts"]],
            )
        except ConflictError as exc:
            return WebAnswer({"detail": exc.detail}, status=409)
        return WebAnswer({"revision": revision})

    def _scan(self, req: WebRequest) -> WebAnswer:
        page = self.table.scan(req.query["prefix"], after=int(req.query["after"]))
        rows = [_row_body(row) for row in page.rows]
        return WebAnswer({"rows": rows, "head": page.head})

    def _read(self, req: WebRequest) -> WebAnswer:
        row = self.table.read(req.query["key"])
        return WebAnswer({"row": _row_body(row) if row else None})


def _row_body(row: Row) -> list[str | int]:
    return [row.key, row.value, row.revision]
