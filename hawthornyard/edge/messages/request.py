"""Hold the state of a request and of its current attempt."""

from ...core import Message
from ..deployment import RouteRule
from .call import Call


class Attempt(Message):
    """One try to run a request at one endpoint.

    Attributes:
        attempt_id: Identifier of the attempt.
        endpoint: Name of the endpoint.
        mirror: Name of the endpoint that mirrors it, empty for none.
        sent_at: Monotonic seconds of the dispatch.
        last_event_at: Monotonic seconds of its newest event, None before it.
        n_prefill_ahead: Prompt tokens to prefill before the first event, own included.
        is_resumed: Whether it goes on from a copy of an earlier attempt.
    """

    __slots__ = (
        "attempt_id",
        "endpoint",
        "mirror",
        "sent_at",
        "last_event_at",
        "n_prefill_ahead",
        "is_resumed",
    )

    def __init__(
        self,
        attempt_id: str,
        endpoint: str,
        sent_at: float,
        *,
        mirror: str = "",
        is_resumed: bool = False,
    ) -> None:
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.mirror = mirror
        self.sent_at = sent_at
        self.last_event_at: float | None = None
        self.n_prefill_ahead = 0
        self.is_resumed = is_resumed


class Migration(Message):
    """A running stream on its way to another endpoint.

    Attributes:
        target: Name of the endpoint that receives its copy.
        n_copies: Copies that are done.
        is_final: Whether the run stops for the copy under way.
    """

    __slots__ = ("target", "n_copies", "is_final")

    def __init__(self, target: str) -> None:
        self.target = target
        self.n_copies = 0
        self.is_final = False


class Request(Message):
    """State of one request from its arrival to its answer.

    Attributes:
        call: What the caller sent.
        route: The route that serves it.
        service: Name of the service that the route gave it to.
        team: Name of the team, empty on a public route.
        priority: Rank; 0 goes first.
        arrived_at: Monotonic seconds of its arrival.
        deadline: Monotonic seconds until which an answer is of use.
        n_runs: Attempts that may have run.
        n_attempts: Attempts that were sent.
        attempt: Current attempt, None while there is none.
        excluded: Endpoints that failed or refused it.
        has_begun: Whether the caller got the start of the answer.
        last_event: Number of the newest event that the caller got, 0 for none.
        first_event_s: Seconds from its arrival to its first event.
        last_gap_s: Newest pause between two of its events, None before it.
        longest_gap_s: Longest pause between two of its events.
        last_event_at: Monotonic seconds of its newest event.
        migration: How it moves to another endpoint, None while it does not.
    """

    __slots__ = (
        "call",
        "route",
        "service",
        "team",
        "priority",
        "arrived_at",
        "deadline",
        "n_runs",
        "n_attempts",
        "attempt",
        "excluded",
        "has_begun",
        "last_event",
        "first_event_s",
        "last_gap_s",
        "longest_gap_s",
        "last_event_at",
        "migration",
    )

    def __init__(
        self,
        call: Call,
        route: RouteRule,
        service: str,
        *,
        team: str = "",
        priority: int = 0,
        arrived_at: float = 0.0,
        deadline: float = 0.0,
    ) -> None:
        self.call = call
        self.route = route
        self.service = service
        self.team = team
        self.priority = priority
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.n_runs = 0
        self.n_attempts = 0
        self.attempt: Attempt | None = None
        self.excluded: set[str] = set()
        self.has_begun = False
        self.last_event = 0
        self.first_event_s: float | None = None
        self.last_gap_s: float | None = None
        self.longest_gap_s = 0.0
        self.last_event_at = 0.0
        self.migration: Migration | None = None

    @property
    def call_id(self) -> str:
        """Return the identifier of the HTTP exchange."""
        return self.call.call_id

    @property
    def request_id(self) -> str:
        """Return the caller's request id."""
        return self.call.request_id

    @property
    def n_tokens(self) -> int:
        """Return the tokens that it is expected to hold, 0 for a plain request."""
        return self.call.size.n_tokens if self.call.size is not None else 0

    @property
    def prefill_backlog(self) -> int:
        """Return the prompt tokens that its endpoint has yet to read."""
        attempt = self.attempt
        if self.call.size is None or attempt is None:
            return 0
        # A copy brings the prompt along.
        if attempt.is_resumed or attempt.last_event_at is not None:
            return 0
        return self.call.size.n_prompt_tokens

    @property
    def n_output_tokens(self) -> int:
        """Return the tokens that it is expected to generate."""
        return self.call.size.n_output_tokens if self.call.size is not None else 0

    def note_events(self, now: float) -> None:
        """Note the time at which events go to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now - self.arrived_at
        else:
            self.last_gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, self.last_gap_s)
        self.last_event_at = now

    @property
    def may_rerun(self) -> bool:
        """Return whether it may run again after an attempt that may have run."""
        return (
            self.route.is_idempotent
            and not self.has_begun
            and self.n_runs < self.route.max_attempts
        )
