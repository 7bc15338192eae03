"""Decide on claims of idempotency keys.

The row of a key is absent at first, then claimed, then settled as done or not run.
"""

import enum

from ..core import Message
from ..errors import ErrorKind
from .messages import ClaimAnswered, ClaimRequested, ClaimSettled, ReplyResponse

# Allows for clock skew between hosts. Even an expired claim is not granted again:
# a repeat of the request then gets OUTCOME_UNKNOWN, not KEY_IN_PROGRESS.
CLOCK_SKEW_MARGIN_S = 60.0


class ClaimState(enum.Enum):
    """State of a claim's row."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class ClaimRow(Message):
    """Row of one idempotency key in the table.

    Attributes:
        state: State of the claim.
        claim_id: Identifier of the last claim of the key.
        digest: Digest of the request body.
        lapses_at: Unix seconds when the claim expires, 0 once it is settled.
        outcome: Recorded response, None if it is unknown or too large to store.
    """

    __slots__ = ("state", "claim_id", "digest", "lapses_at", "outcome")

    def __init__(
        self,
        state: ClaimState,
        claim_id: str,
        digest: str,
        lapses_at: float,
        outcome: ReplyResponse | None = None,
    ) -> None:
        self.state = state
        self.claim_id = claim_id
        self.digest = digest
        self.lapses_at = lapses_at
        self.outcome = outcome


def claimed_row(item: ClaimRequested, now: float) -> ClaimRow:
    """Return the row that claims a key.

    Args:
        item: The claim.
        now: Unix seconds.
    """
    lapses_at = now + item.remaining_s + CLOCK_SKEW_MARGIN_S
    return ClaimRow(ClaimState.CLAIMED, item.claim_id, item.digest, lapses_at)


def settled_row(item: ClaimSettled) -> ClaimRow:
    """Return the row that records how a claimed request ended."""
    state = ClaimState.NOT_RUN if item.not_run else ClaimState.DONE
    return ClaimRow(state, item.claim_id, item.digest, 0.0, item.outcome)


def may_claim(row: ClaimRow | None) -> bool:
    """Return whether a key may be claimed: it is new, or its request did not run."""
    return row is None or row.state is ClaimState.NOT_RUN


def may_settle(item: ClaimSettled, row: ClaimRow | None) -> bool:
    """Return whether this claim may settle a row.

    An absent row may be settled as not run: if the claim's own write is still
    in transit, it then finds a row and fails.
    """
    if row is None:
        return item.not_run
    return row.claim_id == item.claim_id and row.state is ClaimState.CLAIMED


def answer_claim(item: ClaimRequested, row: ClaimRow, now: float) -> ClaimAnswered:
    """Return the answer to a claim whose key already has a row.

    A row with this claim's own id means that its write succeeded, so that the
    claim is granted.

    Args:
        item: The claim.
        row: Row of the key.
        now: Unix seconds.
    """
    if row.claim_id == item.claim_id:
        return ClaimAnswered(item.call_id, None)
    if row.digest != item.digest:
        return ClaimAnswered(item.call_id, ErrorKind.KEY_REUSED)
    if row.state is ClaimState.CLAIMED and now < row.lapses_at:
        return ClaimAnswered(item.call_id, ErrorKind.KEY_IN_PROGRESS)
    if row.outcome is None:
        return ClaimAnswered(item.call_id, ErrorKind.OUTCOME_UNKNOWN)
    return ClaimAnswered(item.call_id, None, row.outcome)
