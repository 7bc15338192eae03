"""Measure the endpoint's output in the sidecar's pipeline."""

from collections.abc import Iterator

from ..core import Decision, Handlers, Message, Tick
from ..frames import Refused, Tokens
from ..sidecar.messages import Finished
from .metrics import FIRST_TOKEN_BUCKETS_S, KIND_OK, ProgramMetrics


class MeasureOutput:
    """Filter that measures the endpoint's output; the last filter of a sidecar.

    Args:
        metrics: Metrics of the program.
    """

    __slots__ = ("_attempts", "_first_token", "_refusals", "_tokens", "handlers")

    def __init__(self, metrics: ProgramMetrics) -> None:
        self._attempts = metrics.add_counter(
            "attempts", "Attempts that left the endpoint.", ["service", "kind"]
        )
        self._refusals = metrics.add_counter(
            "refusals", "Attempts that were refused as not run.", ["kind"]
        )
        self._tokens = metrics.add_counter("tokens", "Tokens sent to gateways.")
        self._first_token = metrics.add_histogram(
            "time_to_first_token_seconds",
            "Time from the call to the endpoint to its first token.",
            FIRST_TOKEN_BUCKETS_S,
            ["service"],
        )
        self.handlers: Handlers = {
            Tokens: self._on_tokens,
            Refused: self._on_refused,
            Finished: self._on_finished,
            Decision: metrics.on_decision,
            Tick: metrics.on_tick,
        }

    def _on_tokens(self, msg: Tokens) -> Iterator[Message]:
        self._tokens.inc(len(msg.texts))
        yield msg

    def _on_refused(self, msg: Refused) -> Iterator[Message]:
        self._refusals.labels(msg.kind).inc()
        yield msg

    def _on_finished(self, msg: Finished) -> Iterator[Message]:
        attempt = msg.attempt
        kind = msg.kind.value if msg.kind is not None else KIND_OK
        self._attempts.labels(attempt.service, kind).inc()
        if attempt.first_token_at is not None and attempt.started_at is not None:
            seconds = attempt.first_token_at - attempt.started_at
            self._first_token.labels(attempt.service).observe(seconds)
        yield msg
