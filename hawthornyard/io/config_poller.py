"""Poll the table service for accepted records."""

import json
import random

import eventlet
from loguru import logger

from ..core import Inbox
from ..errors import PlatformError
from ..frames import ConfigPush, RecordEntry
from ..operator import RECORD_PREFIX
from ..stores import Row, TableStore
from .repeat import repeat

POLL_INTERVAL_S = 1.0


class ConfigPoller:
    """Source of the accepted records as they change.

    Args:
        table: The platform's table service.
        inbox: Receives `ConfigPush`.
        interval_s: Mean seconds between polls.
    """

    __slots__ = ("_inbox", "_interval_s", "_seen_revision", "_table")

    def __init__(
        self,
        table: TableStore,
        inbox: Inbox,
        *,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._table = table
        self._inbox = inbox
        self._interval_s = interval_s
        self._seen_revision = 0

    def run(self) -> None:
        """Poll at intervals with jitter; never returns."""
        repeat(self._poll_and_wait, "config poller")

    def _poll_and_wait(self) -> None:
        self.poll()
        eventlet.sleep(self._interval_s * (0.5 + random.random()))

    def poll(self) -> None:
        """Poll once; a failure is logged, and the next poll is the retry."""
        try:
            page = self._table.scan(RECORD_PREFIX, after=self._seen_revision)
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("poll_failed")
            return
        if not page.rows:
            return
        # `page.head` would also advance with rows that are not records.
        revision = page.rows[-1].revision
        entries = [entry for row in page.rows if (entry := _build_entry(row))]
        self._inbox.put(
            ConfigPush(self._seen_revision, revision, entries).with_peer("")
        )
        self._seen_revision = revision


def _build_entry(row: Row) -> RecordEntry | None:
    # None for a malformed row, which changes no record.
    try:
        _, kind, name = row.key.split("/", 2)
        document = json.loads(row.value) if row.value else {}
        is_retired = bool(document.get("retired"))
    except (ValueError, AttributeError, RecursionError) as exc:
        logger.bind(row=row.key, detail=str(exc)).error("record_unreadable")
        return None
    return RecordEntry(kind, name, row.revision, "" if is_retired else row.value)
