"""Call the platform's store."""

import base64
import binascii
import json
import re
import time
from collections.abc import Sequence
from typing import Any

from ..core import Message
from ..errors import PlatformError, RecordError
from ..io.endpoint_calls import CONNECT_TIMEOUT_S
from ..policy import GrowingTimeout
from ..stores.http import HttpResponse, HttpService
from .fields import get_number
from .names import STORE_ERA_HEADER

READ_TIMEOUT_S = 1.0
"""Time until a response begins, on top of the long poll if there is one, and then until
each next part. The store answers in 4 ms, and in about 0.3 s when it is slow."""

RESPONSE_TIMEOUT_S = 2.0
"""Time in which a response arrives whole at the first try. It is short, as a store in
trouble may send without end."""

MAX_RESPONSE_TIMEOUT_S = 32.0
"""Longest time in which a response may arrive, after tries that were cut off."""

MAX_PAGE_ROWS = 500
"""Rows requested per page, the maximum of the store."""

FIRST_ERA = 1
"""Era of a store that has never come back from a copy."""

_GONE = 410
_CONFLICT = 412
_ERA = re.compile(r"[0-9]{1,9}")


class StoredRow(Message):
    """One row of a table.

    Attributes:
        key: Key of the row.
        value: Value of the row; None if the row was removed.
        version: Version of the transaction that wrote it; 0 for a removed row, or
            if the store gave none.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int = 0) -> None:
        self.key = key
        self.value = value
        self.version = version


class RowPage(Message):
    """Rows of a table as of one version.

    Attributes:
        rows: The rows.
        version: Version up to which the rows are complete.
        now_ms: Time of the store's monotonic clock, in milliseconds.
        era: Era of the store; versions of different eras can't be compared.
        n_bytes: Bytes of the responses that held the rows.
        read_s: Seconds since the head of the first of these responses arrived.
    """

    __slots__ = ("rows", "version", "now_ms", "era", "n_bytes", "read_s")

    def __init__(
        self,
        rows: Sequence[StoredRow],
        version: int,
        now_ms: float = 0.0,
        era: int = FIRST_ERA,
        *,
        n_bytes: int = 0,
        read_s: float = 0.0,
    ) -> None:
        self.rows = rows
        self.version = version
        self.now_ms = now_ms
        self.era = era
        self.n_bytes = n_bytes
        self.read_s = read_s


class PlatformStore:
    """Access to the tables of the platform's store.

    The store may come back from a copy that lacks the newest changes. Its era rises
    then, and an answer of an earlier era, which may come late, is refused.

    Args:
        address: "address:port" of the store.

    Attributes:
        era: Latest era that an answer had.
    """

    __slots__ = ("_response_timeouts", "_service", "era")

    def __init__(self, address: str) -> None:
        self._service = HttpService(
            "store",
            f"http://{address}",
            connect_timeout_s=CONNECT_TIMEOUT_S,
            read_timeout_s=READ_TIMEOUT_S,
        )
        self._response_timeouts: dict[tuple[str, str], GrowingTimeout] = {}
        self.era = FIRST_ERA

    def read(self, table: str) -> RowPage:
        """Return all rows of a table.

        Raises:
            PlatformError: If the store gives no valid response.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        era = FIRST_ERA
        start = ""
        n_bytes = 0
        answered_at: float | None = None
        while True:
            fields = {"table_name": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if start:
                fields["from"] = start
            answer = self._get("/rows-get", fields)
            n_bytes += len(answer.data)
            if answered_at is None:
                answered_at = time.monotonic() - answer.read_s
            body = _decode_body(answer.data)
            page = _decode_rows(body)
            # Keep the version of the first page, so that the feed returns the rows
            # that change while later pages are read.
            if version is None:
                version = _decode_version(body)
                era = self.era
            elif era != self.era:
                raise PlatformError(f"store: it was restored while {table} was read")
            rows += page
            if not body.get("has_more") or not page:
                return RowPage(
                    rows,
                    version,
                    _decode_now_ms(body),
                    era,
                    n_bytes=n_bytes,
                    read_s=time.monotonic() - answered_at,
                )
            # Continue at the smallest key that sorts after the last row.
            start = page[-1].key + "\0"

    def read_changes(
        self,
        table: str,
        after_version: int,
        wait_s: float,
        *,
        timeout_s: float = READ_TIMEOUT_S,
        max_bytes: int | None = None,
    ) -> RowPage | None:
        """Return the changes of a table, waiting until there are some.

        Args:
            table: Name of the table.
            after_version: Version that the caller has already read.
            wait_s: Long-poll timeout in seconds; without a change until then, the page
                has no rows.
            timeout_s: Seconds beyond `wait_s` within which the answer must begin.
            max_bytes: Largest answer that is read, None for no bound.

        Returns:
            The changes, or None if the store no longer keeps changes that far back.

        Raises:
            OversizedResponseError: If the answer is larger than `max_bytes`.
            PlatformError: If the store gives no valid response.
        """
        fields = {
            "table_name": table,
            "after": str(after_version),
            "wait_ms": str(round(wait_s * 1000)),
        }
        answer = self._get(
            "/rows-feed",
            fields,
            expected_statuses=frozenset({_GONE}),
            timeout_s=wait_s + timeout_s,
            max_response_bytes=max_bytes,
        )
        if answer.status == _GONE:
            return None
        body = _decode_body(answer.data)
        return RowPage(
            _decode_rows(body),
            _decode_version(body),
            _decode_now_ms(body),
            self.era,
            n_bytes=len(answer.data),
            read_s=answer.read_s,
        )

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write one row unconditionally.

        Raises:
            PlatformError: If there is no response, or one with an unexpected status;
                the write may have taken effect.
        """
        row = {**_row_id(table, key), "value": base64.b64encode(value).decode()}
        self._transact({"expect": [], "puts": [row], "remove": []})

    def write_if(
        self,
        expected: tuple[str, str, int],
        rows: Sequence[tuple[str, str, bytes]],
        era: int,
    ) -> int:
        """Write rows in one transaction unless a row has changed.

        Args:
            expected: Table, key and version of the row that must not have changed; the
                version is 0 if there must be none.
            rows: Tables, keys and values of the rows.
            era: Era in which the row was read; a later one gives versions out again.

        Returns:
            The version of the transaction, 0 if the row has changed.

        Raises:
            PlatformError: If there is no response, or one with an unexpected status;
                the rows may have been written, or may be written later.
        """
        if era != self.era:
            return 0
        table, key, version = expected
        puts = [
            {**_row_id(name, row_key), "value": base64.b64encode(value).decode()}
            for name, row_key, value in rows
        ]
        expect = [{**_row_id(table, key), "ver": version}]
        answer = self._transact({"expect": expect, "puts": puts, "remove": []})
        if answer.status == _CONFLICT:
            return 0
        return _decode_version(_decode_body(answer.data))

    def remove(self, table: str, key: str, version: int, era: int) -> None:
        """Remove one row unless it has changed since `version`.

        Args:
            table: Name of the table.
            key: Key of the row.
            version: Version at which the row was read.
            era: Era in which the row was read; a later one gives versions out again.

        Raises:
            PlatformError: If the store was restored since, there is no response, or
                one with an unexpected status; the row may have been removed.
        """
        if era != self.era:
            raise PlatformError(f"store: it was restored since {key} was read")
        name = _row_id(table, key)
        expected = {**name, "ver": version}
        self._transact({"expect": [expected], "puts": [], "remove": [name]})

    def _transact(self, body: dict[str, Any]) -> HttpResponse:
        data = json.dumps(body).encode()
        return self._call(
            "POST", "/rows-tx", data=data, expected_statuses=frozenset({_CONFLICT})
        )

    def _get(self, path: str, fields: dict[str, str], **arguments: Any) -> HttpResponse:
        timeout = self._response_timeouts.setdefault(
            (path, fields["table_name"]),
            GrowingTimeout(RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S),
        )
        try:
            answer = self._call(
                "GET",
                path,
                fields=fields,
                response_timeout_s=timeout.seconds,
                **arguments,
            )
        except PlatformError as exc:
            if exc.n_received:
                timeout.note_cut()
            raise
        timeout.note_success(answer.read_s)
        return answer

    def _call(self, method: str, path: str, **arguments: Any) -> HttpResponse:
        answer = self._service.call(method, path, **arguments)
        era = _decode_era(answer, self.era)
        if era < self.era:
            raise PlatformError(
                f"store: the response is of era {era}, expected {self.era} or later"
            )
        self.era = era
        return answer


def _row_id(table: str, key: str) -> dict[str, str]:
    return {"table_name": table, "part": "", "key": key}


def _decode_era(answer: HttpResponse, default: int) -> int:
    text = answer.headers.get(STORE_ERA_HEADER)
    if text is None:
        return default
    if not _ERA.fullmatch(text):
        raise PlatformError(
            f"store: {STORE_ERA_HEADER} is {text[:100]!r}, expected 1 to 9 digits"
        )
    return int(text)


def _decode_now_ms(body: dict[str, Any]) -> float:
    try:
        return get_number(body, "now_ms")
    except RecordError as exc:
        raise PlatformError(f"store: {exc.detail}") from exc


def _decode_body(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise PlatformError(f"store: the response is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise PlatformError("store: the response is not a JSON object")
    return body


def _decode_version(body: dict[str, Any]) -> int:
    version = body.get("ver")
    if type(version) is not int:
        raise PlatformError("store: field 'ver' of the response is not an integer")
    return version


def _decode_rows(body: dict[str, Any]) -> list[StoredRow]:
    rows = body.get("rows")
    if not isinstance(rows, list):
        raise PlatformError("store: field 'rows' of the response is not a list")
    return [_decode_row(row) for row in rows]


def _decode_row(row: Any) -> StoredRow:
    if not isinstance(row, dict) or not isinstance(row.get("key"), str):
        raise PlatformError("store: a row is not an object with a text 'key'")
    if row.get("tombstone"):
        return StoredRow(row["key"], None)
    try:
        value = base64.b64decode(row.get("value") or "")
    except (binascii.Error, TypeError, ValueError):
        # Empty bytes are no valid record, so only this row is rejected later.
        value = b""
    version = row.get("ver")
    return StoredRow(row["key"], value, version if type(version) is int else 0)
