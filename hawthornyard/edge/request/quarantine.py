"""Keep prompts with accused parts away from endpoints."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ...policy import CrashEvidence
from ..inflight import InFlight
from ..messages import Cancel, Matched, PartAccused
from ..peers import Peers

# Least time that callers are told to wait.
MIN_RETRY_AFTER_S = 1.0


class Quarantine:
    """Filter that refuses requests whose prompt has a part that ends endpoints.

    After a while one gateway sends one such request, to see whether it still does.

    Args:
        evidence: Crashes and the parts of prompts that they accuse.
        inflight: Requests that are not answered yet.
        peers: The other gateways.
    """

    __slots__ = ("_evidence", "_inflight", "_peers", "handlers")

    def __init__(
        self, evidence: CrashEvidence, inflight: InFlight, peers: Peers
    ) -> None:
        self._evidence = evidence
        self._inflight = inflight
        self._peers = peers
        self.handlers: Handlers = {
            Matched: self._on_matched,
            PartAccused: self._on_part_accused,
        }

    def _on_matched(self, msg: Matched) -> Iterator[Message]:
        request = msg.request
        part = self._evidence.accused_part(request.shared_parts)
        if part is None:
            yield msg
            return
        wait_s = self._evidence.trial_wait_s(part)
        if not wait_s and self._peers.is_owner(part):
            self._evidence.begin_trial(part)
            yield Decision(
                "part_tried",
                request_id=request.request_id,
                reason="its time in quarantine is over",
                part=part,
            )
            yield msg
            return
        yield Decision(
            "quarantined", request_id=request.request_id, reason="", part=part
        )
        yield ReplyFailed(
            request.call_id,
            ErrorKind.PROMPT_QUARANTINED,
            f"part {part} of the prompt ends endpoints",
            retry_after_s=round(max(MIN_RETRY_AFTER_S, wait_s), 1),
        )

    def _on_part_accused(self, msg: PartAccused) -> Iterator[Message]:
        # An answer that has not begun may still be kept from ending its endpoint.
        for request in self._inflight:
            attempt = request.attempt
            if attempt is None or msg.part not in request.shared_parts:
                continue
            if attempt.first_event_at is None:
                yield Cancel(attempt.attempt_id)
                yield ReplyFailed(
                    request.call_id,
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"part {msg.part} of the prompt ends endpoints",
                )
        yield msg
