"""Translate the rows of rollouts, and read and write them."""

import json

import eventlet

from ..core import Clock, Consumers, Inbox, Message
from ..edge.messages import (
    RolloutCallFailed,
    RolloutOrderRead,
    RolloutRead,
    RolloutReadRequested,
    RolloutWriteRequested,
    RolloutWritten,
)
from ..errors import PlatformError, RecordError
from ..rollout import Phase, RolloutOrder, RolloutState
from .fields import decode_object, get_number, get_text, shorten
from .names import ROLLOUT_KEY_PREFIX, ROLLOUT_TABLE, STATUS_TABLE
from .store import PlatformStore, RowPage, StoredRow

# Phases as operators know them.
_SHOWN = {
    Phase.TEST: "running",
    Phase.MOVE: "running",
    Phase.SUCCEEDED: "succeeded",
    Phase.ROLLED_BACK: "rolled_back",
}


def decode_order(row: StoredRow) -> RolloutOrderRead:
    """Return the order in a row; it has a detail if it can't be read."""
    if row.value is None:
        return RolloutOrderRead(row.key, None)
    try:
        body = decode_object(row.value)
        service = get_text(body, "service")
        named = row.key.removeprefix(ROLLOUT_KEY_PREFIX)
        if service != named:
            raise RecordError(
                f"field 'service' is {shorten(service)}, expected {named!r} as in the "
                "key of the row"
            )
        order = RolloutOrder(
            service, get_text(body, "to"), get_number(body, "duration_s"), row.version
        )
    except RecordError as exc:
        return RolloutOrderRead(row.key, None, exc.detail)
    return RolloutOrderRead(row.key, order)


def decode_state(data: bytes) -> RolloutState:
    """Return the state in the bytes of a row.

    Raises:
        RecordError: If the state is not valid.
    """
    body = decode_object(data)
    phase = get_text(body, "phase")
    if phase not in {item.value for item in Phase}:
        allowed = ", ".join(item.value for item in Phase)
        raise RecordError(f"phase is {shorten(phase)}, expected one of {allowed}")
    reason = body.get("reason")
    return RolloutState(
        get_text(body, "service"),
        get_text(body, "to"),
        int(get_number(body, "order_revision")),
        get_number(body, "duration_s"),
        get_number(body, "started_ms"),
        number=int(get_number(body, "number")),
        holder=get_text(body, "holder"),
        phase=Phase(phase),
        step=int(get_number(body, "step")),
        reason=reason if isinstance(reason, str) else "",
        until_ms=get_number(body, "until_ms"),
        refused_revision=int(get_number(body, "refused_revision", 0.0)),
    )


def encode_state(state: RolloutState) -> bytes:
    """Return the bytes of a row that holds a state."""
    body = {name: getattr(state, name) for name in state.fields()}
    return json.dumps({**body, "phase": state.phase.value}).encode()


def encode_status(state: RolloutState) -> bytes:
    """Return the bytes of the row that operators read."""
    return json.dumps({"state": _SHOWN[state.phase], "to": state.to}).encode()


def find_state(page: RowPage, service: str) -> tuple[RolloutState | None, int]:
    """Return the state of a service and the version of its row, 0 if there is none.

    A row that can't be read counts as no state, and may be written anew.
    """
    for row in page.rows:
        if row.key == ROLLOUT_KEY_PREFIX + service and row.value is not None:
            try:
                return decode_state(row.value), row.version
            except RecordError:
                return None, row.version
    return None, 0


class RolloutSink:
    """Sink that reads and writes states, each call in its own green thread.

    Args:
        store: The platform's store.
        inbox: Receives the result of each call.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_eras", "_inbox", "_store", "consumers")

    def __init__(self, store: PlatformStore, inbox: Inbox, clock: Clock) -> None:
        self._store = store
        self._inbox = inbox
        self._clock = clock
        # Era in which each row was read; a later one gives versions out again.
        self._eras: dict[str, int] = {}
        self.consumers: Consumers = {
            RolloutReadRequested: self._on_read_requested,
            RolloutWriteRequested: self._on_write_requested,
        }

    def _on_read_requested(self, msg: RolloutReadRequested) -> None:
        eventlet.spawn_n(self._read, msg.service)

    def _on_write_requested(self, msg: RolloutWriteRequested) -> None:
        eventlet.spawn_n(self._write, msg)

    def _read(self, service: str) -> None:
        asked_at = self._clock.now()
        try:
            page = self._store.read(ROLLOUT_TABLE)
        except PlatformError as exc:
            self._inbox.put(RolloutCallFailed(service, str(exc), is_write=False))
            return
        self._eras[service] = page.era
        state, version = find_state(page, service)
        self._inbox.put(RolloutRead(service, state, version, asked_at, page.now_ms))

    def _write(self, msg: RolloutWriteRequested) -> None:
        service = msg.state.service
        key = ROLLOUT_KEY_PREFIX + service
        # The own row comes last, so that its version is that of the response also
        # where a store numbers the rows of a transaction one by one.
        rows = [(ROLLOUT_TABLE, key, encode_state(msg.state))]
        if msg.is_published:
            rows.insert(0, (STATUS_TABLE, key, encode_status(msg.state)))
        try:
            version = self._store.write_if(
                (ROLLOUT_TABLE, key, msg.version), rows, self._eras.get(service, 0)
            )
        except PlatformError as exc:
            result: Message = RolloutCallFailed(service, str(exc), is_write=True)
        else:
            result = RolloutWritten(msg.state, version)
        self._inbox.put(result)
