"""Store claims of idempotency keys in the table service, in batches."""

import time
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.queue import LightQueue
from loguru import logger

from ..core import Consumers, Inbox
from ..errors import ConflictError, ErrorKind, PlatformError, RecordError
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
from .repeat import repeat

MAX_BATCH_CLAIMS = 64
SETTLE_RETRY_INTERVAL_S = 1.0
MAX_SETTLE_TRIES = 600
MAX_CLAIM_TRIES = 3


class ClaimTable:
    """Claims of idempotency keys as rows of the table service.

    If the reply to a write is lost, the row is read back and its claim ID
    compared, which tells whether the write took effect.

    Args:
        table: The platform's table service.
        wall_clock: Returns Unix seconds.
    """

    __slots__ = ("_table", "_wall_clock")

    def __init__(self, table: TableStore, wall_clock: Callable[[], float]) -> None:
        self._table = table
        self._wall_clock = wall_clock

    def claim(self, batch: list[ClaimRequested]) -> list[ClaimAnswered]:
        """Claim the keys of a batch.

        One transaction claims all keys. If that fails, or a key is repeated, each key
        has a transaction of its own.
        """
        if self._try_claim_all(batch):
            return [ClaimAnswered(msg.call_id, None) for msg in batch]
        return [self._claim_one(msg) for msg in batch]

    def settle(self, msg: ClaimSettled) -> None:
        """Record the outcome of a claimed request.

        Writes nothing if the row is settled, belongs to another claim, or is absent
        and the request may have run.

        Raises:
            ConflictError: If the row changed between the read and the write.
            PlatformError: If there was no answer; the write may have taken effect.
        """
        row = self._table.read(msg.row_key)
        if not may_settle(msg, _decode_row(row)):
            return
        revision = row.revision if row else 0
        put = Put(msg.row_key, encode_claim(settled_row(msg)))
        self._table.transact([Condition(msg.row_key, revision)], [put])

    def _try_claim_all(self, batch: list[ClaimRequested]) -> bool:
        if len({msg.row_key for msg in batch}) < len(batch):
            return False
        conditions = [Condition(msg.row_key, 0) for msg in batch]
        try:
            self._table.transact(conditions, [self._build_put(msg) for msg in batch])
        except (ConflictError, PlatformError):
            return False
        return True

    def _claim_one(self, msg: ClaimRequested) -> ClaimAnswered:
        for _ in range(MAX_CLAIM_TRIES):
            try:
                return self._claim_or_answer(msg)
            except ConflictError:
                continue
            except (PlatformError, RecordError) as exc:
                logger.bind(row=msg.row_key, detail=str(exc)).warning("claim_failed")
                return ClaimAnswered(msg.call_id, ErrorKind.PLATFORM_UNAVAILABLE)
        return ClaimAnswered(msg.call_id, ErrorKind.KEY_IN_PROGRESS)

    def _claim_or_answer(self, msg: ClaimRequested) -> ClaimAnswered:
        row = self._table.read(msg.row_key)
        claim = _decode_row(row)
        if claim is None or may_claim(claim):
            return self._write_claim(msg, row)
        return answer_claim(msg, claim, self._wall_clock())

    def _write_claim(self, msg: ClaimRequested, row: Row | None) -> ClaimAnswered:
        condition = Condition(msg.row_key, row.revision if row else 0)
        try:
            self._table.transact([condition], [self._build_put(msg)])
        except PlatformError:
            written = _decode_row(self._table.read(msg.row_key))
            if written is None or written.claim_id != msg.claim_id:
                raise
        return ClaimAnswered(msg.call_id, None)

    def _build_put(self, msg: ClaimRequested) -> Put:
        row = claimed_row(msg, self._wall_clock())
        return Put(msg.row_key, encode_claim(row))


class ClaimWriter:
    """Sink that writes claims and their outcomes in green threads.

    Claims are written in batches. Outcomes are written concurrently; a failed
    write is retried every `SETTLE_RETRY_INTERVAL_S`, and the outcome given up after
    `MAX_SETTLE_TRIES` tries.

    Args:
        table: The platform's table service.
        inbox: Receives `ClaimAnswered`.
    """

    __slots__ = (
        "_claim_queue",
        "_inbox",
        "_n_settling",
        "_settle_queue",
        "_table",
        "consumers",
    )

    def __init__(self, table: TableStore, inbox: Inbox) -> None:
        self._table = ClaimTable(table, time.time)
        self._inbox = inbox
        self._claim_queue = LightQueue()
        self._settle_queue = LightQueue()
        self._n_settling = 0
        self.consumers: Consumers = {
            ClaimRequested: self._claim_queue.put,
            ClaimSettled: self._on_claim_settled,
        }

    def start(self) -> None:
        """Start the green threads that write."""
        eventlet.spawn_n(self._run_claims)
        eventlet.spawn_n(self._run_settles)

    def _run_claims(self) -> None:
        repeat(self._claim_next, "claims")

    def _claim_next(self) -> None:
        for answer in self._table.claim(_next_batch(self._claim_queue)):
            self._inbox.put(answer)

    def _run_settles(self) -> None:
        while True:
            eventlet.spawn_n(self._settle, self._settle_queue.get())

    def _on_claim_settled(self, msg: ClaimSettled) -> None:
        self._n_settling += 1
        self._settle_queue.put(msg)

    def _settle(self, msg: ClaimSettled) -> None:
        try:
            for _ in range(MAX_SETTLE_TRIES):
                if self._try_settle(msg):
                    return
                eventlet.sleep(SETTLE_RETRY_INTERVAL_S)
        finally:
            self._n_settling -= 1

    def _try_settle(self, msg: ClaimSettled) -> bool:
        try:
            self._table.settle(msg)
        except ConflictError:
            return False
        except (PlatformError, RecordError) as exc:
            logger.bind(row=msg.row_key, detail=str(exc)).warning("settle_failed")
            return False
        return True


def _decode_row(row: Row | None) -> ClaimRow | None:
    return decode_claim(row.value) if row is not None else None


def _next_batch(queue: Any) -> list[ClaimRequested]:
    batch = [queue.get()]
    while len(batch) < MAX_BATCH_CLAIMS and not queue.empty():
        batch.append(queue.get())
    return batch
