"""Numbering and buffering of the endpoint's output."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...errors import ErrorKind
from ...frames import Ended, Failed, Frame, Refused, Replied, Tokens
from ..attempts import Attempts
from ..messages import (
    Attempt,
    EndpointEnded,
    EndpointFailed,
    EndpointReplied,
    EndpointTokens,
    Finished,
)


class NumberOutput:
    """Filter that buffers output and sends it to gateways with token offsets.

    Args:
        attempts: Registry of attempts.
        clock: Monotonic clock.
    """

    __slots__ = ("_attempts", "_clock", "handlers")

    def __init__(self, attempts: Attempts, clock: Clock) -> None:
        self._attempts = attempts
        self._clock = clock
        self.handlers: Handlers = {
            EndpointTokens: self._on_tokens,
            EndpointEnded: self._on_ended,
            EndpointReplied: self._on_replied,
            EndpointFailed: self._on_failed,
        }

    def _on_tokens(self, msg: EndpointTokens) -> Iterator[Message]:
        attempt = self._running(msg.attempt_id)
        if attempt is None:
            return
        if attempt.first_token_at is None:
            attempt.first_token_at = self._clock.now()
        offset = len(attempt.texts)
        attempt.texts.extend(msg.texts)
        for peer in attempt.recipients:
            yield Tokens(msg.attempt_id, offset, msg.texts).with_peer(peer)

    def _on_ended(self, msg: EndpointEnded) -> Iterator[Message]:
        attempt = self._running(msg.attempt_id)
        if attempt is None:
            return
        end = Ended(msg.attempt_id, len(attempt.texts), msg.reason, msg.n_prompt_tokens)
        yield from self._end(attempt, end, None)

    def _on_replied(self, msg: EndpointReplied) -> Iterator[Message]:
        attempt = self._running(msg.attempt_id)
        if attempt is None:
            return
        end = Replied(msg.attempt_id, msg.status, msg.headers, msg.body)
        yield from self._end(attempt, end, None)

    def _on_failed(self, msg: EndpointFailed) -> Iterator[Message]:
        attempt = self._running(msg.attempt_id)
        if attempt is None:
            return
        kind = _kind_of_failure(attempt, msg)
        end: Frame = Failed(msg.attempt_id, kind.value, msg.detail)
        if not msg.may_have_run:
            end = Refused(msg.attempt_id, kind.value, msg.detail)
            attempt.is_acknowledged = True
        yield from self._end(attempt, end, kind)

    def _running(self, attempt_id: str) -> Attempt | None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.final_frame is not None:
            return None
        return attempt

    def _end(
        self, attempt: Attempt, end: Frame, kind: ErrorKind | None
    ) -> Iterator[Message]:
        attempt.final_frame = end
        attempt.ended_at = self._clock.now()
        for peer in attempt.recipients:
            yield end.copy_to(peer)
        yield Finished(attempt, kind)


def _kind_of_failure(attempt: Attempt, msg: EndpointFailed) -> ErrorKind:
    if not msg.may_have_run:
        return ErrorKind.NO_ENDPOINT
    if not attempt.idempotent:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.GENERATION_LOST if attempt.texts else ErrorKind.ENDPOINT_FAILED
