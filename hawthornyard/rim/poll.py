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

POLL_INTERVAL_S = 1.0


class ConfigPoll:
    """Put changed records into the inbox as they are accepted.

    Args:
        table: The platform's table service.
        inbox: Where `ConfigPush` goes.
        interval_s: Mean seconds between polls.
    """

    __slots__ = ("_head", "_inbox", "_interval_s", "_table")

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
        self._head = 0

    def run(self) -> None:
        """Poll for ever, with jitter."""
        while True:
            self.poll()
            eventlet.sleep(self._interval_s * (0.5 + random.random()))

    def poll(self) -> None:
        """Poll once; an outage is logged and left to the next poll."""
        try:
            page = self._table.scan(RECORD_PREFIX, after=self._head)
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("poll_failed")
            return
        if not page.rows:
            return
        # The head also moves with rows that are no records.
        revision = page.rows[-1].revision
        entries = [_entry(row) for row in page.rows]
        self._inbox.put(ConfigPush(self._head, revision, entries).with_peer(""))
        self._head = revision


def _entry(row: Row) -> RecordEntry:
    _, kind, name = row.key.split("/", 2)
    document = json.loads(row.value) if row.value else {}
    text = "" if document.get("retired") else row.value
    return RecordEntry(kind, name, row.revision, text)
