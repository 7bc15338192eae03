"""Encode replies as HTTP answers."""

import json
from collections.abc import Sequence
from typing import Any, Protocol

from ..errors import ANSWERS, ErrorKind
from ..gateway.messages import ReplyEnded, ReplyFailed, ReplyTokens

Headers = list[tuple[str, str]]

JSON_TYPE = ("Content-Type", "application/json")
EVENT_STREAM_TYPE = ("Content-Type", "text/event-stream")
DONE_EVENT = b"data: [DONE]\n\n"


class GenerationEncoder(Protocol):
    """Encode one generation in the shape that the caller asked for."""

    def whole(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of a whole answer."""
        ...

    def chunk(self, text: str) -> dict[str, Any]:
        """Return the body of one event."""
        ...

    def last(self, end: ReplyEnded) -> dict[str, Any]:
        """Return the body of the final event."""
        ...


class CompletionEncoder:
    """Encode for /v1/completions.

    Args:
        answer_id: Identifier of the answer.
        model: Model name.
        created: Unix seconds.
    """

    __slots__ = ("_answer_id", "_created", "_model")

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self._answer_id = answer_id
        self._model = model
        self._created = created

    def whole(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {"index": 0, "text": "".join(texts), "finish_reason": end.reason}
        return {**self._body(choice), "usage": _usage(end)}

    def chunk(self, text: str) -> dict[str, Any]:
        """Return the body of one event."""
        return self._body({"index": 0, "text": text, "finish_reason": None})

    def last(self, end: ReplyEnded) -> dict[str, Any]:
        """Return the body of the final event."""
        return self._body({"index": 0, "text": "", "finish_reason": end.reason})

    def _body(self, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._answer_id,
            "object": "text_completion",
            "created": self._created,
            "model": self._model,
            "choices": [choice],
        }


class ChatEncoder:
    """Encode for /v1/chat/completions; arguments as `CompletionEncoder`."""

    __slots__ = ("_answer_id", "_created", "_model")

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self._answer_id = answer_id
        self._model = model
        self._created = created

    def whole(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(texts)},
            "finish_reason": end.reason,
        }
        return {**self._body("chat.completion", choice), "usage": _usage(end)}

    def chunk(self, text: str) -> dict[str, Any]:
        """Return the body of one event."""
        delta = {"role": "assistant", "content": text}
        return self._chunk({"index": 0, "delta": delta, "finish_reason": None})

    def last(self, end: ReplyEnded) -> dict[str, Any]:
        """Return the body of the final event."""
        return self._chunk({"index": 0, "delta": {}, "finish_reason": end.reason})

    def _chunk(self, choice: dict[str, Any]) -> dict[str, Any]:
        return self._body("chat.completion.chunk", choice)

    def _body(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._answer_id,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "choices": [choice],
        }


def encode_tokens(reply: ReplyTokens, encoder: GenerationEncoder) -> bytes:
    """Return one server-sent event for each token.

    The id of an event names endpoint, attempt and the number of tokens that
    the caller has once it has read the event.
    """
    events = []
    for index, text in enumerate(reply.texts, start=1):
        event_id = f"{reply.endpoint}:{reply.attempt_id}:{reply.offset + index}"
        events.append(encode_event(encoder.chunk(text), event_id=event_id))
    return b"".join(events)


def encode_event(body: dict[str, Any], *, event_id: str = "") -> bytes:
    """Return one server-sent event."""
    head = f"id: {event_id}\n" if event_id else ""
    return f"{head}data: {json.dumps(body)}\n\n".encode()


def encode_error(reply: ReplyFailed, request_id: str) -> dict[str, Any]:
    """Return the body of an error."""
    answer = ANSWERS[reply.kind]
    return {
        "error": {
            "type": reply.kind.value,
            "code": reply.kind.value,
            "message": answer.meaning,
            "detail": reply.detail,
            "ran": answer.ran.value,
            "retryable": answer.retryable,
            "n_delivered": reply.n_delivered,
            "request_id": request_id,
        }
    }


def error_headers(kind: ErrorKind) -> Headers:
    """Return the headers that tell machines what an error means."""
    answer = ANSWERS[kind]
    headers = [("X-Error-Kind", kind.value), ("X-Request-Ran", answer.ran.value)]
    headers.append(("X-Should-Retry", "true" if answer.retryable else "false"))
    if answer.retry_after_s:
        headers.append(("Retry-After", str(answer.retry_after_s)))
    return headers


def _usage(end: ReplyEnded) -> dict[str, int]:
    return {
        "prompt_tokens": 0,
        "completion_tokens": end.n_tokens,
        "total_tokens": end.n_tokens,
    }
