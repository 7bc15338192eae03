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
    CopyDropped,
    CopyRequested,
    Migration,
    Request,
)
from ..read_pace import ReadPace
from .candidates import CopyCandidates
from .resumption import Resumption

# Longest time after an engine was seen to leave during which it may resume its own run;
# later it is likely to stop before the run ends.
SOURCE_RESUME_S = 1.0
# Delay before a final copy is ordered for the third time; it doubles each further time
# up to MAX_DOUBLINGS times. The second order goes out at once, as the caller may be
# waiting for the next event.
REPEAT_DELAY_S = 0.2
MAX_DOUBLINGS = 3
# Timeout of the orders after the first, which find most of the copy made.
REPEAT_TIMEOUT_S = 1.0
# Time after the end of a stream in which final copies may be ordered again. It covers
# the timeout of the first order.
MAX_HOLD_S = 3.5
# An engine stops a run at the deadline that it was given, by its own clock and in whole
# milliseconds.
DEADLINE_MARGIN_S = 0.02


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
        candidates: Chooses another target when one has left.
        pace: Tells how late a gateway may learn that an endpoint leaves.
        resumption: Starts the attempts that resume from copies.
        clock: Source of time.
    """

    __slots__ = (
        "_candidates",
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
        candidates: CopyCandidates,
        pace: ReadPace,
        resumption: Resumption,
        clock: Clock,
    ) -> None:
        self._candidates = candidates
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
            AttemptAnswered: self._on_attempt_answered,
            AttemptBroke: self._on_attempt_broke,
            AttemptEnded: self._on_attempt_ended,
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
        if msg.is_unknown or not msg.may_have_stopped:
            attempt.n_final_copies -= 1
        if msg.handle:
            yield from self._resume(request, attempt, msg)
        elif msg.is_inconclusive:
            migration.repeat_at = self._clock.now() + _repeat_delay_s(migration)
            yield from self._advance(request, attempt, migration)
        else:
            yield from self._settle(request, attempt, migration, msg)

    def _settle(
        self,
        request: Request,
        attempt: Attempt,
        migration: Migration,
        msg: CopyAnswered,
    ) -> Iterator[Message]:
        """Judge the end of a stream by an answer without a handle."""
        is_gone = _is_gone(attempt, msg.born)
        has_finished = msg.is_unknown and not is_gone and not attempt.n_final_copies
        if not has_finished:
            attempt.n_final_copies = max(1, attempt.n_final_copies)
        if not msg.is_unknown and not is_gone:
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
            # The engine is about to stop or wants no request, and has closed the stream
            # for the final copy.
            attempt.copy = None
            yield CopyDropped(msg.copy_request.source, msg.handle)
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
        if source is None or source.allowance.pause.is_in_force:
            return None
        if source.leaving_since is None:
            return source
        left_for_s = self._clock.now() - source.leaving_since
        if left_for_s > SOURCE_RESUME_S or self._pace.send_time_left_s(left_for_s) < 0:
            return None
        return source

    def _on_attempt_ended(self, msg: AttemptEnded) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if msg.is_delimited or request is None or request.attempt is None:
            yield msg
        elif self._clock.now() >= request.deadline - DEADLINE_MARGIN_S:
            # The engine stopped at the deadline, at which `Expire` fails the request.
            yield _undelimited_end(request, request.attempt)
        elif _is_gone(request.attempt, msg.born_after):
            yield _undelimited_end(request, request.attempt)
            broke = _as_break(msg, "the engine ended before its stream")
            yield from self._on_attempt_broke(broke)
        else:
            yield from self._judge_undelimited(request, request.attempt, msg)

    def _on_attempt_answered(self, msg: AttemptAnswered) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if msg.is_delimited or request is None or request.attempt is None:
            yield msg
        else:
            yield from self._judge_undelimited(request, request.attempt, msg)

    def _judge_undelimited(
        self, request: Request, attempt: Attempt, msg: AttemptAnswered | AttemptEnded
    ) -> Iterator[Message]:
        yield _undelimited_end(request, attempt)
        if _awaits_answer(request):
            yield from self._hold(request, msg)
        elif request.may_be_stopped:
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
            self._target_address(request, attempt, migration, migration.order),
            source_name=migration.order.source_name,
            source_born=migration.order.source_born,
            is_final=True,
            timeout_s=REPEAT_TIMEOUT_S,
        )
        self._note_order(request, order)
        yield order

    def _target_address(
        self,
        request: Request,
        attempt: Attempt,
        migration: Migration,
        order: CopyRequested,
    ) -> str:
        """Return where a repeated copy goes, to another engine if the target left."""
        target = self._endpoints.get(migration.target)
        source = self._endpoints.get(attempt.endpoint)
        if source is None or (
            target is not None and self._eligibility.may_resume_at(target)
        ):
            return order.target
        target = self._candidates.target(request, source)
        if target is None:
            return order.target
        migration.target = target.name
        return target.entry.address


def _awaits_answer(request: Request) -> bool:
    return request.migration is not None and request.migration.is_final


def _is_gone(attempt: Attempt, born: int | None) -> bool:
    """Return whether the incarnation that ran an attempt has ended.

    Args:
        attempt: The attempt.
        born: Incarnation that answers at its address, 0 if nothing listens there, None
            if that is not known.
    """
    if not born:
        return born == 0
    return bool(attempt.born) and born != attempt.born


def _repeat_delay_s(migration: Migration) -> float:
    if migration.n_orders == 1:
        return 0.0
    delay_s: float = REPEAT_DELAY_S * 2 ** min(migration.n_orders - 2, MAX_DOUBLINGS)
    return delay_s


def _as_break(
    end: AttemptEnd,
    detail: str = "the answer ended without its length after a final copy was ordered",
) -> AttemptBroke:
    if isinstance(end, AttemptBroke):
        return end
    return AttemptBroke(end.attempt_id, detail, has_begun=True)


def _undelimited_end(request: Request, attempt: Attempt) -> Decision:
    return Decision(
        "undelimited_end",
        request_id=request.request_id,
        endpoint=attempt.endpoint,
        n_events=request.last_event,
        n_final_copies=attempt.n_final_copies,
        is_copying=request.migration is not None,
    )
