"""Serve the engine model over HTTP with server-sent events."""

import hashlib
import json
from collections.abc import Iterator
from typing import Any

import eventlet
from eventlet.queue import LightQueue

from .engine_model import EngineModel, Sequence
from .engine_orders import EngineOrderRoutes, OrderModel
from .web import WebAnswer, WebApp, WebRequest

_WORDS = ("the", "visitor", "signs", "in", "at", "desk", "and", "waits", "for", "badge")


class EngineStandIn:
    """Stand in for a model engine.

    Args:
        model: Decides which sequences advance.
        orders: Takes orders; an engine without models by default.

    Attributes:
        orders: Routes of the orders.
        ran: Request id and attempt id of every generation that was begun.
    """

    __slots__ = ("_model", "_queues", "app", "orders", "ran")

    def __init__(self, model: EngineModel, orders: OrderModel | None = None) -> None:
        self.orders = EngineOrderRoutes(orders or OrderModel())
        self._model = model
        self._queues: dict[str, LightQueue] = {}
        self.ran: list[tuple[str, str]] = []
        self.app = WebApp(
            {
                "POST /v1/generate": self._generate,
                "POST /v1/cancel": self._cancel,
                "GET /ran": self._ran,
                **self.orders.routes,
            }
        )

    def run(self) -> None:
        """Step the model for ever."""
        while True:
            eventlet.sleep(self._model.step_s)
            for sequence in self._model.step():
                queue = self._queues.get(sequence.id)
                if queue is not None:
                    queue.put(sequence.n_done)

    def _generate(self, req: WebRequest) -> WebAnswer:
        body = req.json()
        sequence = Sequence(body["id"], output_length(body))
        self.ran.append((body["request_id"], body["id"]))
        self._queues[sequence.id] = LightQueue()
        self._model.add(sequence)
        reason = "length" if sequence.n_output == body["max_tokens"] else "stop"
        events = self._events(sequence, body, reason)
        return WebAnswer(events, content_type="text/event-stream")

    def _events(
        self, sequence: Sequence, body: dict[str, Any], reason: str
    ) -> Iterator[bytes]:
        queue = self._queues[sequence.id]
        try:
            for _ in range(sequence.n_output):
                n_done = queue.get()
                if n_done is None:
                    return
                yield _event({"token": token_text(body, n_done - 1)})
            yield _event({"finish_reason": reason})
        finally:
            self._queues.pop(sequence.id, None)
            self._model.cancel(sequence.id)

    def _cancel(self, req: WebRequest) -> WebAnswer:
        sequence_id = req.json()["id"]
        self._model.cancel(sequence_id)
        queue = self._queues.get(sequence_id)
        if queue is not None:
            queue.put(None)
        return WebAnswer({})

    def _ran(self, req: WebRequest) -> WebAnswer:
        return WebAnswer({"ran": self.ran})


def output_length(body: dict[str, Any]) -> int:
    """Return the length of the output, a function of the prompt alone."""
    digest = hashlib.sha256(body["prompt"].encode()).digest()
    length = 20 + int.from_bytes(digest[:2], "big") % 60
    return min(int(body["max_tokens"]), length)


def token_text(body: dict[str, Any], index: int) -> str:
    """Return the token at an index, a function of attempt and index alone."""
    digest = hashlib.sha256(f"{body['prompt']}/{index}".encode()).digest()
    return " " + _WORDS[digest[0] % len(_WORDS)]


def _event(body: dict[str, Any]) -> bytes:
    return f"data: {json.dumps(body)}\n\n".encode()
