"""Migrate streams from leaving endpoints to others."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ..eligibility import Eligibility
from ..endpoints import Endpoint, Endpoints
from ..inflight import InFlight
from ..messages import (
    Closed,
    CopyAnswered,
    CopyDropped,
    CopyRequested,
    EndpointLeaving,
    EndpointRetired,
    Migration,
    Request,
    RunCopy,
)
from .candidates import CopyCandidates
from .departure import Departure

# Copies made while the run continues; each leaves less to transfer for the final
# copy, which stops the run.
PRE_COPY_ROUNDS = 2
# Delay before a copy is retried for a run that had not begun; its prefill takes about
# 0.3 s.
NOT_BEGUN_RETRY_S = 0.1
# Delay before a copy that failed for another reason is retried.
FAILED_RETRY_S = 0.2
COPY_TIMEOUT_S = 3.0


class Migrate:
    """Filter that migrates the streams of a leaving endpoint.

    It copies the KV cache of a run to another engine, where `FinalCopies` resumes the
    stream. Runs with a mirror are not copied: `Resume` continues them at the mirror.
    Runs are copied one at a time, since all copies share the endpoint's link: a run
    that stopped for its final copy must not wait for the copies of others. The next
    run is chosen anew after each copy, because mirrors may be lost meanwhile.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        eligibility: Tells which endpoints are to be left.
        candidates: Chooses the runs to copy and their targets.
        clock: Source of time.
    """

    __slots__ = (
        "_candidates",
        "_clock",
        "_departures",
        "_eligibility",
        "_endpoints",
        "_inflight",
        "handlers",
    )

    def __init__(
        self,
        inflight: InFlight,
        endpoints: Endpoints,
        eligibility: Eligibility,
        candidates: CopyCandidates,
        clock: Clock,
    ) -> None:
        self._inflight = inflight
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._candidates = candidates
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
        copyable = filter(
            self._candidates.may_be_copied, list(endpoint.requests.values())
        )
        due = departure.not_postponed(copyable, self._clock.now())
        for request in self._candidates.rank(due, endpoint):
            if request.attempt is None:
                continue
            target = self._candidates.target(request, endpoint)
            if target is not None:
                departure.copying_attempt_id = request.attempt.attempt_id
                request.migration = Migration(target.name)
                if request.attempt.n_final_copies:
                    # The engine may have stopped the run already.
                    request.migration.n_copies = PRE_COPY_ROUNDS
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
        yield CopyRequested(
            request.attempt.attempt_id,
            request.request_id,
            endpoint.entry.address,
            target.entry.address,
            source_name=endpoint.name,
            source_born=request.attempt.born,
            is_final=request.migration.is_final,
            timeout_s=COPY_TIMEOUT_S,
        )

    def _on_copy_answered(self, msg: CopyAnswered) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.copy_request.attempt_id)
        if request is None or request.migration is None:
            yield msg
            if msg.handle:
                yield CopyDropped(msg.copy_request.source, msg.handle)
            return
        yield _copy_decision(request, request.migration, msg)
        yield msg
        endpoint = self._endpoints.get(msg.copy_request.source_name)
        if not msg.copy_request.is_final:
            target = self._endpoints.get(request.migration.target)
            if msg.is_done and msg.handle and request.attempt is not None:
                request.attempt.copy = RunCopy(
                    request.migration.target, msg.copy_request.source, msg.handle
                )
            if (
                msg.is_done
                and endpoint is not None
                and target is not None
                and self._eligibility.may_receive(target)
            ):
                request.migration.n_copies += 1
                yield from self._request_copy(request, endpoint, target)
                return
            request.migration = None
        self._end_turn(msg)
        if endpoint is not None:
            yield from self._start_next_copy(endpoint)

    def _end_turn(self, msg: CopyAnswered) -> None:
        """Let another run of the engine be copied, and this one later if at all."""
        departure = self._departures.get(msg.copy_request.source_name)
        if departure is None:
            return
        if departure.copying_attempt_id == msg.copy_request.attempt_id:
            departure.copying_attempt_id = ""
        delay_s = NOT_BEGUN_RETRY_S if msg.is_unknown else FAILED_RETRY_S
        departure.postpone(msg.copy_request.attempt_id, self._clock.now() + delay_s)

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        msg.request.migration = None
        yield msg


def _copy_decision(
    request: Request, migration: Migration, msg: CopyAnswered
) -> Decision:
    return Decision(
        "copied" if msg.is_done else "copy_failed",
        request_id=request.request_id,
        reason=msg.detail,
        endpoint=migration.target,
        is_final=msg.copy_request.is_final,
        is_inconclusive=msg.is_inconclusive,
        seconds=round(msg.seconds, 3),
        n_events=request.last_event,
    )
