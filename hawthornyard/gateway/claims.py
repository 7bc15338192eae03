"""Decide on claims of idempotency keys; rows go absent, claimed, settled."""

import enum

from ..core import Message
from ..errors import ErrorKind
from .messages import ClaimAnswered, ClaimRequested, ClaimSettled, ReplyResponse

# Clocks of hosts differ; a claim that lapsed is never taken over anyway.
CLOCK_MARGIN_S = 60.0


class ClaimState(enum.Enum):
    """Name the states of a claim's row."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class ClaimRow(Message):
    """One claim as it stands in the table.

    Attributes:
        state: State of the claim.
        claim_id: Who claimed the key last.
        digest: Digest of the request body.
        lapses_at: Unix seconds after which the claimant waits no longer.
        outcome: Recorded answer, None if it is unknown or too large to keep.
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
        item: The question.
        now: Unix seconds.
    """
    lapses_at = now + item.remaining_s + CLOCK_MARGIN_S
    return ClaimRow(ClaimState.CLAIMED, item.claim_id, item.digest, lapses_at)


def settled_row(item: ClaimSettled) -> ClaimRow:
    """Return the row that records how a claimed request ended."""
    state = ClaimState.NOT_RUN if item.not_run else ClaimState.DONE
    return ClaimRow(state, item.claim_id, item.digest, 0.0, item.outcome)


def may_claim(row: ClaimRow | None) -> bool:
    """Return whether a key is free: never claimed, or certainly not run."""
    return row is None or row.state is ClaimState.NOT_RUN


def may_settle(item: ClaimSettled, row: ClaimRow | None) -> bool:
    """Return whether a row may be settled by this claim.

    An absent row is settled as not run, so that a claim whose write is still
    on its way finds the row there and fails.
    """
    if row is None:
        return item.not_run
    return row.claim_id == item.claim_id and row.state is ClaimState.CLAIMED


def answer_claim(item: ClaimRequested, row: ClaimRow, now: float) -> ClaimAnswered:
    """Return what a row that is not free means for a request.

    Args:
        item: The question.
        row: The row of the key.
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
