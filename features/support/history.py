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
        "at",
        "n_running",
        "texts",
        "n_whole",
    )

    def __init__(
        self,
        request_id: str,
        attempt_id: str,
        endpoint: str,
        *,
        at: float = 0.0,
        n_running: int = 1,
    ) -> None:
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.at = at
        self.n_running = n_running
        self.texts: list[str] = []
        self.n_whole: int | None = None


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
        "is_cut",
        "key",
        "must_be_whole",
        "n_end",
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
        self.n_end: int | None = None
        self.body: bytes | None = None
        self.failure: ErrorKind | None = None
        self.is_cut = False
        self.must_be_whole = False

    @property
    def is_whole(self) -> bool:
        """Return whether the answer is complete."""
        return self.n_end is not None or self.body is not None

    @property
    def is_answered(self) -> bool:
        """Return whether the caller waits no longer."""
        return self.is_whole or self.failure is not None or self.is_cut


class Closure:
    """A time during which an endpoint must get no new work."""

    __slots__ = ("begins", "endpoint", "ends")

    def __init__(self, endpoint: str, begins: float) -> None:
        self.endpoint = endpoint
        self.begins = begins
        self.ends = float("inf")


class History:
    """Everything that the checker looks at.

    Attributes:
        runs: Attempts that endpoints began.
        callers: What each caller got.
        closures: Endpoints taken out of service, each with its time.
        limits: Attempts that a cold endpoint bears, by endpoint.
        revisions: Configuration revisions in the order seen, by process.
    """

    __slots__ = ("callers", "closures", "limits", "revisions", "runs")

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.callers: list[Caller] = []
        self.closures: list[Closure] = []
        self.limits: dict[str, int] = {}
        self.revisions: dict[str, list[int]] = {}

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the attempts of a request that were begun."""
        return [run for run in self.runs if run.request_id == request_id]
