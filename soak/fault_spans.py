"""Time spans of the injected faults."""

from .record import Attempt

STORE = "store"
KILLED = "killed"
PAUSED = "paused"
PLANNED_STOP = "planned stop"


class FaultSpans:
    """Time spans in which a gateway, an endpoint or the store had a fault."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: list[tuple[str, str, float, float]] = []

    def add(self, name: str, kind: str, start: float, end: float) -> None:
        """Add a span.

        Args:
            name: Gateway, endpoint or `STORE`.
            kind: Kind of fault, such as "paused".
            start: Start in monotonic seconds.
            end: End in monotonic seconds.
        """
        self._spans.append((name, kind, start, end))

    def is_fault_free(self, start: float, end: float, *names: str) -> bool:
        """Return whether none of `names` had a fault between `start` and `end`."""
        return not any(
            name in names and span_start < end and span_end > start
            for name, _, span_start, span_end in self._spans
        )

    def is_steady(self, name: str, start: float, end: float) -> bool:
        """Return whether a process was neither stopped nor paused in a time span."""
        return not any(
            span_name == name
            and kind in (KILLED, PAUSED, PLANNED_STOP)
            and span_start < end
            and span_end > start
            for span_name, kind, span_start, span_end in self._spans
        )

    def is_planned_stop_only(
        self, attempt: Attempt, names: set[str], margin_s: float
    ) -> bool:
        """Return whether an attempt met its gateway's planned stop and no other fault.

        Args:
            attempt: The attempt.
            names: The gateway, the store and the endpoints that took part.
            margin_s: Seconds before the attempt in which faults count too.
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
        """Return one line for each span in order of their start."""
        spans = sorted(self._spans, key=lambda span: span[2])
        return [
            f"{start:.2f} to {end:.2f} {name} {kind}"
            for name, kind, start, end in spans
        ]
