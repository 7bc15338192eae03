"""Find out which prompts end endpoints, together with the other gateways."""

from collections.abc import Iterator, Sequence

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import (
    CrashReport,
    CrashReportsRequested,
    PartsSound,
    PossibleCrashReport,
)
from ...policy import Crash, CrashEvidence
from ..endpoints import Endpoints
from ..inflight import InFlight
from ..messages import AttemptBroke, Closed, EndpointEnded, PartAccused, Request
from ..peers import Peers
from .confirm import EARLY_ANSWER_S, has_just_begun

# Time in which all attempts at an endpoint that ended break.
SETTLE_S = 0.1
# An answer that has been writing for this long shows that its prompt is sound.
SOUND_S = EARLY_ANSWER_S
# Interval between looks for such answers; engines may end one after the other within a
# second, and what they wrote before is lost with them.
SCAN_INTERVAL_S = 0.1
# Pauses until a report is sent again, since a datagram may be lost and a gateway may
# have been cut off: the first, and the longest, which stays below the time in which
# gateways must agree.
FIRST_RESEND_S = 0.3
MAX_RESEND_S = 2.0
# Requests for the reports of each gateway that is new to this one, and their interval.
N_ASKS = 3
ASK_INTERVAL_S = 1.0


class _Break:
    """Attempts at one endpoint that broke as their answers began."""

    __slots__ = ("at", "prefixes")

    def __init__(self, at: float) -> None:
        self.at = at
        self.prefixes: list[Sequence[str]] = []


class _OwnReport:
    """A crash that this gateway has seen itself and reports to the others."""

    __slots__ = ("crash", "is_certain", "next_at", "pause_s", "prefix")

    def __init__(
        self, crash: Crash, prefix: Sequence[str], now: float, *, is_certain: bool
    ) -> None:
        self.crash = crash
        self.prefix = prefix
        self.is_certain = is_certain
        self.next_at = now
        self.pause_s = FIRST_RESEND_S


