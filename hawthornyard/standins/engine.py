"""Serve the model of an engine over HTTP, with server-sent events."""

import hashlib
import json
from collections.abc import Iterator
from typing import Any

import eventlet
from eventlet.queue import LightQueue

from .engine_model import EngineModel
from .engine_orders import EngineOrderRoutes, OrderModel
from .engine_sequence import Sequence
from .engine_stream import TokenStream
from .web import WebAnswer, WebApp, WebRequest

UNREAD_RETENTION_S = 30.0
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
_WORDS = ("the", "visitor", "signs", "in", "at", "desk", "and", "waits", "for", "badge")


class EngineStandIn:
    """A stand-in engine that generates text from a fixed list of words.

    Args:
        model: Decides which sequences advance in each step.
        orders: Receives orders; by default an `OrderModel` without loaded models.
        unread_retention_s: Seconds after a reader leaves until the generation is
            cancelled and deleted, unless another reader follows it by then.

    Attributes:
        orders: HTTP handlers of the orders.
        ran: Request id and attempt id of every generation that was started.
    """

    __slots__ = (
        "_bodies",
        "_streams",
        "_unread_retention_s",
        "_wakeup",
        "app",
        "model",
        "orders",
        "ran",
    )

    def __init__(
        self,
        model: EngineModel,
        orders: OrderModel | None = None,
        *,
        unread_retention_s: float = UNREAD_RETENTION_S,
    ) -> None:
        self.model = model
        self.orders = EngineOrderRoutes(orders or OrderModel())
        self._unread_retention_s = unread_retention_s
        self._streams: dict[str, TokenStream] = {}
        self._bodies: dict[str, dict[str, Any]] = {}
        self._wakeup = LightQueue()
        self.ran: list[tuple[str, str]] = []
        self.app = WebApp(
            {
                "POST /v1/generate": self._generate,
                "GET /v1/resume": self._resume,
                "POST /v1/cancel": self._cancel,
                "GET /v1/load": self._load,
                "GET /v1/cache/events": self._cache_events,
                "GET /ran": self._ran,
                **self.orders.routes,
            }
        )

    def run(self) -> None:
        """Step the model forever; wait for a new sequence while it is idle."""
        while True:
            if self.model.is_idle:
                self._wakeup.get()
                continue
            step = self.model.step()
            eventlet.sleep(step.duration_s)
            for sequence in step.advanced:
                self._advance(sequence)

    def _advance(self, sequence: Sequence) -> None:
        stream = self._streams.get(sequence.id)
        if stream is not None and not stream.is_over:
            stream.add(is_last=stream.n_done + 1 >= sequence.n_output)

    def _generate(self, req: WebRequest) -> WebAnswer:
        body = req.json()
        sequence = _decode_sequence(body)
        self.ran.append((body["request_id"], body["id"]))
        finish_reason = "length" if sequence.n_output == body["max_tokens"] else "stop"
        self._streams[sequence.id] = TokenStream(finish_reason)
        self._bodies[sequence.id] = body
        self.model.add(sequence)
        if self._wakeup.empty():
            self._wakeup.put(None)
        return self._answer_stream(sequence.id, 0)

    def _resume(self, req: WebRequest) -> WebAnswer:
        sequence_id = req.query.get("id", "")
        if sequence_id not in self._streams:
            return WebAnswer({"error": "unknown generation"}, status=404)
        return self._answer_stream(sequence_id, int(req.query.get("offset", "0")))

    def _answer_stream(self, sequence_id: str, offset: int) -> WebAnswer:
        events = self._events(sequence_id, offset)
        return WebAnswer(events, content_type="text/event-stream")

    def _events(self, sequence_id: str, offset: int) -> Iterator[bytes]:
        stream = self._streams[sequence_id]
        body = self._bodies[sequence_id]
        try:
            for index in stream.read(offset):
                yield _encode_event({"token": token_text(body, index)})
            if not stream.was_cancelled:
                n_prompt = n_prompt_tokens(body)
                yield _encode_event(
                    {"finish_reason": stream.finish_reason, "n_prompt_tokens": n_prompt}
                )
        finally:
            eventlet.spawn_after(
                self._unread_retention_s, self._discard_unread, sequence_id
            )

    def _discard_unread(self, sequence_id: str) -> None:
        stream = self._streams.get(sequence_id)
        if stream is None or stream.n_readers:
            return
        self.model.cancel(sequence_id)
        del self._streams[sequence_id]
        del self._bodies[sequence_id]

    def _cancel(self, req: WebRequest) -> WebAnswer:
        sequence_id = req.json()["id"]
        self.model.cancel(sequence_id)
        stream = self._streams.get(sequence_id)
        if stream is not None:
            stream.cancel()
        return WebAnswer({})

    def _load(self, req: WebRequest) -> WebAnswer:
        load = self.model.load()
        return WebAnswer(
            {
                "n_running": load.n_running,
                "n_waiting": load.n_waiting,
                "memory_used": load.memory_used,
                "n_preempted": load.n_preempted,
            }
        )

    def _cache_events(self, req: WebRequest) -> WebAnswer:
        after = int(req.query.get("after", "0"))
        events = [
            {"number": event.number, "prefix": event.prefix, "stored": event.is_stored}
            for event in self.model.events_after(after)
        ]
        return WebAnswer({"events": events})

    def _ran(self, req: WebRequest) -> WebAnswer:
        return WebAnswer({"ran": self.ran})


def output_length(body: dict[str, Any]) -> int:
    """Return the number of output tokens.

    It depends on the prompt and max_tokens alone, so that a repeated attempt has the
    same output.
    """
    digest = hashlib.sha256(body["prompt"].encode()).digest()
    length = 20 + int.from_bytes(digest[:2], "big") % 60
    return min(int(body["max_tokens"]), length)


def n_prompt_tokens(body: dict[str, Any]) -> int:
    """Return the number of prompt tokens."""
    return 1 + len(body["prompt"]) // CHARACTERS_PER_TOKEN


def token_text(body: dict[str, Any], index: int) -> str:
    """Return the token at an index; it depends on the prompt and the index alone."""
    digest = hashlib.sha256(f"{body['prompt']}/{index}".encode()).digest()
    return " " + _WORDS[digest[0] % len(_WORDS)]


def _decode_sequence(body: dict[str, Any]) -> Sequence:
    prompt: str = body["prompt"]
    prefix = prompt[:PREFIX_CHARACTERS]
    prefix_name = hashlib.sha256(prefix.encode()).hexdigest()[:16]
    return Sequence(
        body["id"],
        output_length(body),
        n_prompt=n_prompt_tokens(body),
        priority=int(body.get("priority", 0)),
        prefix=prefix_name,
        n_prefix=len(prefix) // CHARACTERS_PER_TOKEN,
    )


def _encode_event(body: dict[str, Any]) -> bytes:
    return f"data: {json.dumps(body)}\n\n".encode()
