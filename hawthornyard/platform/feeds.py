"""Follow the tables of operators and of endpoints."""

from collections.abc import Callable, Sequence
from typing import Protocol

import eventlet
from loguru import logger

from ..core import Clock, Inbox, RandomSource
from ..edge.fleet.deployment import OPERATOR_FEED
from ..edge.fleet.endpoints import ENDPOINT_FEED
from ..edge.messages import (
    DeploymentRead,
    DomainsRead,
    EndpointsRead,
    StoreAnswered,
    StoreFailed,
)
from ..errors import PlatformError, RecordError
from .deployment import decode_deployment
from .endpoint import decode_endpoint
from .names import (
    DEPLOYMENT_KEY,
    DOMAIN_OUT_PREFIX,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
)
from .store import PlatformStore, StoredRow

RETRY_S = 0.25
"""Wait after a failed call; a return of the store is noticed this soon."""

ENDPOINT_WAIT_S = 5.0
"""Wait of one call for changes of endpoints; bounds a silent connection."""


class TableDecoder(Protocol):
    """Turn the rows of one table into messages."""

    def decode(self, rows: Sequence[StoredRow], *, is_complete: bool) -> None:
        """Put what rows say into the inbox.

        Args:
            rows: Rows that are new or have changed.
            is_complete: Whether the table holds no other rows.
        """
        ...


class OperatorTable:
    """Decode deployments and the failure domains that are out.

    Args:
        inbox: Where messages go.
    """

    __slots__ = ("_domains", "_inbox")

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self._domains: set[str] = set()

    def decode(self, rows: Sequence[StoredRow], *, is_complete: bool) -> None:
        """Put what rows say into the inbox; see `TableDecoder.decode`."""
        if is_complete:
            self._domains.clear()
        for row in rows:
            self._take(row)
        self._inbox.put(DomainsRead(frozenset(self._domains)))

    def _take(self, row: StoredRow) -> None:
        if row.key.startswith(DOMAIN_OUT_PREFIX):
            domain = row.key.removeprefix(DOMAIN_OUT_PREFIX)
            if row.value is None:
                self._domains.discard(domain)
            else:
                self._domains.add(domain)
        elif row.key == DEPLOYMENT_KEY and row.value is not None:
            try:
                self._inbox.put(DeploymentRead(decode_deployment(row.value)))
            except RecordError as exc:
                logger.bind(detail=str(exc)).error("deployment_unreadable")


class EndpointTable:
    """Decode the entries of endpoints.

    Args:
        inbox: Where messages go.
    """

    __slots__ = ("_inbox",)

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox

    def decode(self, rows: Sequence[StoredRow], *, is_complete: bool) -> None:
        """Put what rows say into the inbox; see `TableDecoder.decode`."""
        entries = []
        gone = []
        for row in rows:
            if row.value is None:
                gone.append(row.key)
                continue
            try:
                entries.append(decode_endpoint(row.key, row.value))
            except RecordError as exc:
                logger.bind(endpoint=row.key, detail=str(exc)).warning(
                    "endpoint_unreadable"
                )
        self._inbox.put(EndpointsRead(entries, gone, is_complete=is_complete))


class Feed:
    """Read one table, then follow its changes for ever.

    Args:
        name: Name of the feed.
        table: Name of the table.
        store: The platform's store.
        decoder: Turns rows into messages.
        inbox: Told whether the store answers.
        clock: Source of time.
        chance: Source of randomness.
        wait_s: Longest wait of one call for changes.
        pause_s: Returns the pause after changes, so that those that come close
            together are read by one call.
    """

    __slots__ = (
        "_chance",
        "_clock",
        "_decoder",
        "_inbox",
        "_name",
        "_next_wait_s",
        "_pause_s",
        "_store",
        "_table",
        "_version",
        "_wait_s",
    )

    def __init__(
        self,
        name: str,
        table: str,
        store: PlatformStore,
        decoder: TableDecoder,
        inbox: Inbox,
        clock: Clock,
        chance: RandomSource,
        *,
        wait_s: float,
        pause_s: Callable[[], float],
    ) -> None:
        self._name = name
        self._table = table
        self._store = store
        self._decoder = decoder
        self._inbox = inbox
        self._clock = clock
        self._chance = chance
        self._wait_s = wait_s
        self._next_wait_s = wait_s
        self._pause_s = pause_s
        self._version: int | None = None

    def run(self) -> None:
        """Follow the table; never returns."""
        while True:
            try:
                self._step()
            except PlatformError as exc:
                self._inbox.put(StoreFailed(self._name, str(exc)))
                eventlet.sleep(RETRY_S)

    def _step(self) -> None:
        asked_at = self._clock.now()
        as_of = asked_at
        wait_s, self._next_wait_s = self._next_wait_s, self._wait_s
        if self._version is None:
            page = self._store.read(self._table)
            self._decoder.decode(page.rows, is_complete=True)
            self._next_wait_s = self._chance.random() * self._wait_s
        else:
            changes = self._store.changes(self._table, self._version, wait_s)
            if changes is None:
                logger.bind(feed=self._name).info("history_gone")
                self._version = None
                return
            page = changes
            if page.rows:
                self._decoder.decode(page.rows, is_complete=False)
                self._put_answered(page.version, as_of)
                # A change wakes all gateways; if they went on in step, all of them
                # would notice an outage as late as the last.
                self._next_wait_s = self._chance.random() * self._wait_s
                eventlet.sleep(self._pause_s())
                return
            else:
                # The store held the call for the whole wait.
                as_of = min(self._clock.now(), asked_at + wait_s)
        self._put_answered(page.version, as_of)

    def _put_answered(self, version: int, as_of: float) -> None:
        self._version = version
        self._inbox.put(StoreAnswered(self._name, as_of))


def operator_feed(
    store: PlatformStore,
    inbox: Inbox,
    clock: Clock,
    chance: RandomSource,
    *,
    wait_s: float,
) -> Feed:
    """Return the feed of deployments and failure domains.

    Args:
        store: The platform's store.
        inbox: Where messages go.
        clock: Source of time.
        chance: Source of randomness.
        wait_s: Longest wait of one call; confirmations stay younger than twice this.
    """
    decoder = OperatorTable(inbox)
    return Feed(
        OPERATOR_FEED,
        OPERATOR_TABLE,
        store,
        decoder,
        inbox,
        clock,
        chance,
        wait_s=wait_s,
        # A change of the deployment is rare, and must be in force soon.
        pause_s=lambda: 0.0,
    )


def endpoint_feed(
    store: PlatformStore,
    inbox: Inbox,
    clock: Clock,
    chance: RandomSource,
    *,
    pause_s: Callable[[], float],
) -> Feed:
    """Return the feed of endpoints.

    Args:
        store: The platform's store.
        inbox: Where messages go.
        clock: Source of time.
        chance: Source of randomness.
        pause_s: Returns the pause after changes.
    """
    return Feed(
        ENDPOINT_FEED,
        ENDPOINT_TABLE,
        store,
        EndpointTable(inbox),
        inbox,
        clock,
        chance,
        wait_s=ENDPOINT_WAIT_S,
        pause_s=pause_s,
    )
