"""Record what endpoints ran and what callers got."""

from hawthornyard.errors import ErrorKind


class Run:
    """One attempt that an endpoint really began.

    Attributes:
        request_id: The caller's request.
        attempt_id: The attempt.
        endpoint: Endpoint that ran it.
        at: Seconds of the begin.
        n_running: Attempts that the endpoint ran then, this one included.
        texts: Tokens that it produced so far.
        n_whole: Tokens of the finished output, None while it runs.
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
    """One token as a caller got it; the first has number 1."""

    __slots__ = ("attempt_id", "number", "text")

    def __init__(self, attempt_id: str, number: int, text: str) -> None:
        self.attempt_id = attempt_id
        self.number = number
        self.text = text


class Caller:
    """What one caller got for one request, over all its connections.

    Attributes:
        request_id: The request.
        idempotent: Whether it may run more than once.
        key: Idempotency key, empty for none.
        tokens: Tokens in the order of their arrival.
        n_end: Tokens that the final event told, None before it.
        body: Whole answer of a plain service, None before it.
        failure: Error kind of the final error, None without one.
        is_cut: Whether its connection ended without any final event.
        must_be_whole: Whether a planned stop hit it, so that no error is allowed.
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
        """Return whether the answer is complete."""
        return self.n_reported_tokens is not None or self.body is not None

    @property
    def is_answered(self) -> bool:
        """Return whether the caller waits no longer."""
        return self.is_complete or self.failure is not None or self.is_disconnected


class UnavailablePeriod:
    """A time during which an endpoint must get no new work."""

    __slots__ = ("endpoint", "ends_at", "starts_at")

    def __init__(self, endpoint: str, starts_at: float) -> None:
        self.endpoint = endpoint
        self.starts_at = starts_at
        self.ends_at = float("inf")


class History:
    """Everything that the checker looks at.

    Attributes:
        runs: Attempts that endpoints began.
        callers: What each caller got.
        closures: Endpoints taken out of service, each with its time.
        limits: Attempts that a cold endpoint bears, by endpoint.
        revisions: Configuration revisions in the order seen, by process.
    """

    __slots__ = ("callers", "limits", "revisions", "runs", "unavailable_periods")

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.callers: list[Caller] = []
        self.unavailable_periods: list[UnavailablePeriod] = []
        self.limits: dict[str, int] = {}
        self.revisions: dict[str, list[int]] = {}

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the attempts of a request that were begun."""
        return [run for run in self.runs if run.request_id == request_id]
