"""Follow the operators' and the endpoints' tables in the platform's store."""

from collections.abc import Callable, Sequence
from typing import Protocol

import eventlet
from loguru import logger

from ..core import Clock, Inbox, RandomSource
from ..edge.fleet.deployment import OPERATOR_FEED
from ..edge.fleet.endpoints import ENDPOINT_FEED
from ..edge.fleet.store import LONG_POLL_S, STORE_RECOVERY_S
from ..edge.messages import (
    DeploymentRead,
    DomainsRead,
    EndpointsRead,
    StoreAnswered,
    StoreFailed,
    StoreRestored,
)
from ..errors import OversizedResponseError, PlatformError, RecordError
from ..io import repeat
from ..io.endpoint_calls import CONNECT_TIMEOUT_S
from .deployment import decode_deployment
from .endpoint import decode_endpoint_entry
from .names import (
    DEPLOYMENT_KEY,
    DOMAIN_OUT_KEY_PREFIX,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    ROLLOUT_KEY_PREFIX,
)
from .rollouts import decode_order
from .store import FIRST_ERA, READ_TIMEOUT_S, PlatformStore, RowPage, StoredRow

RETRY_DELAY_S = 0.25
"""Delay after a failed call."""

PROBE_TIMEOUT_S = 0.75
"""Read timeout of the calls after a failed one, which do not wait for changes. With
`RETRY_DELAY_S` it bounds how late the return of a silent store is noticed; a slow store
answers in less."""


AFTER_RECOVERY_S = 0.02
"""Delay of the first answer that confirms what is known after a restore."""

MIN_CHANGES_BYTES = 65_536
"""Changes up to this size are always read, however small the table is."""

CHANGES_PER_TABLE_BYTE = 2
"""Largest size of changes relative to the whole table. They hold each version of a row
since the last answer, the table only the newest."""


class TableDecoder(Protocol):
    """Decoder of the rows of one table."""

    def decode(
        self, rows: Sequence[StoredRow], *, is_complete: bool, answered_at: float
    ) -> None:
        """Decode rows and put the resulting messages into the inbox.

        Args:
            rows: New, changed and removed rows.
            is_complete: Whether `rows` is the whole table, not only its changes.
            answered_at: Monotonic time in seconds at which the store's answer began.
        """
        ...


class OperatorTableDecoder:
    """Decoder of deployments, failure domains out of service and rollout orders.

    Args:
        inbox: Receives the decoded messages.
    """

    __slots__ = ("_domains_out", "_inbox")

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self._domains_out: set[str] = set()

    def decode(
        self, rows: Sequence[StoredRow], *, is_complete: bool, answered_at: float
    ) -> None:
        """Decode rows into messages; see `TableDecoder.decode`."""
        if is_complete:
            self._domains_out.clear()
        self._decode_newest_deployment(rows, answered_at)
        for row in rows:
            self._decode_row(row)
        self._inbox.put(DomainsRead(frozenset(self._domains_out)))

    def _decode_newest_deployment(
        self, rows: Sequence[StoredRow], answered_at: float
    ) -> None:
        # Changes hold each version of a row; older ones would be replaced at once.
        for row in reversed(rows):
            if row.key != DEPLOYMENT_KEY or row.value is None:
                continue
            try:
                deployment = decode_deployment(row.value)
            except RecordError as exc:
                logger.bind(detail=str(exc)).error("deployment_unreadable")
            else:
                self._inbox.put(DeploymentRead(deployment, row.version, answered_at))
                return

    def _decode_row(self, row: StoredRow) -> None:
        if row.key.startswith(DOMAIN_OUT_KEY_PREFIX):
            domain = row.key.removeprefix(DOMAIN_OUT_KEY_PREFIX)
            if row.value is None:
                self._domains_out.discard(domain)
            else:
                self._domains_out.add(domain)
        elif row.key.startswith(ROLLOUT_KEY_PREFIX):
            self._inbox.put(decode_order(row))


class EndpointTableDecoder:
    """Decoder of the entries of endpoints.

    Args:
        inbox: Receives the decoded messages.
    """

    __slots__ = ("_inbox",)

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox

    def decode(
        self, rows: Sequence[StoredRow], *, is_complete: bool, answered_at: float
    ) -> None:
        """Decode rows into messages; see `TableDecoder.decode`."""
        entries = []
        # Changes hold each version of a row in order: only the newest tells whether the
        # endpoint is gone.
        removed: set[str] = set()
        for row in rows:
            if row.value is None:
                removed.add(row.key)
                continue
            try:
                entries.append(decode_endpoint_entry(row.key, row.value))
                removed.discard(row.key)
            except RecordError as exc:
                logger.bind(endpoint=row.key, detail=str(exc)).warning(
                    "endpoint_unreadable"
                )
                # Reading the whole table would not find it either.
                removed.add(row.key)
        self._inbox.put(
            EndpointsRead(entries, sorted(removed), is_complete=is_complete)
        )


