"""Define the messages of the gateway's pipe."""

from collections.abc import Sequence

from ..core import Message
from ..errors import ErrorKind
from ..frames import Generation, Work
from ..records import Service, Team


class Call(Message):
    """A decoded request of a caller.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id, or one made for it.
        bearer: Team key, empty if none was sent.
        service: Service name; empty if the model decides.
        work: What to run.
        key: Idempotency key, empty for none.
        digest: Digest of the body, to recognise a reused key.
        timeout_s: Seconds that the caller allows, None for the service's default.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "bearer",
        "service",
        "work",
        "key",
        "digest",
        "timeout_s",
    )

    def __init__(
        self,
        call_id: str,
        request_id: str,
        bearer: str,
        service: str,
        work: Work,
        *,
        key: str = "",
        digest: str = "",
        timeout_s: float | None = None,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.bearer = bearer
        self.service = service
        self.work = work
        self.key = key
        self.digest = digest
        self.timeout_s = timeout_s


class Reconnect(Message):
    """A caller that asks for the rest of a generation.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id.
        bearer: Team key.
        endpoint: Endpoint that runs the generation.
        attempt_id: The attempt.
        offset: Number of tokens that the caller has.
        timeout_s: Seconds that the caller allows, None for the default.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "bearer",
        "endpoint",
        "attempt_id",
        "offset",
        "timeout_s",
    )

    def __init__(
        self,
        call_id: str,
        request_id: str,
        bearer: str,
        endpoint: str,
        attempt_id: str,
        offset: int,
        *,
        timeout_s: float | None = None,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.bearer = bearer
        self.endpoint = endpoint
        self.attempt_id = attempt_id
        self.offset = offset
        self.timeout_s = timeout_s


class ModelsQuery(Message):
    """A caller that asks which models it may use."""

    __slots__ = ("call_id", "bearer")

    def __init__(self, call_id: str, bearer: str) -> None:
        self.call_id = call_id
        self.bearer = bearer


class CallerGone(Message):
    """The caller closed its connection."""

    __slots__ = ("call_id",)

    def __init__(self, call_id: str) -> None:
        self.call_id = call_id


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
        detached_at: Monotonic seconds when its connection was lost, None if it holds.
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
        "detached_at",
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
        self.detached_at: float | None = None

    @property
    def model(self) -> str:
        """Return the model that is asked for, empty for a plain service."""
        return self.work.model if isinstance(self.work, Generation) else ""

    @property
    def may_rerun(self) -> bool:
        """Return whether another attempt may follow one that may have run."""
        return self.idempotent and self.n_delivered == 0 and not self.resumed


class Authenticated(Message):
    """A call whose team is known."""

    __slots__ = ("call", "team")

    def __init__(self, call: Call, team: Team) -> None:
        self.call = call
        self.team = team


class Reattached(Message):
    """A reconnecting caller whose team is known."""

    __slots__ = ("call", "team")

    def __init__(self, call: Reconnect, team: Team) -> None:
        self.call = call
        self.team = team


class ModelsAsked(Message):
    """A query for models whose team is known."""

    __slots__ = ("call_id", "team")

    def __init__(self, call_id: str, team: Team) -> None:
        self.call_id = call_id
        self.team = team


class _OfRequest(Message):
    __slots__ = ()
    request: Request

    @property
    def call_id(self) -> str:
        """Return the identifier of the HTTP exchange."""
        return self.request.call_id


class Resolved(_OfRequest):
    """A request whose service, class and deadline are known."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Permitted(_OfRequest):
    """A request within its team's limits."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Released(_OfRequest):
    """A request that left the fair queue."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Claimed(_OfRequest):
    """A request that may be dispatched as far as its key is concerned."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Routed(_OfRequest):
    """A request with the endpoint chosen for its next attempt."""

    __slots__ = ("request", "endpoint")

    def __init__(self, request: Request, endpoint: str) -> None:
        self.request = request
        self.endpoint = endpoint


class AttemptFailed(_OfRequest):
    """An attempt that another attempt may follow.

    Attributes:
        request: The request.
        kind: Why the attempt failed.
        detail: What happened.
    """

    __slots__ = ("request", "kind", "detail")

    def __init__(self, request: Request, kind: ErrorKind, detail: str = "") -> None:
        self.request = request
        self.kind = kind
        self.detail = detail


class Closed(_OfRequest):
    """A request that was answered.

    Attributes:
        request: The request.
        kind: Error kind, None for success.
        outcome: Answer to record for a claimed key, None for none.
    """

    __slots__ = ("request", "kind", "outcome")

    def __init__(
        self,
        request: Request,
        kind: ErrorKind | None = None,
        outcome: "ReplyWhole | None" = None,
    ) -> None:
        self.request = request
        self.kind = kind
        self.outcome = outcome


class ReplyStarted(Message):
    """The caller's generation was dispatched to an endpoint."""

    __slots__ = ("call_id", "endpoint", "attempt_id")

    def __init__(self, call_id: str, endpoint: str, attempt_id: str) -> None:
        self.call_id = call_id
        self.endpoint = endpoint
        self.attempt_id = attempt_id


class ReplyTokens(Message):
    """Consecutive tokens for a caller.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        endpoint: Endpoint that generates.
        attempt_id: The attempt.
        offset: Number of the first token.
        texts: One text a token.
    """

    __slots__ = ("call_id", "endpoint", "attempt_id", "offset", "texts")

    def __init__(
        self,
        call_id: str,
        endpoint: str,
        attempt_id: str,
        offset: int,
        texts: Sequence[str],
    ) -> None:
        self.call_id = call_id
        self.endpoint = endpoint
        self.attempt_id = attempt_id
        self.offset = offset
        self.texts = texts


class ReplyEnded(Message):
    """The whole generation was delivered."""

    __slots__ = ("call_id", "n_tokens", "reason")

    def __init__(self, call_id: str, n_tokens: int, reason: str) -> None:
        self.call_id = call_id
        self.n_tokens = n_tokens
        self.reason = reason


class ReplyWhole(Message):
    """The whole answer of a plain service."""

    __slots__ = ("call_id", "status", "headers", "body", "replayed")

    def __init__(
        self,
        call_id: str,
        status: int,
        headers: Sequence[Sequence[str]],
        body: bytes,
        replayed: bool = False,
    ) -> None:
        self.call_id = call_id
        self.status = status
        self.headers = headers
        self.body = body
        self.replayed = replayed


class ReplyFailed(Message):
    """A request that ends in an error.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        kind: Row of the answer table.
        detail: What happened.
        n_delivered: Tokens that the caller got before.
    """

    __slots__ = ("call_id", "kind", "detail", "n_delivered")

    def __init__(
        self, call_id: str, kind: ErrorKind, detail: str = "", n_delivered: int = 0
    ) -> None:
        self.call_id = call_id
        self.kind = kind
        self.detail = detail
        self.n_delivered = n_delivered


class ReplyModels(Message):
    """The names of the models that a team may use."""

    __slots__ = ("call_id", "models")

    def __init__(self, call_id: str, models: Sequence[str]) -> None:
        self.call_id = call_id
        self.models = models


class ClaimAsked(Message):
    """A question to the platform: claim this idempotency key.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        row_key: Key of the claim's row.
        claim_id: Identifier of this claim, to recognise a lost reply.
        digest: Digest of the request body.
        remaining_s: Seconds until the request's deadline.
    """

    __slots__ = ("call_id", "row_key", "claim_id", "digest", "remaining_s")

    def __init__(
        self,
        call_id: str,
        row_key: str,
        claim_id: str,
        digest: str,
        remaining_s: float,
    ) -> None:
        self.call_id = call_id
        self.row_key = row_key
        self.claim_id = claim_id
        self.digest = digest
        self.remaining_s = remaining_s


class ClaimAnswered(Message):
    """The platform's answer to `ClaimAsked`.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        kind: None if the claim is held by this request, else why not.
        outcome: Recorded answer of an earlier request with the key.
    """

    __slots__ = ("call_id", "kind", "outcome")

    def __init__(
        self,
        call_id: str,
        kind: ErrorKind | None,
        outcome: ReplyWhole | None = None,
    ) -> None:
        self.call_id = call_id
        self.kind = kind
        self.outcome = outcome


class ClaimSettled(Message):
    """An order to the platform: record how a claimed request ended.

    Attributes:
        row_key: Key of the claim's row.
        claim_id: The claim.
        digest: Digest of the request body.
        not_run: Whether the request was certainly not run.
        outcome: The answer, None if it is unknown.
    """

    __slots__ = ("row_key", "claim_id", "digest", "not_run", "outcome")

    def __init__(
        self,
        row_key: str,
        claim_id: str,
        digest: str,
        not_run: bool,
        outcome: ReplyWhole | None,
    ) -> None:
        self.row_key = row_key
        self.claim_id = claim_id
        self.digest = digest
        self.not_run = not_run
        self.outcome = outcome


class ConfigChanged(Message):
    """The records in force changed.

    Attributes:
        revision: Revision now in force.
        before: Revision in force before.
    """

    __slots__ = ("revision", "before")

    def __init__(self, revision: int, before: int) -> None:
        self.revision = revision
        self.before = before


class StopListening(Message):
    """An order to the rim: accept no further connection of callers."""

    __slots__ = ()


class LinkWanted(Message):
    """An order to the rim: connect to a sidecar outside the subset.

    Attributes:
        endpoint: Name of the endpoint.
    """

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint


class HeartbeatsExpected(Message):
    """An order to the rim: replace a connection that is silent for longer.

    Attributes:
        interval_s: Seconds between heartbeats.
    """

    __slots__ = ("interval_s",)

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s


class ConnectionSuspected(Message):
    """An order to the rim: replace the connection to a peer."""

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer
