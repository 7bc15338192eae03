"""Encode claims as rows of the table service."""

import base64
import json
from typing import Any

from ..gateway.claims import ClaimRow, ClaimState
from ..gateway.messages import ReplyResponse

MAX_OUTCOME_BYTES = 64 * 1024


def encode_claim(row: ClaimRow) -> str:
    """Return a claim as text; an outcome over the size bound is left out."""
    value: dict[str, Any] = {
        "state": row.state.value,
        "claim_id": row.claim_id,
        "digest": row.digest,
        "lapses_at": row.lapses_at,
    }
    outcome = row.outcome
    if outcome is not None and len(outcome.body) <= MAX_OUTCOME_BYTES:
        value["status"] = outcome.status
        value["headers"] = [list(pair) for pair in outcome.headers]
        value["body"] = base64.b64encode(outcome.body).decode()
    return json.dumps(value)


def decode_claim(text: str) -> ClaimRow:
    """Return the claim in a row's text."""
    value = json.loads(text)
    return ClaimRow(
        ClaimState(value["state"]),
        value["claim_id"],
        value["digest"],
        value["lapses_at"],
        _outcome(value),
    )


def _outcome(value: dict[str, Any]) -> ReplyResponse | None:
    if "status" not in value:
        return None
    body = base64.b64decode(value["body"])
    return ReplyResponse("", value["status"], value["headers"], body)
