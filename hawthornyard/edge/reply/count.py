"""Count the responses of both versions of a service that is rolled out."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ..inflight import InFlight
from ..messages import (
    AttemptAnswered,
    AttemptBroke,
    AttemptEnded,
    AttemptEvents,
    Request,
)
from ..rollouts import Rollouts
from .relay import SERVER_ERROR_STATUS

# Events of a stream whose pace is compared; the first is compared on its own.
N_PACED_EVENTS = 10


class CountResponses:
    """Filter that listens to responses; it passes on all that it sees.

    Args:
        rollouts: Rollouts that operators ordered.
        inflight: Requests that are not answered yet.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_inflight", "_rollouts", "handlers")

    def __init__(self, rollouts: Rollouts, inflight: InFlight, clock: Clock) -> None:
        self._rollouts = rollouts
        self._inflight = inflight
        self._clock = clock
        self.handlers: Handlers = {
            AttemptAnswered: self._on_attempt_answered,
            AttemptEvents: self._on_attempt_events,
            AttemptEnded: self._on_attempt_ended,
            AttemptBroke: self._on_attempt_broke,
        }

    def _on_attempt_answered(self, msg: AttemptAnswered) -> Iterator[Message]:
        request = self._counted(msg.attempt_id)
        if request is not None and request.attempt is not None:
            is_bad = msg.status >= SERVER_ERROR_STATUS or request.has_begun
            self._rollouts.note_response(request, is_bad=is_bad)
            if not is_bad:
                seconds = self._clock.now() - request.attempt.sent_at
                self._rollouts.note_time(request, seconds)
        yield msg

    def _on_attempt_events(self, msg: AttemptEvents) -> Iterator[Message]:
        request = self._counted(msg.attempt_id)
        if request is not None and request.attempt is not None and msg.events:
            attempt = request.attempt
            now = self._clock.now()
            last = msg.events[-1].number
            if attempt.is_resumed:
                pass
            elif attempt.first_event_at is None:
                # Long streams end after the rollout: they count as they begin.
                self._rollouts.note_response(request, is_bad=False)
                self._rollouts.note_time(request, now - attempt.sent_at)
            elif request.last_event < N_PACED_EVENTS <= last:
                seconds = now - attempt.first_event_at
                self._rollouts.note_time(request, seconds, is_pace=True)
        yield msg

    def _on_attempt_ended(self, msg: AttemptEnded) -> Iterator[Message]:
        request = self._counted(msg.attempt_id)
        if request is not None and request.attempt is not None:
            if request.attempt.first_event_at is None:
                self._rollouts.note_response(request, is_bad=False)
        yield msg

    def _on_attempt_broke(self, msg: AttemptBroke) -> Iterator[Message]:
        request = self._counted(msg.attempt_id)
        if request is not None:
            self._rollouts.note_break(request)
        yield msg

    def _counted(self, attempt_id: str) -> Request | None:
        request = self._inflight.by_attempt(attempt_id)
        if request is None or not self._rollouts.is_counted(request.service):
            return None
        return request
