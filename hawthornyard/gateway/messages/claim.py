"""Messages that claim and settle idempotency keys."""

from ...core import Message
from ...errors import ErrorKind
from .reply import ReplyResponse


class ClaimRequested(Message):
    """Request to the table service to claim an idempotency key.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        row_key: Key of the claim's row.
        claim_id: Identifier of this claim, to recognise its write if the reply is lost.
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
    """Answer to `ClaimRequested`.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        kind: Why the claim failed; None if it succeeded or there is an outcome.
        outcome: Recorded response to an earlier request with the key, None without one.
    """

    __slots__ = ("call_id", "kind", "outcome")

    def __init__(
        self,
        call_id: str,
        kind: ErrorKind | None,
        outcome: ReplyResponse | None = None,
    ) -> None:
        self.call_id = call_id
        self.kind = kind
        self.outcome = outcome


class ClaimSettled(Message):
    """Request to the table service to record how a claimed request ended.

    Attributes:
        row_key: Key of the claim's row.
        claim_id: Identifier of the claim.
        digest: Digest of the request body.
        not_run: Whether the request was certainly not run.
        outcome: The response, None if it is unknown.
    """

    __slots__ = ("row_key", "claim_id", "digest", "not_run", "outcome")

    def __init__(
        self,
        row_key: str,
        claim_id: str,
        digest: str,
        not_run: bool,
        outcome: ReplyResponse | None,
    ) -> None:
        self.row_key = row_key
        self.claim_id = claim_id
        self.digest = digest
        self.not_run = not_run
        self.outcome = outcome
