"""Keep claims of idempotency keys in the table service, in batches."""

import base64
import json
from typing import Any

import eventlet
from eventlet.queue import LightQueue
from loguru import logger

from ..core import Consumers, Inbox
from ..errors import ConflictError, ErrorKind, PlatformError
from ..gateway.messages import ClaimAnswered, ClaimAsked, ClaimSettled, ReplyWhole
from ..platform import Condition, Put, Row, TableStore

MAX_BATCH = 64
SETTLE_RETRY_S = 1.0
MAX_SETTLE_TRIES = 600

_CLAIMED = "claimed"
_DONE = "done"
_NOT_RUN = "not_run"


class ClaimWriter:
    """Write claims and their outcomes.

    A claim row goes from absent to claimed to done. A lost reply is
    resolved by reading the row and comparing the claim's identifier. A
    claimed row is never taken over, however old it is.

    Args:
        table: The platform's table service.
        inbox: Where `ClaimAnswered` goes.
    """

    __slots__ = ("_asked", "_inbox", "_settled", "_table", "consumers")

    def __init__(self, table: TableStore, inbox: Inbox) -> None:
        self._table = table
        self._inbox = inbox
        self._asked = LightQueue()
        self._settled = LightQueue()
        self.consumers: Consumers = {
            ClaimAsked: self._asked.put,
            ClaimSettled: self._settled.put,
        }

    def start(self) -> None:
        """Start the green threads that write."""
        eventlet.spawn_n(self._run_asked)
        eventlet.spawn_n(self._run_settled)

    def _run_asked(self) -> None:
        while True:
            self._claim_batch(_take_batch(self._asked))

    def _run_settled(self) -> None:
        while True:
            eventlet.spawn_n(self._settle, self._settled.get())

    def _claim_batch(self, batch: list[ClaimAsked]) -> None:
        conditions = [Condition(item.row_key, 0) for item in batch]
        puts = [Put(item.row_key, _row(_CLAIMED, item)) for item in batch]
        if len({item.row_key for item in batch}) == len(batch):
            try:
                self._table.transact(conditions, puts)
            except (ConflictError, PlatformError):
                pass
            else:
                for item in batch:
                    self._inbox.put(ClaimAnswered(item.call_id, None))
                return
        for item in batch:
            self._inbox.put(self._claim_one(item))

    def _claim_one(self, item: ClaimAsked) -> ClaimAnswered:
        try:
            row = self._table.read(item.row_key)
            if row is None or _state(row)["state"] == _NOT_RUN:
                return self._take(item, row)
            return _answer(item, row)
        except ConflictError:
            return ClaimAnswered(item.call_id, ErrorKind.KEY_IN_PROGRESS)
        except PlatformError:
            self._settled.put(
                ClaimSettled(item.row_key, item.claim_id, item.digest, True, None)
            )
            return ClaimAnswered(item.call_id, ErrorKind.PLATFORM_UNAVAILABLE)

    def _take(self, item: ClaimAsked, row: Row | None) -> ClaimAnswered:
        condition = Condition(item.row_key, row.revision if row else 0)
        put = Put(item.row_key, _row(_CLAIMED, item))
        try:
            self._table.transact([condition], [put])
        except PlatformError:
            written = self._table.read(item.row_key)
            if written is None or _state(written)["claim_id"] != item.claim_id:
                raise
        return ClaimAnswered(item.call_id, None)

    def _settle(self, item: ClaimSettled) -> None:
        for _ in range(MAX_SETTLE_TRIES):
            try:
                self._settle_once(item)
                return
            except ConflictError:
                continue
            except PlatformError as exc:
                logger.bind(detail=str(exc)).warning("settle_failed")
                eventlet.sleep(SETTLE_RETRY_S)

    def _settle_once(self, item: ClaimSettled) -> None:
        row = self._table.read(item.row_key)
        if row is None or _state(row)["claim_id"] != item.claim_id:
            return
        state = _NOT_RUN if item.not_run else _DONE
        put = Put(item.row_key, _row(state, item, item.outcome))
        self._table.transact([Condition(item.row_key, row.revision)], [put])


def _take_batch(queue: Any) -> list[ClaimAsked]:
    batch = [queue.get()]
    while len(batch) < MAX_BATCH and not queue.empty():
        batch.append(queue.get())
    return batch


def _row(
    state: str, item: ClaimAsked | ClaimSettled, outcome: ReplyWhole | None = None
) -> str:
    value: dict[str, Any] = {
        "state": state,
        "claim_id": item.claim_id,
        "digest": item.digest,
    }
    if outcome is not None:
        value["status"] = outcome.status
        value["headers"] = [list(pair) for pair in outcome.headers]
        value["body"] = base64.b64encode(outcome.body).decode()
    return json.dumps(value)


def _state(row: Row) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(row.value)
    return value


def _answer(item: ClaimAsked, row: Row) -> ClaimAnswered:
    value = _state(row)
    if value["claim_id"] == item.claim_id:
        return ClaimAnswered(item.call_id, None)
    if value["digest"] != item.digest:
        return ClaimAnswered(item.call_id, ErrorKind.KEY_REUSED)
    if value["state"] == _CLAIMED:
        return ClaimAnswered(item.call_id, ErrorKind.KEY_IN_PROGRESS)
    if "status" not in value:
        return ClaimAnswered(item.call_id, ErrorKind.OUTCOME_UNKNOWN)
    body = base64.b64decode(value["body"])
    outcome = ReplyWhole(item.call_id, value["status"], value["headers"], body)
    return ClaimAnswered(item.call_id, None, outcome)
