"""Forecast how long streams take."""

from typing import Protocol

from .directory import Directory
from .eligibility import Eligibility
from .messages import Request

# Time to the first event of a stream that does not wait for its prompt's turn.
FIRST_EVENT_S = 0.5
# Gaps between events grow while engines fill up.
GAP_MARGIN = 1.25


class DurationForecast(Protocol):
    """Policy that forecasts how long a stream takes."""

    def seconds(self, request: Request) -> float | None:
        """Return the seconds to the end of a stream, None if they can't be told.

        Args:
            request: A request for a stream that has not been sent yet.
        """
        ...


class MeasuredDuration:
    """Forecast from the expected output and the gaps measured at the endpoints.

    Args:
        directory: Deployment in force, for the tokens of an event.
        eligibility: Tells which endpoints may run the request.
    """

    __slots__ = ("_directory", "_eligibility")

    def __init__(self, directory: Directory, eligibility: Eligibility) -> None:
        self._directory = directory
        self._eligibility = eligibility

    def seconds(self, request: Request) -> float | None:
        """Return the seconds to the end; see `DurationForecast.seconds`."""
        rule = self._directory.service(request.service)
        if rule is None or rule.engine is None:
            return None
        gaps = [
            endpoint.mean_gap_s
            for endpoint in self._eligibility.for_request(request)
            if endpoint.mean_gap_s
        ]
        if not gaps:
            return None
        n_events = request.n_output_tokens / max(1, rule.engine.tokens_per_event)
        return FIRST_EVENT_S + GAP_MARGIN * n_events * sum(gaps) / len(gaps)
