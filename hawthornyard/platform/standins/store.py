"""A small store of the users' platform on loopback, to test the adapter against."""

import base64
import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from hawthornyard.front.exchange import Environ, StartResponse

NOW_MS = 5000


class PlatformStoreApp:
    """Rows with versions, read, written and followed as the platform's pages tell."""

    __slots__ = ("_changed", "is_down", "n_calls", "oldest", "rows", "version")

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 1
        self.oldest = 0
        self.n_calls = 0
        self.is_down = False
        self._changed = Event()

    def put(self, table: str, key: str, value: bytes | dict[str, Any]) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(table, key, data)

    def remove(self, table: str, key: str) -> None:
        self._write(table, key, None)

    def forget_history(self) -> None:
        self.oldest = self.version
        self._wake()

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        self.n_calls += 1
        if self.is_down:
            start("503 Service Unavailable", [])
            return [b""]
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        path = environ["PATH_INFO"]
        if path == "/rows-get":
            return self._answer(start, self._rows(query["table_name"], 0, False))
        if path == "/rows-feed":
            return self._feed(query, start)
        if path == "/rows-tx":
            return self._transact(json.load(environ["wsgi.input"]), start)
        start("404 Not Found", [])
        return [b""]

    def _feed(self, query: dict[str, str], start: StartResponse) -> Iterable[bytes]:
        after = int(query["after"])
        table = query["table_name"]
        with eventlet.Timeout(int(query["wait_ms"]) / 1000, False):
            while after >= self.oldest and not self._rows(table, after, True):
                self._changed.wait()
        if after < self.oldest:
            start("410 Gone", [])
            return [b""]
        return self._answer(start, self._rows(table, after, True))

    def _transact(self, body: Any, start: StartResponse) -> Iterable[bytes]:
        for row in body["expect"]:
            known = self.rows.get((row["table_name"], row["key"]), (None, 0))
            if known[1] != row["ver"]:
                start("412 Precondition Failed", [])
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
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()

    def _rows(self, table: str, after: int, with_removed: bool) -> list[dict[str, Any]]:
        found = []
        for (name, key), (value, version) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            if value is None and not with_removed:
                continue
            row: dict[str, Any] = {"table_name": table, "part": "", "key": key}
            row["ver"] = version
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            found.append(row)
        return found

    def _answer(
        self, start: StartResponse, rows: list[dict[str, Any]]
    ) -> Iterable[bytes]:
        body = {"rows": rows, "ver": self.version, "now_ms": NOW_MS, "has_more": False}
        start("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]
