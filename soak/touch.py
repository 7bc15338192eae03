"""Remember when what was disturbed."""

from .record import Sent

STORE = "store"
PLANNED = "planned stop"


class Disturbances:
    """Spans of time in which a gateway, an endpoint or the store was disturbed."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: list[tuple[str, str, float, float]] = []

    def note(self, name: str, kind: str, start: float, end: float) -> None:
        """Note a span.

        Args:
            name: What was disturbed.
            kind: How.
            start: Monotonic seconds of its start.
            end: Monotonic seconds of its end.
        """
        self._spans.append((name, kind, start, end))

    def is_calm(self, start: float, end: float, *names: str) -> bool:
        """Return whether none of some things was disturbed in a span."""
        return not any(
            name in names and begun < end and ended > start
            for name, _, begun, ended in self._spans
        )

    def is_planned(self, sent: Sent, names: set[str], contact_s: float) -> bool:
        """Return whether a request met a planned stop and nothing else.

        Args:
            sent: The request.
            names: The gateway, the store and the endpoints that it met.
            contact_s: Time before it that counts as well.
        """
        ended_at = sent.ended_at or sent.sent_at
        met = [
            (name, kind)
            for name, kind, begun, ended in self._spans
            if name in names and begun < ended_at and ended > sent.sent_at - contact_s
        ]
        return met == [(sent.gateway, PLANNED)]

    def describe(self) -> list[str]:
        """Return one line a span, in order of time."""
        spans = sorted(self._spans, key=lambda span: span[2])
        return [f"{a:.2f} to {b:.2f} {name} {kind}" for name, kind, a, b in spans]
