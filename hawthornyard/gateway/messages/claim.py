"""Define the questions about idempotency keys and their answers."""

from ...core import Message
from ...errors import ErrorKind
from .reply import ReplyResponse


class ClaimRequested(Message):
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
    """The platform's answer to `ClaimRequested`.

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
        outcome: ReplyResponse | None = None,
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
        outcome: ReplyResponse | None,
    ) -> None:
        self.row_key = row_key
        self.claim_id = claim_id
        self.digest = digest
        self.not_run = not_run
        self.outcome = outcome
