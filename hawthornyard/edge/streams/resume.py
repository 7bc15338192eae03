"""Resume streams from their mirrors and copies when their endpoint is lost."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...policy import CrashEvidence
from ..eligibility import Eligibility
from ..endpoints import BROKEN_BACKOFF_S, Endpoints
from ..inflight import InFlight
from ..messages import Attempt, AttemptBroke, Request, RunCopy
from .resumption import Resumption


class Resume:
    """Filter that resumes broken streams at their mirrors, else from their copies.

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
        source = self._find_source(request, request.attempt)
        if source is None:
            yield msg
            return
        yield Decision(
            "stream_resumed",
            request_id=request.request_id,
            reason=msg.detail,
            endpoint=source.endpoint,
            before=request.attempt.endpoint,
            n_events=request.last_event,
        )
        endpoint = self._endpoints.get(source.endpoint)
        if endpoint is not None:
            yield self._resumption.begin_attempt(
                request, endpoint, source.address, source.handle
            )

    def _find_source(self, request: Request, attempt: Attempt) -> RunCopy | None:
        """Return the copy from which a broken stream resumes, None if there is none."""
        is_accused = self._evidence.accused_part(request.shared_parts) is not None
        if request.is_suspect or is_accused:
            # It may end the next engine as well.
            return None
        mirror = self._endpoints.get(attempt.mirror)
        if mirror is not None and self._eligibility.may_resume_at(mirror):
            return RunCopy(mirror.name, mirror.entry.address, request.request_id)
        # Of a run that was being migrated, the target has what the last copy brought.
        copy = attempt.copy
        target = self._endpoints.get(copy.endpoint) if copy is not None else None
        if target is not None and self._eligibility.may_resume_at(target):
            return copy
        return None
