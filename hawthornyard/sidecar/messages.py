"""Messages between the filters and sinks of the sidecar."""

from collections.abc import Sequence

from ..core import Message
from ..errors import ErrorKind
from ..frames import Dispatch, Work


class Attempt(Message):
    """State of one attempt at this endpoint.

    Attributes:
        attempt_id: Unique identifier of the attempt.
        request_id: Request of the caller.
        team: Team that the attempt is charged to.
        service: Name of the service record.
        work: Generation or service call to run.
        idempotent: Whether the request may be attempted again.
        deadline: Deadline of the caller, in monotonic seconds.
        peer: Gateway that owns the attempt, empty while it is disconnected.
        readers: Gateways whose callers reconnected to read the output.
        started_at: Time of the call to the endpoint in monotonic seconds, None
            before.
        first_token_at: Time of the first token in monotonic seconds, None before.
        orphaned_at: Time in monotonic seconds since when no gateway is attached,
            None while one is.
        texts: Text of each token received so far.
        final_frame: Frame that ends the output, None until the attempt ends.
        ended_at: Time of the end in monotonic seconds, 0 before.
        is_acknowledged: Whether a gateway has confirmed the final frame.
    """

    __slots__ = (
        "attempt_id",
        "request_id",
        "team",
        "service",
        "work",
        "idempotent",
        "deadline",
        "peer",
        "readers",
        "started_at",
        "first_token_at",
        "orphaned_at",
        "texts",
        "final_frame",
        "ended_at",
        "is_acknowledged",
    )

    def __init__(self, dispatch: Dispatch, now: float) -> None:
        self.attempt_id = dispatch.attempt_id
        self.request_id = dispatch.request_id
        self.team = dispatch.team
        self.service = dispatch.service
        self.work: Work = dispatch.work
        self.idempotent = dispatch.idempotent
        self.deadline = now + dispatch.remaining_s
        self.peer = dispatch.peer
        self.readers: set[str] = set()
        self.started_at: float | None = None
        self.first_token_at: float | None = None
        self.orphaned_at: float | None = None
        self.texts: list[str] = []
        self.final_frame: Message | None = None
        self.ended_at = 0.0
        self.is_acknowledged = False

    @property
    def recipients(self) -> list[str]:
        """Return the names of the gateways that receive the output, sorted."""
        owner = {self.peer} if self.peer else set()
        return sorted(self.readers | owner)


class _AttemptMessage(Message):
    __slots__ = ()
    attempt: Attempt


class NewAttempt(_AttemptMessage):
    """Attempt whose identifier is new to the sidecar."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class Permitted(_AttemptMessage):
    """Attempt that arrived while the sidecar accepts new work."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class Admitted(_AttemptMessage):
    """Attempt that fits the current concurrency and memory limits."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class Withdrawn(_AttemptMessage):
    """Attempt to remove from the queue; it has not run and never will."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class CallEndpoint(_AttemptMessage):
    """Command to the I/O layer: run the attempt at the endpoint once."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class CancelCall(Message):
    """Command to the I/O layer: stop an attempt at the endpoint."""

    __slots__ = ("attempt_id",)

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id


class EndpointTokens(Message):
    """Next tokens of a generation from the engine."""

    __slots__ = ("attempt_id", "texts")

    def __init__(self, attempt_id: str, texts: Sequence[str]) -> None:
        self.attempt_id = attempt_id
        self.texts = texts


class EndpointEnded(Message):
    """Event: the engine finished a generation."""

    __slots__ = ("attempt_id", "reason", "n_prompt_tokens")

    def __init__(self, attempt_id: str, reason: str, n_prompt_tokens: int = 0) -> None:
        self.attempt_id = attempt_id
        self.reason = reason
        self.n_prompt_tokens = n_prompt_tokens


class EndpointReplied(Message):
    """Response of a plain service to a call."""

    __slots__ = ("attempt_id", "status", "headers", "body")

    def __init__(
        self,
        attempt_id: str,
        status: int,
        headers: Sequence[Sequence[str]],
        body: bytes,
    ) -> None:
        self.attempt_id = attempt_id
        self.status = status
        self.headers = headers
        self.body = body


class EndpointFailed(Message):
    """Event: the call to the endpoint failed.

    Attributes:
        attempt_id: Identifier of the attempt.
        may_have_run: False only if the call certainly never reached the endpoint.
        detail: Description of the failure.
    """

    __slots__ = ("attempt_id", "may_have_run", "detail")

    def __init__(self, attempt_id: str, may_have_run: bool, detail: str) -> None:
        self.attempt_id = attempt_id
        self.may_have_run = may_have_run
        self.detail = detail


class EndpointLoadReport(Message):
    """Load report of the endpoint, which lags behind its actual state.

    Attributes:
        n_running: Number of sequences that run.
        n_waiting: Number of sequences in the endpoint's own queue.
        memory_used: Fraction of the endpoint's memory in use, 0 to 1.
        n_preempted: Number of preemptions since the endpoint started.
    """

    __slots__ = ("n_running", "n_waiting", "memory_used", "n_preempted")

    def __init__(
        self, n_running: int, n_waiting: int, memory_used: float, n_preempted: int
    ) -> None:
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.memory_used = memory_used
        self.n_preempted = n_preempted


class Finished(_AttemptMessage):
    """Attempt that ended at the endpoint.

    Attributes:
        attempt: The attempt.
        kind: Error kind, None on success.
    """

    __slots__ = ("attempt", "kind")

    def __init__(self, attempt: Attempt, kind: ErrorKind | None = None) -> None:
        self.attempt = attempt
        self.kind = kind


class ConfigChanged(Message):
    """Event: newer configuration records are in force.

    Attributes:
        revision: Configuration revision in force.
    """

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision
