"""Data model of what endpoints ran and what callers received."""

from hawthornyard.errors import ErrorKind


class Run:
    """One attempt that an endpoint started to execute.

    Attributes:
        request_id: Identifier of the request.
        attempt_id: Identifier of the attempt.
        endpoint: Name of the endpoint.
        started_at: Start time in seconds of the manual clock.
        n_running: Concurrent attempts of the endpoint at the start, this one
            included.
        texts: Tokens generated so far.
        n_final_tokens: Number of tokens of the finished output, None while the
            attempt runs.
    """

    __slots__ = (
        "request_id",
        "attempt_id",
        "endpoint",
        "started_at",
        "n_running",
        "texts",
        "n_final_tokens",
    )

    def __init__(
        self,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        *,
        started_at: float = 0.0,
        n_running: int = 1,
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.started_at = started_at
        self.n_running = n_running
        self.texts: list[str] = []
        self.n_final_tokens: int | None = None


class Token:
    """One token that a caller received; numbers start at 1."""

    __slots__ = ("attempt_id", "number", "text")

    def __init__(self, attempt_id: str, number: int, text: str) -> None:
        self.attempt_id = attempt_id
        self.number = number
        self.text = text


class Caller:
    """What one caller received for one request, over all its connections.

    Attributes:
        request_id: Identifier of the request.
        idempotent: Whether the request may run more than once.
        key: Idempotency key, empty for none.
        endpoint: Endpoint named in the response, empty before the response starts.
        tokens: Tokens in the order of arrival.
        n_reported_tokens: Number of tokens reported by the final event, None before
            it arrives.
        body: Response body of a plain service, None before it arrives.
        failure: Kind of the final error, None without one.
        is_disconnected: Whether the connection ended without a final event.
        must_complete: Whether an error counts as a violation because the request
            met a planned stop.
    """

    __slots__ = (
        "body",
        "endpoint",
        "failure",
        "idempotent",
        "is_disconnected",
        "key",
        "must_complete",
        "n_reported_tokens",
        "request_id",
        "tokens",
    )

    def __init__(
        self, request_id: str, *, idempotent: bool = True, key: str = ""
    ) -> None:
        self.request_id = request_id
        self.idempotent = idempotent
        self.key = key
        self.endpoint = ""
        self.tokens: list[Token] = []
        self.n_reported_tokens: int | None = None
        self.body: bytes | None = None
        self.failure: ErrorKind | None = None
        self.is_disconnected = False
        self.must_complete = False

    @property
    def is_complete(self) -> bool:
        """Return whether the complete response arrived."""
        return self.n_reported_tokens is not None or self.body is not None

    @property
    def is_answered(self) -> bool:
        """Return whether the caller got a result or lost its connection."""
        return self.is_complete or self.failure is not None or self.is_disconnected


class UnavailablePeriod:
    """A period, in seconds, in which an endpoint must get no new work.

    `ends_at` is infinite while the period lasts.
    """

    __slots__ = ("endpoint", "ends_at", "starts_at")

    def __init__(self, endpoint: str, starts_at: float) -> None:
        self.endpoint = endpoint
        self.starts_at = starts_at
        self.ends_at = float("inf")


class History:
    """Input of the checker.

    Attributes:
        runs: Attempts that endpoints started.
        callers: What each caller received.
        unavailable_periods: Periods in which an endpoint was out of service or
            leaving.
        concurrency_limits: Maximum number of concurrent attempts, by cold endpoint.
        revisions: Configuration revisions in the order applied, by process.
    """

    __slots__ = (
        "callers",
        "concurrency_limits",
        "revisions",
        "runs",
        "unavailable_periods",
    )

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.callers: list[Caller] = []
        self.unavailable_periods: list[UnavailablePeriod] = []
        self.concurrency_limits: dict[str, int] = {}
        self.revisions: dict[str, list[int]] = {}

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the attempts of a request that endpoints started."""
        return [run for run in self.runs if run.request_id == request_id]