class TrackCrashes:
    """Filter that collects and exchanges evidence about prompts that end endpoints.

    An endpoint counts as ended if an attempt broke there as its answer began, and no
    older attempt of this gateway goes on there. A break on its own, such as that of one
    connection, therefore accuses nobody. Where nothing of an answer had arrived,
    `ConfirmCrashes` tells whether the endpoint has ended.

    Args:
        peers: The other gateways.
        evidence: Crashes and the parts of prompts that they accuse.
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        clock: Source of time.
    """

    __slots__ = (
        "_breaks",
        "_clock",
        "_endpoints",
        "_evidence",
        "_inflight",
        "_n_asks",
        "_next_ask_at",
        "_next_scan_at",
        "_peers",
        "_reports",
        "handlers",
    )

    def __init__(
        self,
        peers: Peers,
        evidence: CrashEvidence,
        inflight: InFlight,
        endpoints: Endpoints,
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._evidence = evidence
        self._inflight = inflight
        self._endpoints = endpoints
        self._clock = clock
        self._breaks: dict[str, _Break] = {}
        self._reports: list[_OwnReport] = []
        self._n_asks: dict[str, int] = {}
        self._next_ask_at = 0.0
        self._next_scan_at = 0.0
        self.handlers: Handlers = {
            AttemptBroke: self._on_attempt_broke,
            Closed: self._on_closed,
            CrashReport: self._on_crash_report,
            CrashReportsRequested: self._on_reports_requested,
            EndpointEnded: self._on_endpoint_ended,
            PartsSound: self._on_parts_sound,
            PossibleCrashReport: self._on_possible_crash_report,
            Tick: self._on_tick,
        }

    def _on_attempt_broke(self, msg: AttemptBroke) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None or request.attempt is None:
            yield msg
            return
        endpoint = request.attempt.endpoint
        if has_just_begun(request, msg, self._clock.now()):
            if not self._evidence.are_sound(request.shared_parts):
                request.is_suspect = True
            brk = self._breaks.setdefault(endpoint, _Break(self._clock.now()))
            brk.prefixes.append(request.shared_parts)
        yield msg
        if endpoint in self._breaks and not self._has_older_attempts(endpoint):
            yield from self._report_crash(endpoint)

    def _has_older_attempts(self, name: str) -> bool:
        endpoint = self._endpoints.get(name)
        attempts = [] if endpoint is None else endpoint.requests.values()
        broke_at = self._breaks[name].at
        return any(
            request.attempt is not None and request.attempt.sent_at < broke_at
            for request in attempts
        )

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        if msg.kind is None and msg.request.last_event:
            yield from self._note_sound(msg.request)
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for name, brk in list(self._breaks.items()):
            if not self._has_older_attempts(name):
                yield from self._report_crash(name)
            elif msg.now - brk.at >= SETTLE_S:
                # The endpoint goes on with them.
                del self._breaks[name]
        if msg.now >= self._next_scan_at:
            self._next_scan_at = msg.now + SCAN_INTERVAL_S
            yield from self._scan(msg.now)
        if self._evidence.is_settling:
            yield from self._accuse()
        yield from self._send_reports(msg.now)
        if msg.now >= self._next_ask_at:
            self._next_ask_at = msg.now + ASK_INTERVAL_S
            yield from self._ask()
        yield msg

    def _report_crash(self, name: str) -> Iterator[Message]:
        brk = self._breaks.pop(name)
        yield from self._note_crash(name, brk.at, brk.prefixes, is_certain=True)

    def _on_endpoint_ended(self, msg: EndpointEnded) -> Iterator[Message]:
        yield from self._note_crash(
            msg.endpoint, msg.at, msg.prefixes, is_certain=False
        )

    def _note_crash(
        self,
        name: str,
        at: float,
        prefixes: Sequence[Sequence[str]],
        *,
        is_certain: bool,
    ) -> Iterator[Message]:
        reason = "it ended as it began an answer"
        if not is_certain:
            reason = "it ended before an answer arrived"
        now = self._clock.now()
        for prefix in prefixes:
            crash = self._evidence.note_crash(name, at, prefix, is_certain=is_certain)
            report = _OwnReport(crash, prefix, now, is_certain=is_certain)
            self._reports.append(report)
            yield Decision(
                "endpoint_crashed",
                reason=reason,
                endpoint=name,
                parts=list(prefix),
                n_crashes=len(self._evidence.crashes),
            )
        yield from self._send_reports(self._clock.now())
        yield from self._accuse()

    def _accuse(self) -> Iterator[Message]:
        for part, crashes in self._evidence.accuse().items():
            yield Decision(
                "part_accused",
                reason="endpoints ended as they began answers to it",
                part=part,
                endpoints=[crash.endpoint for crash in crashes],
            )
            yield PartAccused(part)
            released = self._evidence.retract_explained(part)
            yield from self._clear(released, f"part {part} explains its crashes")

    def _scan(self, now: float) -> Iterator[Message]:
        for request in self._inflight:
            attempt = request.attempt
            if attempt is None or attempt.first_event_at is None:
                continue
            if now - attempt.first_event_at >= SOUND_S:
                yield from self._note_sound(request)

    def _note_sound(self, request: Request) -> Iterator[Message]:
        if request.is_noted_sound or not request.shared_parts:
            return
        request.is_noted_sound = True
        now = self._clock.now()
        suspected, accused = self._evidence.note_sound(
            request.shared_parts, now - request.writing_s(now)
        )
        yield from self._clear(accused, "an answer to it went on", request.request_id)
        if suspected:
            for address in self._peers.addresses():
                yield PartsSound(suspected).with_peer(address)

    def _clear(
        self, parts: Sequence[str], reason: str, request_id: str = ""
    ) -> Iterator[Message]:
        for part in parts:
            yield Decision(
                "part_cleared", request_id=request_id, reason=reason, part=part
            )

    def _send_reports(self, now: float) -> Iterator[Message]:
        known = self._evidence.crashes
        self._reports = [report for report in self._reports if report.crash in known]
        for report in self._reports:
            if now < report.next_at:
                continue
            report.next_at = now + report.pause_s
            report.pause_s = min(MAX_RESEND_S, 2 * report.pause_s)
            for address in self._peers.addresses():
                yield self._report(
                    report.crash, report.prefix, is_certain=report.is_certain
                ).with_peer(address)

    def _report(
        self, crash: Crash, prefix: Sequence[str], *, is_certain: bool
    ) -> CrashReport | PossibleCrashReport:
        age_s = self._clock.now() - crash.at
        if is_certain:
            return CrashReport(crash.endpoint, age_s, prefix)
        return PossibleCrashReport(crash.endpoint, age_s, prefix)

    def _ask(self) -> Iterator[Message]:
        n_asks = {
            address: self._n_asks.get(address, 0) for address in self._peers.addresses()
        }
        for address, n_asked in n_asks.items():
            if n_asked < N_ASKS:
                n_asks[address] += 1
                yield CrashReportsRequested().with_peer(address)
        self._n_asks = n_asks

    def _on_crash_report(self, msg: CrashReport) -> Iterator[Message]:
        at = self._clock.now() - max(0.0, msg.age_s)
        self._evidence.note_crash(msg.endpoint, at, msg.prefix)
        yield from self._accuse()

    def _on_possible_crash_report(self, msg: PossibleCrashReport) -> Iterator[Message]:
        at = self._clock.now() - max(0.0, msg.age_s)
        self._evidence.note_crash(msg.endpoint, at, msg.prefix, is_certain=False)
        yield from self._accuse()

    def _on_reports_requested(self, msg: CrashReportsRequested) -> Iterator[Message]:
        for crash in self._evidence.crashes:
            for prefix in crash.prefixes:
                yield self._report(crash, prefix, is_certain=True).with_peer(msg.peer)
            for prefix in crash.possible_prefixes:
                yield self._report(crash, prefix, is_certain=False).with_peer(msg.peer)

    def _on_parts_sound(self, msg: PartsSound) -> Iterator[Message]:
        began_at = self._clock.now() - SOUND_S
        _, accused = self._evidence.note_sound(msg.parts, began_at)
        yield from self._clear(accused, "another gateway saw an answer to it go on")
