"""Keep claims of idempotency keys in the table service, in batches."""

import time
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.queue import LightQueue
from loguru import logger

from ..core import Consumers, Inbox
from ..errors import ConflictError, ErrorKind, PlatformError
from ..gateway.claims import (
    ClaimRow,
    answer_claim,
    claimed_row,
    may_claim,
    may_settle,
    settled_row,
)
from ..gateway.messages import ClaimAnswered, ClaimRequested, ClaimSettled
from ..stores import Condition, Put, Row, TableStore
from .claim_codec import decode_claim, encode_claim

MAX_BATCH = 64
SETTLE_RETRY_S = 1.0
MAX_SETTLE_TRIES = 600
MAX_TAKE_TRIES = 3


class ClaimTable:
    """Carry out claims at the table service.

    A lost reply is resolved by reading the row and comparing the claim's
    identifier.

    Args:
        table: The platform's table service.
        wall_clock: Returns Unix seconds.
    """

    __slots__ = ("_table", "_wall_clock")

    def __init__(self, table: TableStore, wall_clock: Callable[[], float]) -> None:
        self._table = table
        self._wall_clock = wall_clock

    def claim(self, batch: list[ClaimRequested]) -> list[ClaimAnswered]:
        """Claim the keys of a batch, in one transaction if all are free."""
        if self._claim_all(batch):
            return [ClaimAnswered(item.call_id, None) for item in batch]
        return [self._claim_one(item) for item in batch]

    def settle(self, item: ClaimSettled) -> None:
        """Record how a claimed request ended.

        Raises:
            ConflictError: If the row changed meanwhile.
            PlatformError: If there was no answer.
        """
        row = self._table.read(item.row_key)
        if not may_settle(item, _decode(row)):
            return
        revision = row.revision if row else 0
        put = Put(item.row_key, encode_claim(settled_row(item)))
        self._table.transact([Condition(item.row_key, revision)], [put])

    def _claim_all(self, batch: list[ClaimRequested]) -> bool:
        if len({item.row_key for item in batch}) < len(batch):
            return False
        conditions = [Condition(item.row_key, 0) for item in batch]
        try:
            self._table.transact(conditions, [self._put(item) for item in batch])
        except (ConflictError, PlatformError):
            return False
        return True

    def _claim_one(self, item: ClaimRequested) -> ClaimAnswered:
        for _ in range(MAX_TAKE_TRIES):
            try:
                return self._take_or_answer(item)
            except ConflictError:
                continue
            except PlatformError:
                return ClaimAnswered(item.call_id, ErrorKind.PLATFORM_UNAVAILABLE)
        return ClaimAnswered(item.call_id, ErrorKind.KEY_IN_PROGRESS)

    def _take_or_answer(self, item: ClaimRequested) -> ClaimAnswered:
        row = self._table.read(item.row_key)
        claim = _decode(row)
        if claim is None or may_claim(claim):
            return self._take(item, row)
        return answer_claim(item, claim, self._wall_clock())

    def _take(self, item: ClaimRequested, row: Row | None) -> ClaimAnswered:
        condition = Condition(item.row_key, row.revision if row else 0)
        try:
            self._table.transact([condition], [self._put(item)])
        except PlatformError:
            written = _decode(self._table.read(item.row_key))
            if written is None or written.claim_id != item.claim_id:
                raise
        return ClaimAnswered(item.call_id, None)

    def _put(self, item: ClaimRequested) -> Put:
        row = claimed_row(item, self._wall_clock())
        return Put(item.row_key, encode_claim(row))


class ClaimWriter:
    """Write claims and their outcomes in green threads.

    Args:
        table: The platform's table service.
        inbox: Where `ClaimAnswered` goes.
    """

    __slots__ = ("_asked", "_inbox", "_n_settling", "_settled", "_table", "consumers")

    def __init__(self, table: TableStore, inbox: Inbox) -> None:
        self._table = ClaimTable(table, time.time)
        self._inbox = inbox
        self._asked = LightQueue()
        self._settled = LightQueue()
        self._n_settling = 0
        self.consumers: Consumers = {
            ClaimRequested: self._asked.put,
            ClaimSettled: self._on_settled,
        }

    def start(self) -> None:
        """Start the green threads that write."""
        eventlet.spawn_n(self._run_asked)
        eventlet.spawn_n(self._run_settled)

    def _run_asked(self) -> None:
        while True:
            for answer in self._table.claim(_take_batch(self._asked)):
                self._inbox.put(answer)

    def _run_settled(self) -> None:
        while True:
            eventlet.spawn_n(self._settle, self._settled.get())

    def _on_settled(self, msg: ClaimSettled) -> None:
        self._n_settling += 1
        self._settled.put(msg)

    def _settle(self, item: ClaimSettled) -> None:
        try:
            for _ in range(MAX_SETTLE_TRIES):
                if self._settle_once(item):
                    return
                eventlet.sleep(SETTLE_RETRY_S)
        finally:
            self._n_settling -= 1

    def _settle_once(self, item: ClaimSettled) -> bool:
        try:
            self._table.settle(item)
        except ConflictError:
            return False
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("settle_failed")
            return False
        return True


def _decode(row: Row | None) -> ClaimRow | None:
    return decode_claim(row.value) if row is not None else None


def _take_batch(queue: Any) -> list[ClaimRequested]:
    batch = [queue.get()]
    while len(batch) < MAX_BATCH and not queue.empty():
        batch.append(queue.get())
    return batch