class Feed:
    """Reader of one whole table and then of its changes.

    The whole table is read again if the store no longer has the changes, or if they are
    much larger: a storm of changes may go on faster than a narrow link carries them.

    Args:
        name: Name of the feed.
        table: Name of the table.
        store: The platform's store.
        decoder: Decodes rows into messages.
        inbox: Receives `StoreAnswered` or `StoreFailed` after each call, neither if the
            whole table is read next.
        clock: Source of time.
        random_source: Source of randomness.
        wait_s: Long-poll timeout in seconds.
        pause_s: Returns the pause in seconds after changes; further changes in that
            time are then read by one call.
    """

    __slots__ = (
        "_clock",
        "_decoder",
        "_era",
        "_has_failed",
        "_inbox",
        "_name",
        "_next_wait_s",
        "_pause_s",
        "_random_source",
        "_recovered_at",
        "_store",
        "_table",
        "_table_bytes",
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
        random_source: RandomSource,
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
        self._random_source = random_source
        self._wait_s = wait_s
        self._next_wait_s = wait_s
        self._pause_s = pause_s
        self._version: int | None = None
        self._table_bytes = 0
        self._era = FIRST_ERA
        self._recovered_at = float("-inf")
        self._has_failed = False

    def run(self) -> None:
        """Follow the table; never returns."""
        repeat(self._follow, f"feed of {self._name}")

    def _follow(self) -> None:
        sent_at = self._clock.now()
        try:
            self._poll(sent_at)
            self._has_failed = False
        except PlatformError as exc:
            self._has_failed = True
            self._inbox.put(
                StoreFailed(
                    self._name,
                    str(exc),
                    sent_at,
                    after_version=self._version,
                    n_received=exc.n_received,
                )
            )
            eventlet.sleep(RETRY_DELAY_S)

    def _poll(self, requested_at: float) -> None:
        as_of = requested_at
        wait_s, self._next_wait_s = self._next_wait_s, self._wait_s
        if requested_at < self._recovered_at:
            wait_s = min(wait_s, self._recovered_at - requested_at)
        timeout_s = READ_TIMEOUT_S
        if self._has_failed:
            wait_s, timeout_s = 0.0, PROBE_TIMEOUT_S
        if self._version is None or self._store.era != self._era:
            page = self._store.read(self._table)
            self._table_bytes = page.n_bytes
            self._note_era(page)
            self._decode(page, is_complete=True)
            self._next_wait_s = self._random_source.random() * self._wait_s
        else:
            changes = self._read_changes(self._version, wait_s, timeout_s)
            if changes is None:
                self._version = None
                return
            page = changes
            if page.rows:
                self._decode(page, is_complete=False)
                self._confirm(page.version, as_of)
                # A change wakes all gateways at once. Without jitter their long polls
                # would stay in step, and all would notice an outage equally late.
                self._next_wait_s = self._random_source.random() * self._wait_s
                eventlet.sleep(self._pause_s())
                return
            else:
                # No change: the store held the call for the whole long poll.
                as_of = min(self._clock.now(), requested_at + wait_s)
        self._confirm(page.version, as_of)

    def _read_changes(
        self, after_version: int, wait_s: float, timeout_s: float
    ) -> RowPage | None:
        # Returns None if the whole table must be read.
        log = logger.bind(feed=self._name, after_version=after_version)
        try:
            changes = self._store.read_changes(
                self._table,
                after_version,
                wait_s,
                timeout_s=timeout_s,
                max_bytes=max(
                    MIN_CHANGES_BYTES, CHANGES_PER_TABLE_BYTE * self._table_bytes
                ),
            )
        except OversizedResponseError as exc:
            log.bind(detail=str(exc)).info("changes_too_large")
            return None
        if changes is None:
            log.info("history_gone")
        elif changes.era != self._era:
            # Changes below the version asked for would be missing.
            return None
        return changes

    def _decode(self, page: RowPage, *, is_complete: bool) -> None:
        answered_at = self._clock.now() - page.read_s
        self._decoder.decode(
            page.rows, is_complete=is_complete, answered_at=answered_at
        )

    def _note_era(self, page: RowPage) -> None:
        # A feed that has just begun can't know when the restore was.
        if page.era != self._era:
            self._era = page.era
            now = self._clock.now()
            self._recovered_at = now + STORE_RECOVERY_S + AFTER_RECOVERY_S
            self._inbox.put(StoreRestored(self._name, page.era, now))

    def _confirm(self, version: int, as_of: float) -> None:
        self._version = version
        self._inbox.put(StoreAnswered(self._name, as_of))


def operator_feed(
    store: PlatformStore,
    inbox: Inbox,
    clock: Clock,
    random_source: RandomSource,
    *,
    wait_s: float,
) -> Feed:
    """Return the feed of deployments and of failure domains taken out of service.

    Args:
        store: The platform's store.
        inbox: Receives the messages of the feed.
        clock: Source of time.
        random_source: Source of randomness.
        wait_s: Long-poll timeout in seconds; confirmations stay younger than twice
            this.
    """
    decoder = OperatorTableDecoder(inbox)
    return Feed(
        OPERATOR_FEED,
        OPERATOR_TABLE,
        store,
        decoder,
        inbox,
        clock,
        random_source,
        wait_s=wait_s,
        # Changes of the deployment are rare and must be in force soon.
        pause_s=lambda: 0.0,
    )


def endpoint_feed(
    store: PlatformStore,
    inbox: Inbox,
    clock: Clock,
    random_source: RandomSource,
    *,
    contact_s: float,
    pause_s: Callable[[], float],
) -> Feed:
    """Return the feed of endpoints.

    A call that hangs is given up, and sent again, before `contact_s` is over.

    Args:
        store: The platform's store.
        inbox: Receives the messages of the feed.
        clock: Source of time.
        random_source: Source of randomness.
        contact_s: Seconds after a disturbance within which changes must be known.
        pause_s: Returns the pause in seconds after changes.
    """
    wait_s = contact_s - READ_TIMEOUT_S - RETRY_DELAY_S - CONNECT_TIMEOUT_S
    return Feed(
        ENDPOINT_FEED,
        ENDPOINT_TABLE,
        store,
        EndpointTableDecoder(inbox),
        inbox,
        clock,
        random_source,
        wait_s=max(LONG_POLL_S, wait_s),
        pause_s=pause_s,
    )
