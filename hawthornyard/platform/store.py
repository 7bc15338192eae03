"""Call the platform's store."""

import base64
import binascii
import json
from collections.abc import Sequence
from typing import Any

from ..core import Message
from ..errors import PlatformError
from ..stores.http import HttpService

READ_TIMEOUT_S = 1.0
"""Bound on an answer beyond the wait that was asked for; the store takes 4 ms, and
some 0.3 s when it is slow."""

PAGE_ROWS = 500
"""Rows of one page, the most that the store gives."""

_GONE = 410
_CONFLICT = 412


class StoredRow(Message):
    """One row.

    Attributes:
        key: Key of the row.
        value: Decoded bytes; None if the row was removed.
        version: Version of the transaction that wrote it.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int = 0) -> None:
        self.key = key
        self.value = value
        self.version = version


class RowPage(Message):
    """Rows of a table.

    Attributes:
        rows: The rows.
        version: Version up to which they are complete.
        now_ms: The store's steady clock.
    """

    __slots__ = ("rows", "version", "now_ms")

    def __init__(
        self, rows: Sequence[StoredRow], version: int, now_ms: float = 0.0
    ) -> None:
        self.rows = rows
        self.version = version
        self.now_ms = now_ms


class PlatformStore:
    """The platform's tables.

    Args:
        address: "address:port" of the store.
    """

    __slots__ = ("_service",)

    def __init__(self, address: str) -> None:
        self._service = HttpService(
            "store", f"http://{address}", read_timeout_s=READ_TIMEOUT_S
        )

    def read(self, table: str) -> RowPage:
        """Return all rows of a table.

        Raises:
            PlatformError: If there was no usable answer.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        start = ""
        while True:
            fields = {"table_name": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                fields["from"] = start
            answer = self._service.call("GET", "/rows-get", fields=fields)
            body = _decode(answer.data)
            page = _rows(body)
            # A row that changes between two pages comes again in the feed.
            if version is None:
                version = _version(body)
            rows += page
            if not body.get("has_more") or not page:
                return RowPage(rows, version, _now_ms(body))
            # The smallest key after the last one that was read.
            start = page[-1].key + "\0"

    def changes(self, table: str, after: int, wait_s: float) -> RowPage | None:
        """Wait for changes of a table.

        Args:
            table: Name of the table.
            after: Version that is known already.
            wait_s: Longest wait; no rows if nothing changes until then.

        Returns:
            The changes, or None if the store keeps them no longer.

        Raises:
            PlatformError: If there was no usable answer.
        """
        fields = {
            "table_name": table,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        answer = self._service.call(
            "GET",
            "/rows-feed",
            fields=fields,
            expected_statuses=frozenset({_GONE}),
            timeout_s=wait_s + READ_TIMEOUT_S,
        )
        if answer.status == _GONE:
            return None
        body = _decode(answer.data)
        return RowPage(_rows(body), _version(body), _now_ms(body))

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write one row, whatever it held.

        Raises:
            PlatformError: If there was no answer; the write may have taken effect.
        """
        row = {**_name(table, key), "value": base64.b64encode(value).decode()}
        self._transact({"expect": [], "puts": [row], "remove": []})

    def remove(self, table: str, key: str, version: int) -> None:
        """Remove one row unless it has changed since `version`.

        Raises:
            PlatformError: If there was no answer; the row may be gone.
        """
        name = _name(table, key)
        expected = {**name, "ver": version}
        self._transact({"expect": [expected], "puts": [], "remove": [name]})

    def _transact(self, body: dict[str, Any]) -> None:
        data = json.dumps(body).encode()
        self._service.call(
            "POST", "/rows-tx", data=data, expected_statuses=frozenset({_CONFLICT})
        )


def _name(table: str, key: str) -> dict[str, str]:
    return {"table_name": table, "part": "", "key": key}


def _now_ms(body: dict[str, Any]) -> float:
    now_ms: Any = body.get("now_ms")
    if type(now_ms) not in (int, float):
        raise PlatformError("store: the answer has no time")
    return float(now_ms)


def _decode(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except ValueError as exc:
        raise PlatformError(f"store: {exc}") from exc
    if not isinstance(body, dict):
        raise PlatformError("store: the answer is not an object")
    return body


def _version(body: dict[str, Any]) -> int:
    version = body.get("ver")
    if type(version) is not int:
        raise PlatformError("store: the answer has no version")
    return version


def _rows(body: dict[str, Any]) -> list[StoredRow]:
    rows = body.get("rows")
    if not isinstance(rows, list):
        raise PlatformError("store: the answer has no rows")
    return [_row(row) for row in rows]


def _row(row: Any) -> StoredRow:
    if not isinstance(row, dict) or not isinstance(row.get("key"), str):
        raise PlatformError("store: a row has no key")
    if row.get("tombstone"):
        return StoredRow(row["key"], None)
    try:
        value = base64.b64decode(row.get("value") or "")
    except (binascii.Error, TypeError, ValueError):
        # Kept as bytes that decode to nothing, so that the other rows hold.
        value = b""
    version = row.get("ver")
    return StoredRow(row["key"], value, version if type(version) is int else 0)
