"""Encode generations in the shapes that client libraries know."""

import json
from collections.abc import Sequence
from typing import Any, Protocol

from ..frames import Generation
from ..gateway.messages import ReplyEnded, ReplyTokens
from .work import decode_chat, decode_completion

DONE_EVENT = b"data: [DONE]\n\n"
_MARK = "\x00"


class GenerationEncoder(Protocol):
    """Encode one generation in the shape that the caller asked for."""

    def whole(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of a whole answer."""
        ...

    def opening(self) -> bytes:
        """Return the events before the first token."""
        ...

    def tokens(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token.

        The id of an event names endpoint, attempt and the number of tokens
        that the caller has once it has read the event.
        """
        ...

    def last(self, end: ReplyEnded) -> bytes:
        """Return the event with the finish reason."""
        ...

    def usage(self, end: ReplyEnded) -> bytes:
        """Return the event with the usage."""
        ...


class GenerationShape(Protocol):
    """The published shape of one path."""

    def decode(self, body: dict[str, Any]) -> Generation:
        """Return the work that a body asks for."""
        ...

    def encoder(self, call_id: str, model: str, created: int) -> GenerationEncoder:
        """Return the encoder of one answer.

        Args:
            call_id: Identifier of the HTTP exchange.
            model: Model name.
            created: Unix seconds.
        """
        ...


class CompletionShape:
    """The shape of /v1/completions."""

    __slots__ = ()

    def decode(self, body: dict[str, Any]) -> Generation:
        """Return the work of a body; see `GenerationShape.decode`."""
        return decode_completion(body)

    def encoder(self, call_id: str, model: str, created: int) -> GenerationEncoder:
        """Return an encoder; see `GenerationShape.encoder`."""
        return CompletionEncoder(f"cmpl-{call_id}", model, created)


class ChatShape:
    """The shape of /v1/chat/completions."""

    __slots__ = ()

    def decode(self, body: dict[str, Any]) -> Generation:
        """Return the work of a body; see `GenerationShape.decode`."""
        return decode_chat(body)

    def encoder(self, call_id: str, model: str, created: int) -> GenerationEncoder:
        """Return an encoder; see `GenerationShape.encoder`."""
        return ChatEncoder(f"chatcmpl-{call_id}", model, created)


class CompletionEncoder:
    """Encode for /v1/completions; methods as in `GenerationEncoder`.

    Args:
        answer_id: Identifier of the answer.
        model: Model name.
        created: Unix seconds.
    """

    __slots__ = ("_head", "_template")

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self._head = {
            "id": answer_id,
            "object": "text_completion",
            "created": created,
            "model": model,
        }
        self._template = _TokenTemplate(self._body([_text_choice(_MARK, None)]))

    def whole(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of a whole answer."""
        body = self._body([_text_choice("".join(texts), end.reason)])
        return {**body, "usage": _usage(end)}

    def opening(self) -> bytes:
        """Return no event: completions open with their first token."""
        return b""

    def tokens(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token."""
        return self._template.events(reply)

    def last(self, end: ReplyEnded) -> bytes:
        """Return the event with the finish reason."""
        return encode_event(self._body([_text_choice("", end.reason)]))

    def usage(self, end: ReplyEnded) -> bytes:
        """Return the event with the usage."""
        return encode_event({**self._body([]), "usage": _usage(end)})

    def _body(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {**self._head, "choices": choices}


class ChatEncoder:
    """Encode for /v1/chat/completions; arguments as `CompletionEncoder`."""

    __slots__ = ("_head", "_template")

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self._head = {"id": answer_id, "created": created, "model": model}
        self._template = _TokenTemplate(self._chunk([_delta({"content": _MARK})]))

    def whole(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of a whole answer."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(texts)},
            "logprobs": None,
            "finish_reason": end.reason,
        }
        body = {**self._head, "object": "chat.completion", "choices": [choice]}
        return {**body, "usage": _usage(end)}

    def opening(self) -> bytes:
        """Return the event that carries the role."""
        delta = _delta({"role": "assistant", "content": ""})
        return encode_event(self._chunk([delta]))

    def tokens(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token."""
        return self._template.events(reply)

    def last(self, end: ReplyEnded) -> bytes:
        """Return the event with the finish reason."""
        return encode_event(self._chunk([_delta({}, end.reason)]))

    def usage(self, end: ReplyEnded) -> bytes:
        """Return the event with the usage."""
        return encode_event({**self._chunk([]), "usage": _usage(end)})

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {**self._head, "object": "chat.completion.chunk", "choices": choices}


class _TokenTemplate:
    """Encode token events around what is the same in all of them."""

    __slots__ = ("_after", "_before")

    def __init__(self, body: dict[str, Any]) -> None:
        # From the right: the caller chose the model name before the mark.
        before, _, after = json.dumps(body).rpartition(json.dumps(_MARK))
        self._before = f"\ndata: {before}"
        self._after = f"{after}\n\n"

    def events(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token."""
        stem = f"id: {reply.endpoint}:{reply.attempt_id}:"
        events = [
            f"{stem}{number}{self._before}{json.dumps(text)}{self._after}"
            for number, text in enumerate(reply.texts, start=reply.offset + 1)
        ]
        return "".join(events).encode()


def encode_event(body: dict[str, Any]) -> bytes:
    """Return one server-sent event without an id."""
    return f"data: {json.dumps(body)}\n\n".encode()


def _text_choice(text: str, reason: str | None) -> dict[str, Any]:
    return {"index": 0, "text": text, "logprobs": None, "finish_reason": reason}


def _delta(delta: dict[str, str], reason: str | None = None) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "logprobs": None, "finish_reason": reason}


def _usage(end: ReplyEnded) -> dict[str, int]:
    return {
        "prompt_tokens": end.n_prompt_tokens,
        "completion_tokens": end.n_tokens,
        "total_tokens": end.n_prompt_tokens + end.n_tokens,
    }
