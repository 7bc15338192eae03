"""Find out whether an endpoint has ended on which answers broke before they arrived."""

from collections.abc import Iterator, Sequence

from ...core import Clock, Handlers, Message, Tick
from ...policy import CrashEvidence
from ..endpoints import Endpoints
from ..inflight import InFlight
from ..messages import (
    AttemptBroke,
    EndpointEnded,
    ReportFailed,
    ReportRead,
    ReportRequested,
    Request,
)

# An answer that had been writing for less than this when it broke had just begun.
JUST_BEGUN_S = 0.1
# An answer that had been writing for less than this when it broke may have ended its
# endpoint: a busy gateway reads the first event and the end of the stream apart.
EARLY_ANSWER_S = 0.5
# Time in which all answers of an endpoint that ends break. What breaks later was sent
# to an endpoint that had ended already, and has not ended it.
SETTLE_S = 0.2
# Time in which the end of an endpoint must show. An entry expires after three intervals
# of its reports, some 3.6 s, and an endpoint that restarts is back before.
CONFIRM_TIMEOUT_S = 6.0
# Calls for the report of an endpoint, and the pause between them.
MAX_PROBES = 3
PROBE_INTERVAL_S = 0.4


def has_just_begun(request: Request, msg: AttemptBroke, now: float) -> bool:
    """Return whether an answer to a prompt with shared parts had just begun.

    Args:
        request: The request.
        msg: The end of its attempt.
        now: Monotonic time in seconds.
    """
    if not request.shared_parts or not msg.has_begun or request.may_be_stopped:
        return False
    return request.writing_s(now) < JUST_BEGUN_S


class _Suspicion:
    """Answers of one endpoint that broke before they arrived.

    Attributes:
        at: Monotonic time in seconds of the first.
        born: Incarnation of the endpoint, a start time in Unix milliseconds.
        n_probes: Calls for the report of the endpoint so far.
        next_probe_at: Monotonic time in seconds of the next call.
        prefixes: Shared parts of each request's prompt, in order.
    """

    __slots__ = ("at", "born", "n_probes", "next_probe_at", "prefixes")

    def __init__(self, at: float, born: int) -> None:
        self.at = at
        self.born = born
        self.n_probes = 0
        self.next_probe_at = at
        self.prefixes: list[Sequence[str]] = []


class ConfirmCrashes:
    """Filter that tells the end of an endpoint from the loss of an answer.

    A process that ends resets its connections, which may discard the head of an
    answer that the gateway has not read. A request without an answer is a possible
    suspect only if its endpoint has ended: its host refuses connections, its entry is
    gone, or another incarnation answers. An endpoint that still answers has only lost
    an answer.

    Args:
        evidence: Crashes and the parts of prompts that they accuse.
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_endpoints",
        "_evidence",
        "_inflight",
        "_suspicions",
        "handlers",
    )

    def __init__(
        self,
        evidence: CrashEvidence,
        inflight: InFlight,
        endpoints: Endpoints,
        clock: Clock,
    ) -> None:
        self._evidence = evidence
        self._inflight = inflight
        self._endpoints = endpoints
        self._clock = clock
        self._suspicions: dict[str, _Suspicion] = {}
        self.handlers: Handlers = {
            AttemptBroke: self._on_attempt_broke,
            ReportFailed: self._on_report_failed,
            ReportRead: self._on_report_read,
            Tick: self._on_tick,
        }

    def _on_attempt_broke(self, msg: AttemptBroke) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        now = self._clock.now()
        if request is None or request.writing_s(now) >= EARLY_ANSWER_S:
            yield msg
            return
        if request.may_be_stopped:
            # The engine closes the stream of a run that it stops for its final copy.
            yield msg
            return
        # What may have ended an endpoint before is not sent to another one.
        request.is_suspect = self._evidence.are_suspected(request.shared_parts)
        if request.shared_parts and not has_just_begun(request, msg, now):
            self._suspect(request, now)
        yield msg
        yield from self._probe_due(now)

    def _suspect(self, request: Request, now: float) -> None:
        attempt = request.attempt
        endpoint = self._endpoints.get(attempt.endpoint) if attempt else None
        if endpoint is None:
            return
        suspicion = self._suspicions.setdefault(
            endpoint.name, _Suspicion(now, endpoint.entry.born)
        )
        if now - suspicion.at < SETTLE_S:
            suspicion.prefixes.append(request.shared_parts)

    def _on_report_failed(self, msg: ReportFailed) -> Iterator[Message]:
        suspicion = self._suspicions.get(msg.endpoint)
        if msg.is_refused and suspicion is not None and suspicion.born == msg.born:
            yield from self._confirm(msg.endpoint)
        yield msg

    def _on_report_read(self, msg: ReportRead) -> Iterator[Message]:
        suspicion = self._suspicions.get(msg.endpoint)
        if suspicion is not None:
            if msg.born == suspicion.born:
                del self._suspicions[msg.endpoint]
            elif msg.born:
                yield from self._confirm(msg.endpoint)
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for name, suspicion in list(self._suspicions.items()):
            if self._has_ended(name, suspicion):
                yield from self._confirm(name)
            elif msg.now - suspicion.at >= CONFIRM_TIMEOUT_S:
                del self._suspicions[name]
        yield from self._probe_due(msg.now)
        yield msg

    def _has_ended(self, name: str, suspicion: _Suspicion) -> bool:
        endpoint = self._endpoints.get(name)
        if endpoint is None or endpoint.entry.born != suspicion.born:
            return True
        return endpoint.leaving_since is not None and not endpoint.has_announced_leaving

    def _confirm(self, name: str) -> Iterator[Message]:
        suspicion = self._suspicions.pop(name)
        yield EndpointEnded(name, suspicion.at, suspicion.prefixes)

    def _probe_due(self, now: float) -> Iterator[Message]:
        for name, suspicion in self._suspicions.items():
            endpoint = self._endpoints.get(name)
            if endpoint is None or suspicion.n_probes >= MAX_PROBES:
                continue
            if now >= suspicion.next_probe_at:
                suspicion.n_probes += 1
                suspicion.next_probe_at = now + PROBE_INTERVAL_S
                yield ReportRequested(name, endpoint.entry.address, suspicion.born)
