"""Stand-in for the platform's store."""

import base64
import json
import time
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from ...front.exchange import Environ, StartResponse
from ..names import STORE_ERA_HEADER

MAX_PAGE_ROWS = 500
"""Rows per response, the maximum of the platform's store."""

PIECE_S = 0.02
"""Time between two pieces of a response over a narrow link."""


class PlatformStoreApp:
    """WSGI application with versioned rows that can be read, written and followed.

    Attributes:
        bytes_per_s: Bandwidth of each response.
        delay_s: Delay of each response in seconds.
        era: Number of the era, which rises with each restore.
        is_down: Whether all calls are refused with status 503.
        n_calls: Number of calls received.
        oldest_version: Version after which changes are kept.
        tables_read: Names of the tables that were read whole.
        rows: Value and version by table and key; None for a removed row.
        version: Version of the newest change.
    """

    __slots__ = (
        "_changed",
        "_changes",
        "_copy",
        "bytes_per_s",
        "delay_s",
        "era",
        "is_down",
        "n_calls",
        "oldest_version",
        "rows",
        "tables_read",
        "version",
    )

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.tables_read: set[str] = set()
        self.version = 1
        self.oldest_version = 0
        self.n_calls = 0
        self.is_down = False
        self.delay_s = 0.0
        self.bytes_per_s = float("inf")
        self.era = 1
        # Each change with its table, in order: readers of changes get all versions of a
        # row, not only its newest.
        self._changes: list[tuple[str, dict[str, Any]]] = []
        self._copy = (self.rows, self._changes, self.version)
        self._changed = Event()

    def put(self, table: str, key: str, value: bytes | dict[str, Any]) -> None:
        """Write a row unconditionally."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(table, key, data)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def forget_history(self) -> None:
        """Discard the changes so far, so that readers must read the tables anew."""
        self.oldest_version = self.version
        self._changes.clear()
        self._wake_waiters()

    def take_copy(self) -> None:
        """Keep the rows and the version as they are, for `restore`."""
        self._copy = (dict(self.rows), list(self._changes), self.version)

    def restore(self) -> None:
        """Go back to the copy that was taken last, in a new era."""
        rows, changes, self.version = self._copy
        self.rows = dict(rows)
        self._changes = list(changes)
        self.era += 1
        self._wake_waiters()

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        self.n_calls += 1
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        if self.is_down:
            start("503 Service Unavailable", [])
            return [b""]
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        path = environ["PATH_INFO"]
        if path == "/rows-get":
            return self._read(query, start)
        if path == "/rows-feed":
            return self._feed(query, start)
        if path == "/rows-tx":
            return self._transact(json.load(environ["wsgi.input"]), start)
        start("404 Not Found", [])
        return [b""]

    def _read(self, query: dict[str, str], start: StartResponse) -> Iterable[bytes]:
        first_key = query.get("from", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        self.tables_read.add(query["table_name"])
        rows = self._select_rows(query["table_name"])
        found = sorted(
            (row for row in rows if row["key"] >= first_key), key=lambda row: row["key"]
        )
        return self._answer(start, found[:limit], has_more=len(found) > limit)

    def _feed(self, query: dict[str, str], start: StartResponse) -> Iterable[bytes]:
        after = int(query["after"])
        table = query["table_name"]
        with eventlet.Timeout(int(query["wait_ms"]) / 1000, False):
            while self._must_wait(table, after):
                self._changed.wait()
        if self.is_down:
            start("503 Service Unavailable", [])
            return [b""]
        if not self._has_history(after):
            start("410 Gone", self._era_headers())
            return [b""]
        return self._answer(start, self._select_changes(table, after))

    def _must_wait(self, table: str, after: int) -> bool:
        if self.is_down or not self._has_history(after):
            return False
        return not self._select_changes(table, after)

    def _has_history(self, after: int) -> bool:
        return self.oldest_version <= after <= self.version

    def _era_headers(self) -> list[tuple[str, str]]:
        return [(STORE_ERA_HEADER, str(self.era))]

    def _transact(self, body: Any, start: StartResponse) -> Iterable[bytes]:
        for row in body["expect"]:
            current = self.rows.get((row["table_name"], row["key"]), (None, 0))
            if current[1] != row["ver"]:
                start("412 Precondition Failed", self._era_headers())
                return [b"{}"]
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self._write(row["table_name"], row["key"], value)
        for row in body["remove"]:
            self._write(row["table_name"], row["key"], None)
        return self._answer(start, [])

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self._changes.append((table, _encode_row(table, key, value, self.version)))
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()

    def _select_rows(self, table: str) -> list[dict[str, Any]]:
        return [
            _encode_row(table, key, value, version)
            for (name, key), (value, version) in self.rows.items()
            if name == table and value is not None
        ]

    def _select_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        found = []
        for name, row in reversed(self._changes):
            if row["ver"] <= after:
                break
            if name == table:
                found.append(row)
        return found[::-1]

    def _answer(
        self,
        start: StartResponse,
        rows: list[dict[str, Any]],
        *,
        has_more: bool = False,
    ) -> Iterable[bytes]:
        now_ms = time.monotonic() * 1000
        body = {
            "rows": rows,
            "ver": self.version,
            "now_ms": now_ms,
            "has_more": has_more,
        }
        data = json.dumps(body).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start("200 OK", [*headers, *self._era_headers()])
        return self._pace(data)

    def _pace(self, data: bytes) -> Iterable[bytes]:
        n_piece = max(1, int(min(len(data), self.bytes_per_s * PIECE_S)))
        for start in range(0, len(data), n_piece):
            if start:
                eventlet.sleep(PIECE_S)
            yield data[start : start + n_piece]


def _encode_row(
    table: str, key: str, value: bytes | None, version: int
) -> dict[str, Any]:
    row: dict[str, Any] = {"table_name": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["tombstone"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row
