"""Discover the other gateways through rows in the platform's store."""

import json

import eventlet
from eventlet.event import Event
from loguru import logger

from ..core import Consumers, Inbox
from ..edge.messages import GatewaysRead, StoreRestored
from ..errors import PlatformError, RecordError
from ..io import repeat
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

    It is also the sink of `StoreRestored`: the store may have lost this gateway's row.

    Args:
        name: Name of this gateway.
        address: "address:port" on which this gateway receives frames.
        failure_domain: Failure domain of this gateway.
        store: The platform's store.
        inbox: Receives the addresses of all gateways, this one included.
    """

    __slots__ = (
        "_address",
        "_delay_s",
        "_failure_domain",
        "_inbox",
        "_name",
        "_restored",
        "_store",
        "consumers",
    )

    def __init__(
        self,
        name: str,
        address: str,
        failure_domain: str,
        store: PlatformStore,
        inbox: Inbox,
    ) -> None:
        self._name = name
        self._address = address
        self._failure_domain = failure_domain
        self._store = store
        self._inbox = inbox
        self._delay_s = FIRST_REFRESH_DELAY_S
        self._restored = Event()
        self.consumers: Consumers = {StoreRestored: self._on_store_restored}

    def run(self) -> None:
        """Write this gateway's row and read the others at intervals; never returns."""
        repeat(self._refresh_and_wait, "gateway registry")

    def _refresh_and_wait(self) -> None:
        try:
            self._refresh()
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("gateways_unreadable")
        with eventlet.Timeout(self._delay_s, False):
            self._restored.wait()
        self._delay_s = min(REFRESH_INTERVAL_S, self._delay_s * 4)
        if self._restored.ready():
            self._restored = Event()
            self._delay_s = FIRST_REFRESH_DELAY_S

    def _on_store_restored(self, msg: StoreRestored) -> None:
        if not self._restored.ready():
            self._restored.send()

    def _refresh(self) -> None:
        page = self._store.read(GATEWAY_TABLE)
        value = {
            "address": self._address,
            "at_ms": page.now_ms,
            "failure_domain": self._failure_domain,
        }
        self._store.write(GATEWAY_TABLE, self._name, json.dumps(value).encode())
        addresses = {self._name: self._address}
        domains = {self._name: self._failure_domain}
        for row in page.rows:
            if row.key != self._name:
                self._process_row(row, page, addresses, domains)
        self._inbox.put(GatewaysRead(addresses, domains))

    def _process_row(
        self,
        row: StoredRow,
        page: RowPage,
        addresses: dict[str, str],
        domains: dict[str, str],
    ) -> None:
        try:
            body = decode_object(row.value or b"")
            age_ms = page.now_ms - get_number(body, "at_ms")
            address = get_text(body, "address")
            # Gateways of an older version do not tell theirs.
            domain = ""
            if "failure_domain" in body:
                domain = get_text(body, "failure_domain")
        except RecordError as exc:
            logger.bind(gateway=row.key, detail=exc.detail).warning(
                "gateway_unreadable"
            )
            return
        if age_ms < ROW_TTL_MS:
            addresses[row.key] = address
            domains[row.key] = domain
        elif age_ms > ROW_REMOVAL_AGE_MS:
            self._store.remove(GATEWAY_TABLE, row.key, row.version, page.era)
