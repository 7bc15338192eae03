"""Send orders to the sidecar's endpoint and read its state."""

import json
from collections.abc import Callable
from typing import Any, Protocol

import eventlet
import urllib3
from eventlet.queue import LightQueue

from ..core import Consumers, Inbox, Message
from ..errors import EndpointError
from ..frames import PlanEntry
from ..net import new_pool, read_body
from ..sidecar.orders import (
    EndpointState,
    Order,
    OrderAnswered,
    QueryState,
    SendOrder,
    StateAnswered,
)
from .repeat import repeat

CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 4.0
_NOT_FOUND = 404
_CONFLICT = 409


class OrderClient(Protocol):
    """Client of the order protocol of one kind of endpoint."""

    def read_state(self) -> EndpointState | None:
        """Return the endpoint's state, None if it does not support orders.

        Raises:
            EndpointError: If it did not answer, answered with an unexpected status or
                sent a malformed state.
        """
        ...

    def send_order(self, order: Order) -> bool:
        """Send an order once, without retries, and return whether it was accepted.

        Raises:
            EndpointError: If it did not answer or answered with an unexpected status;
                the order may have taken effect.
        """
        ...


class NullOrderClient:
    """Client for an endpoint that does not support orders, such as a plain service."""

    __slots__ = ()

    def read_state(self) -> EndpointState | None:
        """Return None; see `OrderClient.read_state`."""
        return None

    def send_order(self, order: Order) -> bool:
        """Return False; see `OrderClient.send_order`."""
        return False


class EngineOrderClient:
    """Client that sends orders to a model engine over HTTP.

    Args:
        url: Base URL of the engine.
    """

    __slots__ = ("_pool", "_timeout", "_url")

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = new_pool()
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ORDER_TIMEOUT_S)

    def read_state(self) -> EndpointState | None:
        """Return the engine's state; see `OrderClient.read_state`."""
        resp = self._request("GET", "/v1/state")
        if resp.status == _NOT_FOUND:
            return None
        if resp.status != 200:
            raise EndpointError(f"the engine answered with status {resp.status}")
        try:
            return _parse_state(json.loads(resp.body))
        except (ValueError, KeyError, TypeError) as exc:
            raise EndpointError(f"the engine's state is malformed: {exc!r}") from exc

    def send_order(self, order: Order) -> bool:
        """Send an order once; see `OrderClient.send_order`."""
        entry = order.entry
        body = {
            "fencing": order.fencing_number,
            "role": entry.role,
            "models": entry.models,
            "versions": entry.versions,
            "adapters": entry.adapters,
        }
        resp = self._request("POST", "/v1/orders", body=json.dumps(body).encode())
        if resp.status not in (200, _CONFLICT):
            raise EndpointError(f"the engine answered with status {resp.status}")
        return bool(resp.status == 200)

    def _request(
        self, method: str, path: str, *, body: bytes | None = None
    ) -> "_Answer":
        try:
            resp = self._pool.request(
                method,
                self._url + path,
                body=body,
                timeout=self._timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            return _Answer(resp.status, read_body(resp))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise EndpointError(str(exc)) from exc


class _Answer:
    """The whole answer of an engine."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class OrderSink:
    """Sink that sends state requests and orders to the endpoint, one at a time.

    Args:
        client: Client of the endpoint.
        inbox: Receives `StateAnswered` and `OrderAnswered`.
    """

    __slots__ = ("_client", "_inbox", "_queue", "consumers")

    def __init__(self, client: OrderClient, inbox: Inbox) -> None:
        self._client = client
        self._inbox = inbox
        self._queue = LightQueue()
        self.consumers: Consumers = {
            QueryState: lambda _: self._queue.put(self._read_state),
            SendOrder: lambda msg: self._queue.put(lambda: self._send_order(msg.order)),
        }

    def start(self) -> None:
        """Start the green thread that calls the endpoint."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        repeat(self._run_next, "orders")

    def _run_next(self) -> None:
        call: Callable[[], Message] = self._queue.get()
        self._inbox.put(call())

    def _read_state(self) -> Message:
        try:
            state = self._client.read_state()
        except EndpointError:
            return StateAnswered(None)
        return StateAnswered(state, state is not None)

    def _send_order(self, order: Order) -> Message:
        try:
            return OrderAnswered(order, self._client.send_order(order))
        except EndpointError:
            return OrderAnswered(order, None)


def _parse_state(body: dict[str, Any]) -> EndpointState:
    target = body.get("target")
    return EndpointState(
        int(body["fencing"]),
        str(body["role"]),
        body["models"],
        body["versions"],
        body["adapters"],
        _parse_entry(target) if target else None,
    )


def _parse_entry(body: dict[str, Any]) -> PlanEntry:
    return PlanEntry(body["role"], body["models"], body["versions"], body["adapters"])
