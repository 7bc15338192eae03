"""Define the state of a request and of its current attempt."""

from collections.abc import Sequence

from ...core import Message
from ..deployment import RouteRule
from .answer import AttemptEnd
from .call import Call
from .copy import CopyRequested, RunCopy


class Attempt(Message):
    """One attempt to run a request at one endpoint.

    Attributes:
        attempt_id: Identifier of the attempt.
        endpoint: Name of the endpoint.
        born: Incarnation of the endpoint, a start time in Unix milliseconds.
        mirror: Name of the endpoint that mirrors it, empty for none.
        sent_at: Monotonic time of the dispatch in seconds.
        first_event_at: Monotonic time of its first event in seconds, None before it.
        last_event_at: Monotonic time of its newest event in seconds, None before the
            first.
        n_prefill_ahead: Prompt tokens that were queued for prefill at the endpoint when
            it was sent, its own included.
        is_resumed: Whether it resumes from a copy of an earlier attempt's run.
        n_final_copies: Number of final copies that were ordered of its run and may have
            stopped it.
        copy: Newest copy of its run, made while the run continued; None if there is
            none.
    """

    __slots__ = (
        "attempt_id",
        "endpoint",
        "born",
        "mirror",
        "sent_at",
        "first_event_at",
        "last_event_at",
        "n_prefill_ahead",
        "is_resumed",
        "n_final_copies",
        "copy",
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
        self.born = 0
        self.mirror = mirror
        self.sent_at = sent_at
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        self.n_prefill_ahead = 0
        self.is_resumed = is_resumed
        self.n_final_copies = 0
        self.copy: RunCopy | None = None


class Migration(Message):
    """Progress of the live migration of a stream.

    Attributes:
        target: Name of the endpoint that receives the copies.
        n_copies: Number of completed copies.
        is_final: Whether the run stops for the copy in progress.
        order: Newest order of the final copy, None before the first.
        n_orders: Number of orders of the final copy.
        repeat_at: Monotonic time in seconds at which the final copy is ordered again,
            None while an answer is awaited.
        end: End of the stream that came meanwhile, by the stop or by the end of the
            run; None before.
        ended_at: Monotonic time of that end in seconds.
    """

    __slots__ = (
        "target",
        "n_copies",
        "is_final",
        "order",
        "n_orders",
        "repeat_at",
        "end",
        "ended_at",
    )

    def __init__(self, target: str) -> None:
        self.target = target
        self.n_copies = 0
        self.is_final = False
        self.order: CopyRequested | None = None
        self.n_orders = 0
        self.repeat_at: float | None = None
        self.end: AttemptEnd | None = None
        self.ended_at = 0.0


class Request(Message):
    """State of one request from its arrival to its answer.

    Attributes:
        call: The caller's request.
        route: The route that serves it.
        service: Name of the service that was chosen from the route.
        team: Name of the team, empty on a public route.
        priority: Scheduling priority; 0 goes first.
        arrived_at: Monotonic time of its arrival in seconds.
        deadline: Monotonic time in seconds after which it is cancelled.
        n_runs: Number of attempts that may have run.
        n_attempts: Number of attempts that were sent.
        attempt: Current attempt, None while there is none.
        excluded: Names of endpoints that failed or refused it.
        has_begun: Whether the start of a streamed answer went to the caller.
        last_event: Number of the newest event sent to the caller, 0 for none.
        first_event_s: Seconds from its arrival to its first event, None before it.
        last_gap_s: Newest gap between events in seconds, None before the second event.
        longest_gap_s: Longest gap between events in seconds.
        last_event_at: Monotonic time of its newest event in seconds, 0 before the
            first.
        migration: Progress of its live migration, None if there is none.
        is_suspect: Whether an endpoint broke it off as its answer began, and its prompt
            has a part that is not known to be sound.
        is_noted_sound: Whether it has shown that the parts of its prompt are sound.
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
        "is_suspect",
        "is_noted_sound",
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
        self.is_suspect = False
        self.is_noted_sound = False

    @property
    def call_id(self) -> str:
        """Return the identifier of the HTTP exchange."""
        return self.call.call_id

    @property
    def request_id(self) -> str:
        """Return the caller's request id."""
        return self.call.request_id

    @property
    def prefix(self) -> Sequence[str]:
        """Return the identifiers of the parts of its prompt, none if it has no size."""
        return self.call.size.prefix if self.call.size is not None else ()

    @property
    def shared_parts(self) -> Sequence[str]:
        """Return the parts of its prompt that others may share, all but the last."""
        return self.prefix[:-1]

    @property
    def n_tokens(self) -> int:
        """Return the expected tokens of prompt and output, 0 for a plain request."""
        return self.call.size.n_tokens if self.call.size is not None else 0

    @property
    def prefill_backlog(self) -> int:
        """Return the prompt tokens that still await prefill at its endpoint."""
        attempt = self.attempt
        if self.call.size is None or attempt is None:
            return 0
        # A copy includes the KV cache of the prompt.
        if attempt.is_resumed or attempt.last_event_at is not None:
            return 0
        return self.call.size.n_prompt_tokens

    @property
    def n_output_tokens(self) -> int:
        """Return the expected output tokens, 0 for a plain request."""
        return self.call.size.n_output_tokens if self.call.size is not None else 0

    def note_events(self, now: float) -> None:
        """Record the time at which events go to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now - self.arrived_at
        else:
            self.last_gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, self.last_gap_s)
        self.last_event_at = now

    def writing_s(self, now: float) -> float:
        """Return the seconds since the first event of its attempt, 0 before it."""
        attempt = self.attempt
        if attempt is None or attempt.first_event_at is None:
            return 0.0
        return now - attempt.first_event_at

    @property
    def may_be_stopped(self) -> bool:
        """Return whether a final copy was ordered that may have stopped its run."""
        return self.attempt is not None and self.attempt.n_final_copies > 0

    @property
    def may_rerun(self) -> bool:
        """Return whether it may be retried after an attempt that may have run."""
        return (
            self.route.is_idempotent
            and not self.has_begun
            and self.n_runs < self.route.max_attempts
        )
