"""Define the messages of the sidecar's pipe."""

from collections.abc import Sequence

from ..core import Message
from ..errors import ErrorKind
from ..frames import Dispatch, Work


class Attempt(Message):
    """State of one attempt at this endpoint.

    Attributes:
        attempt_id: Unique identifier.
        request_id: The caller's request.
        team: Team that pays.
        service: Service it belongs to.
        work: What to run.
        idempotent: Whether another attempt may follow.
        deadline: Monotonic seconds.
        peer: Gateway that dispatched it, empty while it is not connected.
        readers: Gateways whose callers came back for the output.
        started_at: Monotonic seconds of the call to the endpoint, None before.
        first_token_at: Monotonic seconds of the first token, None before.
        orphaned_at: Monotonic seconds since when no gateway wants it.
        texts: Tokens so far, the first has number 0.
        final_frame: Final frame, None while it runs.
        ended_at: Monotonic seconds of the end.
        is_acknowledged: Whether a gateway has read the final frame.
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
        """Return the gateways that get the output."""
        owner = {self.peer} if self.peer else set()
        return sorted(self.readers | owner)


class _AttemptMessage(Message):
    __slots__ = ()
    attempt: Attempt


class NewAttempt(_AttemptMessage):
    """An attempt that was not seen before."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class Permitted(_AttemptMessage):
    """An attempt that came while the endpoint takes new work."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class Admitted(_AttemptMessage):
    """An attempt that the endpoint can bear now."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class Withdrawn(_AttemptMessage):
    """An attempt that must leave the queue; it was not run and never will be."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class CallEndpoint(_AttemptMessage):
    """An order to the rim: run the attempt at the endpoint, once."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt


class CancelCall(Message):
    """An order to the rim: stop an attempt at the endpoint."""

    __slots__ = ("attempt_id",)

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id


class EndpointTokens(Message):
    """Tokens from the engine, in its order."""

    __slots__ = ("attempt_id", "texts")

    def __init__(self, attempt_id: str, texts: Sequence[str]) -> None:
        self.attempt_id = attempt_id
        self.texts = texts


class EndpointEnded(Message):
    """The engine finished a generation."""

    __slots__ = ("attempt_id", "reason", "n_prompt_tokens")

    def __init__(self, attempt_id: str, reason: str, n_prompt_tokens: int = 0) -> None:
        self.attempt_id = attempt_id
        self.reason = reason
        self.n_prompt_tokens = n_prompt_tokens


class EndpointReplied(Message):
    """The plain service answered a call."""

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
    """The call to the endpoint failed.

    Attributes:
        attempt_id: The attempt.
        may_have_run: False only if the call certainly never reached the endpoint.
        detail: What happened.
    """

    __slots__ = ("attempt_id", "may_have_run", "detail")

    def __init__(self, attempt_id: str, may_have_run: bool, detail: str) -> None:
        self.attempt_id = attempt_id
        self.may_have_run = may_have_run
        self.detail = detail


class EndpointLoadReport(Message):
    """A load report of the endpoint, which lags.

    Attributes:
        n_running: Sequences that it runs.
        n_waiting: Sequences in its own queue.
        memory_used: Share of its memory in use, 0 to 1.
        n_preempted: Preemptions since it started.
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
    """An attempt that left the endpoint.

    Attributes:
        attempt: The attempt.
        kind: Error kind, None for success.
    """

    __slots__ = ("attempt", "kind")

    def __init__(self, attempt: Attempt, kind: ErrorKind | None = None) -> None:
        self.attempt = attempt
        self.kind = kind


class ConfigChanged(Message):
    """The records in force changed."""

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision
