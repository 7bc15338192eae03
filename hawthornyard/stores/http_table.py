"""Call the table service over HTTP."""

from collections.abc import Sequence

from ..errors import ConflictError
from .http import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpService
from .table import Condition, Page, Put, Row

_CONFLICT = 409


class HttpTableStore:
    """Client of a table service over HTTP.

    Args:
        url: Base URL of the service.
        connect_timeout_s: Timeout of connecting, in seconds.
        read_timeout_s: Seconds until a response begins, and until each next part.
    """

    __slots__ = ("_service",)

    def __init__(
        self,
        url: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        self._service = HttpService(
            "table service",
            url,
            connect_timeout_s=connect_timeout_s,
            read_timeout_s=read_timeout_s,
        )

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        """Write all rows or none; see `TableStore.transact`."""
        body = {
            "conditions": [[item.key, item.revision] for item in conditions],
            "puts": [[item.key, item.value] for item in puts],
        }
        response = self._service.call_json(
            "POST", "/v1/transact", body=body, expected_statuses=frozenset({_CONFLICT})
        )
        if "revision" not in response:
            raise ConflictError(str(response.get("detail", "")))
        return int(response["revision"])

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        """Return rows by key prefix; see `TableStore.scan`."""
        fields = {"prefix": prefix, "after": str(after)}
        response = self._service.call_json("GET", "/v1/scan", fields=fields)
        return Page([Row(*row) for row in response["rows"]], response["head"])

    def read(self, key: str) -> Row | None:
        """Return one row; see `TableStore.read`."""
        response = self._service.call_json("GET", "/v1/row", fields={"key": key})
        row = response["row"]
        return Row(*row) if row else None
