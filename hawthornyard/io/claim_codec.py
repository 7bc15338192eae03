"""Encode claims as JSON texts for rows of the table service."""

import base64
import json
from typing import Any

from ..errors import RecordError
from ..gateway.claims import ClaimRow, ClaimState
from ..gateway.messages import ReplyResponse

MAX_OUTCOME_BYTES = 64 * 1024


def encode_claim(claim: ClaimRow) -> str:
    """Return a claim as JSON.

    An outcome whose body is over `MAX_OUTCOME_BYTES` is left out.
    """
    value: dict[str, Any] = {
        "state": claim.state.value,
        "claim_id": claim.claim_id,
        "digest": claim.digest,
        "lapses_at": claim.lapses_at,
    }
    outcome = claim.outcome
    if outcome is not None and len(outcome.body) <= MAX_OUTCOME_BYTES:
        value["status"] = outcome.status
        value["headers"] = [list(pair) for pair in outcome.headers]
        value["body"] = base64.b64encode(outcome.body).decode()
    return json.dumps(value)


def decode_claim(text: str) -> ClaimRow:
    """Return the claim that a row's text encodes.

    The `outcome` is None if the row has none, or if it was too large to store.

    Raises:
        RecordError: If the text is not an encoded claim.
    """
    try:
        value = json.loads(text)
        return ClaimRow(
            ClaimState(value["state"]),
            str(value["claim_id"]),
            str(value["digest"]),
            float(value["lapses_at"]),
            _decode_outcome(value),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        raise RecordError(f"the claim is malformed: {exc!r}") from exc


def _decode_outcome(value: dict[str, Any]) -> ReplyResponse | None:
    if "status" not in value:
        return None
    body = base64.b64decode(value["body"])
    return ReplyResponse("", value["status"], value["headers"], body)
