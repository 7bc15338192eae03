"""Resume streams from their final copies, and judge the ends that come meanwhile."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ..eligibility import Eligibility
from ..endpoints import Endpoint, Endpoints
from ..inflight import InFlight
from ..messages import (
    Attempt,
    AttemptAnswered,
    AttemptBroke,
    AttemptEnd,
    AttemptEnded,
    Cancel,
    CopyAnswered,
    CopyRequested,
    Migration,
    Request,
)
from ..read_pace import ReadPace
from .resumption import Resumption

# Longest time after an engine was seen to leave during which it may resume its own run;
# later it is likely to stop before the run ends.
SOURCE_RESUME_S = 1.0
# Delay before a final copy is ordered for the third time or later. The second order
# goes out at once, as the caller may be waiting for the next event.
REPEAT_DELAY_S = 0.2
# Timeout of the orders after the first, which find most of the copy made.
REPEAT_TIMEOUT_S = 1.0
# Time after the end of a stream in which final copies may be ordered again. It covers
# the timeout of the first order.
MAX_HOLD_S = 3.5


class FinalCopies:
    """Filter that resumes streams from their final copies.

    An engine stops a run for its final copy and closes the stream. Until the engine's
    answer is known, the end of a stream proves nothing unless it was delimited. An
    order that got no answer is repeated, since the engine keeps the memory of a run
    that it has stopped. An end without length or chunks is passed on as a break once
    an order may have been carried out, unless the engine knows no such run.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        eligibility: Tells which endpoints may still receive streams.
        pace: Tells how late a gateway may learn that an endpoint leaves.
        resumption: Starts the attempts that resume from copies.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_eligibility",
        "_endpoints",
        "_inflight",
        "_migrating",
        "_pace",
        "_resumption",
        "handlers",
    )

    def __init__(
        self,
        inflight: InFlight,
        endpoints: Endpoints,
        eligibility: Eligibility,
        pace: ReadPace,
        resumption: Resumption,
        clock: Clock,
    ) -> None:
        self._inflight = inflight
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._pace = pace
        self._resumption = resumption
        self._clock = clock
        # Requests whose run stops for its final copy, by the identifier of the attempt.
        self._migrating: dict[str, Request] = {}
        self.handlers: Handlers = {
            CopyRequested: self._on_copy_requested,
            CopyAnswered: self._on_copy_answered,
            AttemptAnswered: self._on_attempt_end,
            AttemptBroke: self._on_attempt_broke,
            AttemptEnded: self._on_attempt_end,
            Tick: self._on_tick,
        }

    def _on_copy_requested(self, msg: CopyRequested) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if msg.is_final and request is not None:
            self._note_order(request, msg)
        yield msg

    def _note_order(self, request: Request, order: CopyRequested) -> None:
        if request.attempt is None or request.migration is None:
            return
        request.attempt.n_final_copies += 1
        request.migration.order = order
        request.migration.n_orders += 1
        request.migration.repeat_at = None
        self._migrating[order.attempt_id] = request

    def _on_copy_answered(self, msg: CopyAnswered) -> Iterator[Message]:
        yield msg
        request = self._inflight.by_attempt(msg.copy_request.attempt_id)
        if not msg.copy_request.is_final or request is None:
            return
        attempt, migration = request.attempt, request.migration
        if attempt is None or migration is None:
            return
        if msg.handle:
            yield from self._resume(request, attempt, msg)
        elif msg.is_inconclusive:
            if not msg.is_sent:
                attempt.n_final_copies -= 1
            delay_s = REPEAT_DELAY_S if migration.n_orders > 1 else 0.0
            migration.repeat_at = self._clock.now() + delay_s
            yield from self._advance(request, attempt, migration)
        else:
            has_finished = msg.is_unknown and attempt.n_final_copies == 1
            if has_finished:
                attempt.n_final_copies = 0
            elif not (msg.is_unknown or msg.is_engine_gone):
                # An engine that still has the run may go on with it.
                attempt.copy = None
            request.migration = None
            if migration.end is not None:
                yield migration.end if has_finished else _as_break(migration.end)

    def _resume(
        self, request: Request, attempt: Attempt, msg: CopyAnswered
    ) -> Iterator[Message]:
        endpoint = self._choose_resume_endpoint(request, attempt, msg)
        request.migration = None
        if endpoint is None:
            # The engine is about to stop, and has closed the stream for the final copy.
            attempt.copy = None
            yield AttemptBroke(
                attempt.attempt_id,
                "the run stopped for its final copy and can't be resumed",
                has_begun=True,
            )
            return
        yield Cancel(attempt.attempt_id)
        yield self._resumption.begin_attempt(
            request, endpoint, msg.copy_request.source, msg.handle
        )

    def _choose_resume_endpoint(
        self, request: Request, attempt: Attempt, msg: CopyAnswered
    ) -> Endpoint | None:
        if msg.is_done and request.migration is not None:
            target = self._endpoints.get(request.migration.target)
            if target is not None and self._eligibility.may_resume_at(target):
                return target
        # Without a copy at the target, the run resumes at the engine that stopped it.
        source = self._endpoints.get(attempt.endpoint)
        if source is None or source.leaving_since is None:
            return source
        left_for_s = self._clock.now() - source.leaving_since
        if left_for_s > SOURCE_RESUME_S or self._pace.send_time_left_s(left_for_s) < 0:
            return None
        return source

    def _on_attempt_end(self, msg: AttemptAnswered | AttemptEnded) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if msg.is_delimited or request is None or request.attempt is None:
            yield msg
            return
        yield _undelimited_end(request, request.attempt)
        if _awaits_answer(request):
            yield from self._hold(request, msg)
        elif request.attempt.n_final_copies:
            yield _as_break(msg)
        else:
            yield msg

    def _on_attempt_broke(self, msg: AttemptBroke) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is not None and _awaits_answer(request):
            yield from self._hold(request, msg)
        else:
            yield msg

    def _hold(self, request: Request, msg: AttemptEnd) -> Iterator[Message]:
        attempt, migration = request.attempt, request.migration
        if attempt is None or migration is None:
            return
        migration.end = msg
        migration.ended_at = self._clock.now()
        if migration.repeat_at is not None:
            migration.repeat_at = migration.ended_at
            yield from self._advance(request, attempt, migration)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        for attempt_id, request in list(self._migrating.items()):
            attempt, migration = request.attempt, request.migration
            if attempt is None or attempt.attempt_id != attempt_id or migration is None:
                del self._migrating[attempt_id]
            else:
                yield from self._advance(request, attempt, migration)

    def _advance(
        self, request: Request, attempt: Attempt, migration: Migration
    ) -> Iterator[Message]:
        """Order a final copy again if that is due, or give the stream up."""
        now = self._clock.now()
        if migration.order is None or migration.repeat_at is None:
            return
        if migration.end is not None and now - migration.ended_at >= MAX_HOLD_S:
            request.migration = None
            yield _as_break(migration.end)
            return
        if now < migration.repeat_at:
            return
        order = CopyRequested(
            attempt.attempt_id,
            request.request_id,
            migration.order.source,
            migration.order.target,
            source_name=migration.order.source_name,
            source_born=migration.order.source_born,
            is_final=True,
            timeout_s=REPEAT_TIMEOUT_S,
        )
        self._note_order(request, order)
        yield order


def _awaits_answer(request: Request) -> bool:
    return request.migration is not None and request.migration.is_final


def _as_break(end: AttemptEnd) -> AttemptBroke:
    if isinstance(end, AttemptBroke):
        return end
    return AttemptBroke(
        end.attempt_id,
        "the answer ended without its length after a final copy was ordered",
        has_begun=True,
    )


def _undelimited_end(request: Request, attempt: Attempt) -> Decision:
    return Decision(
        "undelimited_end",
        request_id=request.request_id,
        endpoint=attempt.endpoint,
        n_events=request.last_event,
        n_final_copies=attempt.n_final_copies,
        is_copying=request.migration is not None,
    )
