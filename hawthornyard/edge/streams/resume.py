"""Resume streams at their mirrors when their endpoint is lost."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...policy import CrashEvidence
from ..eligibility import Eligibility
from ..endpoints import BROKEN_BACKOFF_S, Endpoints
from ..inflight import InFlight
from ..messages import AttemptBroke
from .resumption import Resumption


class Resume:
    """Filter that resumes broken streams at their mirrors.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        eligibility: Tells which endpoints may still receive streams.
        resumption: Starts the attempts that resume from mirrors.
        evidence: Parts of prompts that end endpoints.
    """

    __slots__ = (
        "_eligibility",
        "_endpoints",
        "_evidence",
        "_inflight",
        "_resumption",
        "handlers",
    )

    def __init__(
        self,
        inflight: InFlight,
        endpoints: Endpoints,
        eligibility: Eligibility,
        resumption: Resumption,
        evidence: CrashEvidence,
    ) -> None:
        self._evidence = evidence
        self._inflight = inflight
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._resumption = resumption
        self.handlers: Handlers = {
            AttemptBroke: self._on_attempt_broke,
        }

    def _on_attempt_broke(self, msg: AttemptBroke) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None or request.attempt is None:
            return
        if request.has_begun:
            self._endpoints.back_off(request.attempt.endpoint, BROKEN_BACKOFF_S)
        mirror = self._endpoints.get(request.attempt.mirror)
        is_accused = self._evidence.accused_part(request.shared_parts) is not None
        if request.is_suspect or is_accused:
            # It may end the mirror as well.
            mirror = None
        if mirror is None or not self._eligibility.may_resume_at(mirror):
            yield msg
            return
        yield Decision(
            "stream_resumed",
            request_id=request.request_id,
            reason=msg.detail,
            endpoint=mirror.name,
            before=request.attempt.endpoint,
            n_events=request.last_event,
        )
        request.n_runs = max(1, request.n_runs)
        address = mirror.entry.address
        yield self._resumption.begin_attempt(
            request, mirror, address, request.request_id
        )
