"""State of one request in the gateway."""

from ...core import Message
from ...frames import Generation, Work
from ...records import Service, Team


class Request(Message):
    """State of one request in the gateway, from `Resolved` to `Closed`.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id.
        key: Idempotency key, empty for none.
        digest: Digest of the caller's body.
        work: Generation or service call to run, None for a resumed generation.
        team: Team that is charged for the request.
        service: Service that the request is for, a placeholder if it is resumed.
        idempotent: Whether the request may run more than once.
        deadline: Deadline in monotonic seconds.
        claimed: Whether the idempotency key is claimed for this request.
        n_attempts: Number of dispatched attempts.
        attempt_id: The current attempt, empty if there is none.
        endpoint: Endpoint of the latest attempt, empty before the first.
        incarnation: Sidecar incarnation that the latest attempt was sent to, empty if
            unknown.
        accepted: Whether the sidecar accepted the current attempt.
        n_delivered: Number of tokens relayed to the caller; for a resumed generation,
            including those that the caller had before.
        sent_at: Monotonic seconds when the latest attempt was sent.
        excluded: Endpoints where earlier attempts failed.
        may_have_run: Whether an earlier attempt failed without being refused.
        resumed: Whether the caller resumes an earlier generation.
        disconnected_at: Monotonic seconds when the sidecar disconnected, None if it is
            connected.
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
        """Return the requested model, empty for a plain service."""
        return self.work.model if isinstance(self.work, Generation) else ""

    @property
    def may_rerun(self) -> bool:
        """Return whether to retry although the last attempt may have run."""
        return self.idempotent and self.n_delivered == 0 and not self.resumed
