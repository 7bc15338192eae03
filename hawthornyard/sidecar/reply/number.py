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
            EndpointTokens: self._on_endpoint_tokens,
            EndpointEnded: self._on_endpoint_ended,
            EndpointReplied: self._on_endpoint_replied,
            EndpointFailed: self._on_endpoint_failed,
        }

    def _on_endpoint_tokens(self, msg: EndpointTokens) -> Iterator[Message]:
        attempt = self._find_running(msg.attempt_id)
        if attempt is None:
            return
        if attempt.first_token_at is None:
            attempt.first_token_at = self._clock.now()
        offset = len(attempt.texts)
        attempt.texts.extend(msg.texts)
        for peer in attempt.recipients:
            yield Tokens(msg.attempt_id, offset, msg.texts).with_peer(peer)

    def _on_endpoint_ended(self, msg: EndpointEnded) -> Iterator[Message]:
        attempt = self._find_running(msg.attempt_id)
        if attempt is None:
            return
        final_frame = Ended(
            msg.attempt_id, len(attempt.texts), msg.reason, msg.n_prompt_tokens
        )
        yield from self._finish(attempt, final_frame, None)

    def _on_endpoint_replied(self, msg: EndpointReplied) -> Iterator[Message]:
        attempt = self._find_running(msg.attempt_id)
        if attempt is None:
            return
        final_frame = Replied(msg.attempt_id, msg.status, msg.headers, msg.body)
        yield from self._finish(attempt, final_frame, None)

    def _on_endpoint_failed(self, msg: EndpointFailed) -> Iterator[Message]:
        attempt = self._find_running(msg.attempt_id)
        if attempt is None:
            return
        kind = _failure_kind(attempt, msg)
        final_frame: Frame = Failed(msg.attempt_id, kind.value, msg.detail)
        if not msg.may_have_run:
            final_frame = Refused(msg.attempt_id, kind.value, msg.detail)
            attempt.is_acknowledged = True
        yield from self._finish(attempt, final_frame, kind)

    def _find_running(self, attempt_id: str) -> Attempt | None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.final_frame is not None:
            return None
        return attempt

    def _finish(
        self, attempt: Attempt, final_frame: Frame, kind: ErrorKind | None
    ) -> Iterator[Message]:
        attempt.final_frame = final_frame
        attempt.ended_at = self._clock.now()
        for peer in attempt.recipients:
            yield final_frame.copy_to(peer)
        yield Finished(attempt, kind)


def _failure_kind(attempt: Attempt, msg: EndpointFailed) -> ErrorKind:
    if not msg.may_have_run:
        return ErrorKind.NO_ENDPOINT
    if not attempt.idempotent:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.GENERATION_LOST if attempt.texts else ErrorKind.ENDPOINT_FAILED
