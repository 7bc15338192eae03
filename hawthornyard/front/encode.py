"""Encode generations in the formats that OpenAI client libraries read."""

import json
from collections.abc import Sequence
from typing import Any, Protocol

from ..frames import Generation
from ..gateway.messages import ReplyEnded, ReplyTokens
from .work import decode_chat, decode_completion

DONE_EVENT = b"data: [DONE]\n\n"
_TOKEN_PLACEHOLDER = "\x00"


class GenerationEncoder(Protocol):
    """An encoder of one generation in the format of the path that was called."""

    def whole_body(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        ...

    def opening_event(self) -> bytes:
        """Return the event before the first token, empty if the format has none."""
        ...

    def token_events(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token.

        The id of an event is "endpoint:attempt:offset"; the offset counts the
        tokens up to and including this one. A caller that reconnects sends it as
        Last-Event-ID.
        """
        ...

    def finish_event(self, end: ReplyEnded) -> bytes:
        """Return the event with the finish reason."""
        ...

    def usage_event(self, end: ReplyEnded) -> bytes:
        """Return the event with the token usage."""
        ...


class GenerationFormat(Protocol):
    """The published format of the request and answer bodies of one path."""

    def decode(self, body: dict[str, Any]) -> Generation:
        """Return the generation that a request body asks for.

        Raises:
            RequestError: If a field is malformed or not supported.
        """
        ...

    def encoder(self, call_id: str, model: str, created: int) -> GenerationEncoder:
        """Return the encoder of one answer.

        Args:
            call_id: Identifier of the HTTP exchange.
            model: Model name.
            created: Unix seconds.
        """
        ...


class CompletionFormat:
    """The format of /v1/completions."""

    __slots__ = ()

    def decode(self, body: dict[str, Any]) -> Generation:
        """Return the generation; see `GenerationFormat.decode`."""
        return decode_completion(body)

    def encoder(self, call_id: str, model: str, created: int) -> GenerationEncoder:
        """Return an encoder; see `GenerationFormat.encoder`."""
        return CompletionEncoder(f"cmpl-{call_id}", model, created)


class ChatFormat:
    """The format of /v1/chat/completions."""

    __slots__ = ()

    def decode(self, body: dict[str, Any]) -> Generation:
        """Return the generation; see `GenerationFormat.decode`."""
        return decode_chat(body)

    def encoder(self, call_id: str, model: str, created: int) -> GenerationEncoder:
        """Return an encoder; see `GenerationFormat.encoder`."""
        return ChatEncoder(f"chatcmpl-{call_id}", model, created)


class CompletionEncoder:
    """The `GenerationEncoder` of /v1/completions.

    Args:
        answer_id: Identifier of the answer.
        model: Model name.
        created: Unix seconds.
    """

    __slots__ = ("_common_fields", "_template")

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self._common_fields = {
            "id": answer_id,
            "object": "text_completion",
            "created": created,
            "model": model,
        }
        self._template = _TokenEventTemplate(
            self._body([_text_choice(_TOKEN_PLACEHOLDER, None)])
        )

    def whole_body(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        body = self._body([_text_choice("".join(texts), end.reason)])
        return {**body, "usage": _usage(end)}

    def opening_event(self) -> bytes:
        """Return no event: a completion starts with its first token."""
        return b""

    def token_events(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token."""
        return self._template.events(reply)

    def finish_event(self, end: ReplyEnded) -> bytes:
        """Return the event with the finish reason."""
        return encode_event(self._body([_text_choice("", end.reason)]))

    def usage_event(self, end: ReplyEnded) -> bytes:
        """Return the event with the token usage."""
        return encode_event({**self._body([]), "usage": _usage(end)})

    def _body(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {**self._common_fields, "choices": choices}


class ChatEncoder:
    """The `GenerationEncoder` of /v1/chat/completions.

    Args:
        answer_id: Identifier of the answer.
        model: Model name.
        created: Unix seconds.
    """

    __slots__ = ("_common_fields", "_template")

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self._common_fields = {"id": answer_id, "created": created, "model": model}
        self._template = _TokenEventTemplate(
            self._chunk([_delta({"content": _TOKEN_PLACEHOLDER})])
        )

    def whole_body(self, texts: Sequence[str], end: ReplyEnded) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(texts)},
            "logprobs": None,
            "finish_reason": end.reason,
        }
        body = {**self._common_fields, "object": "chat.completion", "choices": [choice]}
        return {**body, "usage": _usage(end)}

    def opening_event(self) -> bytes:
        """Return the event that carries the role."""
        delta = _delta({"role": "assistant", "content": ""})
        return encode_event(self._chunk([delta]))

    def token_events(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token."""
        return self._template.events(reply)

    def finish_event(self, end: ReplyEnded) -> bytes:
        """Return the event with the finish reason."""
        return encode_event(self._chunk([_delta({}, end.reason)]))

    def usage_event(self, end: ReplyEnded) -> bytes:
        """Return the event with the token usage."""
        return encode_event({**self._chunk([]), "usage": _usage(end)})

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            **self._common_fields,
            "object": "chat.completion.chunk",
            "choices": choices,
        }


class _TokenEventTemplate:
    """The JSON of a token event, encoded once and split around the token's text."""

    __slots__ = ("_after_text", "_before_text")

    def __init__(self, body: dict[str, Any]) -> None:
        # The last match is the right one: the model name stands before it, and the
        # caller may have put the placeholder into that name.
        before, _, after = json.dumps(body).rpartition(json.dumps(_TOKEN_PLACEHOLDER))
        self._before_text = f"\ndata: {before}"
        self._after_text = f"{after}\n\n"

    def events(self, reply: ReplyTokens) -> bytes:
        """Return one event for each token."""
        id_prefix = f"id: {reply.endpoint}:{reply.attempt_id}:"
        events = [
            f"{id_prefix}{number}{self._before_text}{json.dumps(text)}{self._after_text}"
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
