"""Reach the table service over HTTP."""

import json
from collections.abc import Sequence
from typing import Any

import urllib3

from ..errors import ConflictError, PlatformError
from .table import Condition, Page, Put, Row

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
_CONFLICT = 409


class HttpTable:
    """A table service behind a URL.

    Args:
        url: Base URL of the service.
        connect_timeout_s: Bound on connecting.
        read_timeout_s: Bound on waiting for an answer.
    """

    __slots__ = ("_pool", "_timeout", "_url")

    def __init__(
        self,
        url: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager()
        self._timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        """Write all rows or none; see `TableStore.transact`."""
        body = {
            "conditions": [[item.key, item.revision] for item in conditions],
            "puts": [[item.key, item.value] for item in puts],
        }
        answer = self._call("POST", "/v1/transact", body=body)
        return int(answer["revision"])

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        """Return rows below `prefix`; see `TableStore.scan`."""
        fields = {"prefix": prefix, "after": str(after)}
        answer = self._call("GET", "/v1/scan", fields=fields)
        return Page([Row(*row) for row in answer["rows"]], answer["head"])

    def read(self, key: str) -> Row | None:
        """Return one row; see `TableStore.read`."""
        answer = self._call("GET", "/v1/row", fields={"key": key})
        row = answer["row"]
        return Row(*row) if row else None

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        fields: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        try:
            resp = self._pool.request(
                method,
                self._url + path,
                fields=fields,
                body=json.dumps(body).encode() if body is not None else None,
                timeout=self._timeout,
                retries=False,
                redirect=False,
            )
            answer: dict[str, Any] = json.loads(resp.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            raise PlatformError(f"table service: {exc}") from exc
        if resp.status == _CONFLICT:
            raise ConflictError(str(answer.get("detail", "")))
        if resp.status >= 400:
            raise PlatformError(f"table service answered {resp.status}")
        return answer
