"""Migrate streams from leaving endpoints to others."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ..eligibility import Eligibility
from ..endpoints import Endpoint, Endpoints
from ..inflight import InFlight
from ..messages import (
    AttemptBroke,
    AttemptEnded,
    Cancel,
    Closed,
    CopyAnswered,
    CopyDropped,
    CopyRequested,
    EndpointLeaving,
    EndpointRetired,
    Migration,
    Request,
)
from ..read_pace import ReadPace
from .candidates import CopyCandidates
from .departure import Departure
from .resumption import Resumption

# Copies made while the run continues; each leaves less to transfer for the final
# copy, which stops the run.
PRE_COPY_ROUNDS = 2
# Delay before a copy is retried for a run that had not begun; its prefill takes about
# 0.3 s.
NOT_BEGUN_RETRY_S = 0.1
# Delay before a copy that failed for another reason is retried.
FAILED_RETRY_S = 0.2
COPY_TIMEOUT_S = 3.0
# Longest time after an engine was seen to leave during which it may resume its own run;
# later it is likely to stop before the run ends.
SOURCE_RESUME_S = 1.0


class Migrate:
    """Filter that migrates the streams of a leaving endpoint.

    It copies the KV cache of a run to another engine and resumes the stream there.
    Runs with a mirror are not copied: `Resume` continues them at the mirror.
    Runs are copied one at a time, since all copies share the endpoint's link: a run
    that stopped for its final copy must not wait for the copies of others. The next
    run is chosen anew after each copy, because mirrors may be lost meanwhile.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        eligibility: Tells which endpoints may get new work.
        candidates: Chooses the runs to copy and their targets.
        pace: Tells how late a gateway may learn that an endpoint leaves.
        resumption: Starts the attempts that resume from copies.
        clock: Source of time.
    """

    __slots__ = (
        "_candidates",
        "_clock",
        "_departures",
        "_eligibility",
        "_endpoints",
        "_inflight",
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
        self._inflight = inflight
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._candidates = candidates
        self._pace = pace
        self._resumption = resumption
        self._clock = clock
        self._departures: dict[str, Departure] = {}
        self.handlers: Handlers = {
            EndpointLeaving: self._on_endpoint_leaving,
            EndpointRetired: self._on_endpoint_leaving,
            CopyAnswered: self._on_copy_answered,
            Closed: self._on_closed,
            Tick: self._on_tick,
        }

    def _on_endpoint_leaving(
        self, msg: EndpointLeaving | EndpointRetired
    ) -> Iterator[Message]:
        yield msg
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None:
            return
        endpoint.drop_mirrors()
        if self._candidates.can_migrate(endpoint):
            self._departures[endpoint.name] = Departure()
            yield from self._start_next_copy(endpoint)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        for name in list(self._departures):
            endpoint = self._endpoints.get(name)
            if endpoint is None or not self._eligibility.must_move(endpoint):
                del self._departures[name]
            else:
                yield from self._start_next_copy(endpoint)

    def _start_next_copy(self, endpoint: Endpoint) -> Iterator[Message]:
        departure = self._departures.get(endpoint.name)
        if departure is None or self._is_copying(departure):
            return
        departure.copying_attempt_id = ""
        copyable = filter(self._candidates.may_be_copied, endpoint.requests.values())
        due = departure.not_postponed(copyable, self._clock.now())
        for request in self._candidates.rank(due, endpoint):
            if request.attempt is None:
                continue
            target = self._candidates.target(request, endpoint)
            if target is not None:
                departure.copying_attempt_id = request.attempt.attempt_id
                request.migration = Migration(target.name)
                yield from self._request_copy(request, endpoint, target)
                return
            if departure.note_skipped(request.attempt.attempt_id):
                yield Decision(
                    "migration_skipped",
                    request_id=request.request_id,
                    reason="no engine has room",
                    endpoint=endpoint.name,
                )

    def _is_copying(self, departure: Departure) -> bool:
        request = self._inflight.by_attempt(departure.copying_attempt_id)
        return request is not None and request.migration is not None

    def _request_copy(
        self, request: Request, endpoint: Endpoint, target: Endpoint
    ) -> Iterator[Message]:
        if request.attempt is None or request.migration is None:
            return
        request.migration.is_final = request.migration.n_copies >= PRE_COPY_ROUNDS
        request.attempt.n_final_copies += request.migration.is_final
        yield CopyRequested(
            request.attempt.attempt_id,
            request.request_id,
            endpoint.entry.address,
            target.entry.address,
            source_name=endpoint.name,
            source_born=endpoint.entry.born,
            is_final=request.migration.is_final,
            timeout_s=COPY_TIMEOUT_S,
        )

    def _on_copy_answered(self, msg: CopyAnswered) -> Iterator[Message]:
        yield msg
        request = self._inflight.by_attempt(msg.copy_request.attempt_id)
        if request is None or request.attempt is None or request.migration is None:
            if msg.handle:
                yield CopyDropped(msg.copy_request.source, msg.handle)
            return
        endpoint = self._endpoints.get(request.attempt.endpoint)
        target = self._endpoints.get(request.migration.target)
        yield self._copy_decision(request, msg)
        if endpoint is None:
            return
        if msg.copy_request.is_final:
            yield from self._resume_after_final_copy(request, endpoint, target, msg)
        elif msg.is_done and target is not None:
            request.migration.n_copies += 1
            yield from self._request_copy(request, endpoint, target)
            return
        else:
            request.migration = None
            self._postpone(msg, endpoint)
        yield from self._start_next_copy(endpoint)

    def _postpone(self, msg: CopyAnswered, endpoint: Endpoint) -> None:
        departure = self._departures.get(endpoint.name)
        if departure is not None:
            delay_s = NOT_BEGUN_RETRY_S if msg.is_unknown else FAILED_RETRY_S
            departure.postpone(msg.copy_request.attempt_id, self._clock.now() + delay_s)

    def _resume_after_final_copy(
        self,
        request: Request,
        endpoint: Endpoint,
        target: Endpoint | None,
        msg: CopyAnswered,
    ) -> Iterator[Message]:
        attempt = request.attempt
        if attempt is None or request.migration is None:
            return
        if not msg.handle:
            # The run was not stopped: it continues, or its stream breaks and
            # `AttemptBroke` follows.
            has_stream_ended = request.migration.has_stream_ended
            request.migration = None
            self._postpone(msg, endpoint)
            if has_stream_ended and msg.is_unknown:
                yield AttemptEnded(attempt.attempt_id)
            elif has_stream_ended:
                yield AttemptBroke(attempt.attempt_id, "the stream ended unfinished")
            return
        resume_endpoint = self._choose_resume_endpoint(
            endpoint, target if msg.is_done else None
        )
        if resume_endpoint is None:
            # The engine is about to stop, and has closed the stream for the final copy.
            request.migration = None
            yield AttemptBroke(
                attempt.attempt_id,
                "the run stopped for its final copy and can't be resumed",
            )
            return
        yield Cancel(attempt.attempt_id)
        yield self._resumption.begin_attempt(
            request, resume_endpoint, msg.copy_request.source, msg.handle
        )

    def _choose_resume_endpoint(
        self, endpoint: Endpoint, target: Endpoint | None
    ) -> Endpoint | None:
        if target is not None and self._eligibility.may_resume_at(target):
            return target
        # Without a copy at the target, the run resumes at the engine that stopped it.
        if endpoint.leaving_since is None:
            return endpoint
        left_for_s = self._clock.now() - endpoint.leaving_since
        if left_for_s > SOURCE_RESUME_S or self._pace.send_time_left_s(left_for_s) < 0:
            return None
        return endpoint

    def _copy_decision(self, request: Request, msg: CopyAnswered) -> Decision:
        return Decision(
            "copied" if msg.is_done else "copy_failed",
            request_id=request.request_id,
            reason=msg.detail,
            endpoint=request.migration.target if request.migration else "",
            is_final=msg.copy_request.is_final,
            seconds=round(msg.seconds, 3),
            n_events=request.last_event,
        )

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        msg.request.migration = None
        yield msg
