"""Explain the routing of a request from its decision log lines."""

from collections.abc import Callable, Mapping, Sequence

from ..core import Message

ROUTE_EVENT = "route"


class LogLine(Message):
    """A line of the decision log.

    Attributes:
        time: When it was logged, ISO 8601.
        process: Name of the process that made the decision.
        event: Name of the decision.
        reason: Reason for the decision, empty for none.
        details: The remaining fields of the line.
    """

    __slots__ = ("time", "process", "event", "reason", "details")

    def __init__(
        self,
        time: str,
        process: str,
        event: str,
        reason: str,
        details: Mapping[str, object],
    ) -> None:
        self.time = time
        self.process = process
        self.event = event
        self.reason = reason
        self.details = details


class Explanation(Message):
    """The decisions about one request, in sentences.

    Attributes:
        endpoints: Endpoints that the request was sent to, in order.
        sentences: One sentence for each log line, in order.
    """

    __slots__ = ("endpoints", "sentences")

    def __init__(self, endpoints: Sequence[str], sentences: Sequence[str]) -> None:
        self.endpoints = endpoints
        self.sentences = sentences


def explain(lines: Sequence[LogLine]) -> Explanation:
    """Return an explanation of where a request was sent and why.

    Args:
        lines: Log lines of the request, oldest first.
    """
    endpoints = [
        str(line.details.get("endpoint", ""))
        for line in lines
        if line.event == ROUTE_EVENT
    ]
    sentences = [_DESCRIBERS.get(line.event, _describe_other)(line) for line in lines]
    return Explanation(endpoints, sentences)


def _describe_route(line: LogLine) -> str:
    details = line.details
    scores = _format_scores(details.get("candidates"), details.get("scores"))
    among = f" among {scores}" if scores else ""
    return f"routed to {details.get('endpoint')}{among}: {line.reason}"


def _format_scores(candidates: object, scores: object) -> str:
    if not isinstance(candidates, list) or not isinstance(scores, list):
        return ""
    pairs = zip(candidates, scores, strict=False)
    return ", ".join(f"{candidate} ({score})" for candidate, score in pairs)


def _describe_claim(line: LogLine) -> str:
    if line.details.get("replayed"):
        return "answered with the recorded outcome of its idempotency key"
    return f"idempotency key: {line.reason}"


def _describe_retry(line: LogLine) -> str:
    n_attempts = line.details.get("n_attempts")
    detail = line.details.get("detail")
    reason = f"{line.reason}: {detail}" if detail else line.reason
    if line.details.get("retried"):
        return f"attempt {n_attempts} failed ({reason}); tried again"
    return f"given up after {n_attempts} attempts: {reason}"


def _describe_admit(line: LogLine) -> str:
    details = line.details
    running, limit = details.get("n_running"), details.get("limit")
    return f"admitted by {line.process} as {running} of {limit}: {line.reason}"


def _describe_limit(line: LogLine) -> str:
    before, after = line.details.get("before"), line.details.get("after")
    return (
        f"its completion changed the limit of {line.process} from {before} to {after}"
    )


def _describe_other(line: LogLine) -> str:
    details = ", ".join(f"{key}={value}" for key, value in line.details.items())
    reason = f": {line.reason}" if line.reason else ""
    return f"{line.event}{reason}{' (' + details + ')' if details else ''}"


_DESCRIBERS: dict[str, Callable[[LogLine], str]] = {
    ROUTE_EVENT: _describe_route,
    "claim": _describe_claim,
    "retry": _describe_retry,
    "admit": _describe_admit,
    "limit": _describe_limit,
}
