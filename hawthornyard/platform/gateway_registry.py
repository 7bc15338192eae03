"""Discover the other gateways through rows in the platform's store."""

import json

import eventlet
from loguru import logger

from ..core import Inbox
from ..edge.messages import GatewaysRead
from ..errors import PlatformError, RecordError
from .fields import decode_object, get_number, get_text
from .store import PlatformStore, RowPage, StoredRow

GATEWAY_TABLE = "gateways"

REFRESH_INTERVAL_S = 20.0
"""Time between two writes of this gateway's row; the platform charges for each."""

FIRST_REFRESH_DELAY_S = 1.0
"""Time between the first two writes; it quadruples up to `REFRESH_INTERVAL_S`.

It is short because all gateways start together, before the others' rows exist."""

ROW_TTL_MS = 50_000
"""Age of a row, by the store's clock, from which its gateway counts as gone."""

ROW_REMOVAL_AGE_MS = 120_000
"""Age above which a row is removed, by the store's clock."""


class GatewayRegistry:
    """Registration of this gateway and discovery of the others.

    Args:
        name: Name of this gateway.
        address: "address:port" on which this gateway receives frames.
        store: The platform's store.
        inbox: Receives the addresses of all gateways, this one included.
    """

    __slots__ = ("_address", "_inbox", "_name", "_store")

    def __init__(
        self, name: str, address: str, store: PlatformStore, inbox: Inbox
    ) -> None:
        self._name = name
        self._address = address
        self._store = store
        self._inbox = inbox

    def run(self) -> None:
        """Write this gateway's row and read the others at intervals; never returns."""
        delay_s = FIRST_REFRESH_DELAY_S
        while True:
            try:
                self._refresh()
            except PlatformError as exc:
                logger.bind(detail=str(exc)).warning("gateways_unreadable")
            eventlet.sleep(delay_s)
            delay_s = min(REFRESH_INTERVAL_S, delay_s * 4)

    def _refresh(self) -> None:
        page = self._store.read(GATEWAY_TABLE)
        value = {"address": self._address, "at_ms": page.now_ms}
        self._store.write(GATEWAY_TABLE, self._name, json.dumps(value).encode())
        addresses = {self._name: self._address}
        for row in page.rows:
            if row.key != self._name:
                self._process_row(row, page, addresses)
        self._inbox.put(GatewaysRead(addresses))

    def _process_row(
        self, row: StoredRow, page: RowPage, addresses: dict[str, str]
    ) -> None:
        try:
            body = decode_object(row.value or b"")
            age_ms = page.now_ms - get_number(body, "at_ms")
            address = get_text(body, "address")
        except RecordError as exc:
            logger.bind(gateway=row.key, detail=exc.detail).warning(
                "gateway_unreadable"
            )
            return
        if age_ms < ROW_TTL_MS:
            addresses[row.key] = address
        elif age_ms > ROW_REMOVAL_AGE_MS:
            self._store.remove(GATEWAY_TABLE, row.key, row.version)
