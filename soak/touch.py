"""Remember when what was disturbed."""

from .record import Attempt

STORE = "store"
PLANNED_STOP = "planned stop"


class FaultSpans:
    """Spans of time in which a gateway, an endpoint or the store was disturbed."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: list[tuple[str, str, float, float]] = []

    def add(self, name: str, kind: str, start: float, end: float) -> None:
        """Note a span.

        Args:
            name: What was disturbed.
            kind: How.
            start: Monotonic seconds of its start.
            end: Monotonic seconds of its end.
        """
        self._spans.append((name, kind, start, end))

    def is_fault_free(self, start: float, end: float, *names: str) -> bool:
        """Return whether none of some things was disturbed in a span."""
        return not any(
            name in names and span_start < end and span_end > start
            for name, _, span_start, span_end in self._spans
        )

    def is_planned_stop_only(
        self, attempt: Attempt, names: set[str], margin_s: float
    ) -> bool:
        """Return whether a request met a planned stop and nothing else.

        Args:
            attempt: The request.
            names: The gateway, the store and the endpoints that it met.
            margin_s: Time before it that counts as well.
        """
        ended_at = attempt.ended_at or attempt.sent_at
        overlapping = [
            (name, kind)
            for name, kind, span_start, span_end in self._spans
            if name in names
            and span_start < ended_at
            and span_end > attempt.sent_at - margin_s
        ]
        return overlapping == [(attempt.gateway, PLANNED_STOP)]

    def describe(self) -> list[str]:
        """Return one line a span, in order of time."""
        spans = sorted(self._spans, key=lambda span: span[2])
        return [
            f"{start:.2f} to {end:.2f} {name} {kind}"
            for name, kind, start, end in spans
        ]
