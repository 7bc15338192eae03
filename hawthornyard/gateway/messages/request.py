"""Hold the state of one request on its way through the gateway."""

from ...core import Message
from ...frames import Generation, Work
from ...records import Service, Team


class Request(Message):
    """State of one request on its way through the gateway.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id.
        key: Idempotency key, empty for none.
        digest: Digest of the caller's body.
        work: What to run, None for a resumed generation.
        team: Team that pays.
        service: Service it belongs to.
        idempotent: Whether it may be run more than once.
        deadline: Monotonic seconds.
        claimed: Whether its idempotency key is claimed for it.
        n_attempts: Attempts that were dispatched.
        attempt_id: The current attempt, empty before the first.
        endpoint: Endpoint of the current attempt.
        incarnation: Sidecar incarnation that the attempt was sent to.
        accepted: Whether the sidecar said that it will run.
        n_delivered: Tokens handed to the caller.
        sent_at: Monotonic seconds of the dispatch.
        excluded: Endpoints that refused it.
        may_have_run: Whether an earlier attempt ended without a refusal.
        resumed: Whether the caller came back for an earlier generation.
        disconnected_at: Monotonic seconds of the disconnect, None if connected.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "key",
        "digest",
        "work",
        "team",
        "service",
        "idempotent",
        "deadline",
        "claimed",
        "n_attempts",
        "attempt_id",
        "endpoint",
        "incarnation",
        "accepted",
        "n_delivered",
        "sent_at",
        "excluded",
        "may_have_run",
        "resumed",
        "disconnected_at",
    )

    def __init__(
        self,
        call_id: str,
        request_id: str,
        work: Work | None,
        team: Team,
        service: Service,
        *,
        idempotent: bool,
        deadline: float,
        key: str = "",
        digest: str = "",
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.work = work
        self.key = key
        self.digest = digest
        self.team = team
        self.service = service
        self.idempotent = idempotent
        self.deadline = deadline
        self.claimed = False
        self.n_attempts = 0
        self.attempt_id = ""
        self.endpoint = ""
        self.incarnation = ""
        self.accepted = False
        self.n_delivered = 0
        self.sent_at = 0.0
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.resumed = False
        self.disconnected_at: float | None = None

    @property
    def model(self) -> str:
        """Return the model that is asked for, empty for a plain service."""
        return self.work.model if isinstance(self.work, Generation) else ""

    @property
    def may_rerun(self) -> bool:
        """Return whether another attempt may follow one that may have run."""
        return self.idempotent and self.n_delivered == 0 and not self.resumed
