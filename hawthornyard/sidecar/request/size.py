"""Estimate the size of an attempt in tokens."""

from ...frames import Generation
from ...policy import (
    LengthPredictor,
    LengthSource,
    Occupant,
    estimate_prompt_tokens,
    length_quantile,
)
from ..messages import Attempt

CALL_TOKENS = 1.0
MEDIAN = 0.5


def length_source(attempt: Attempt) -> LengthSource | None:
    """Return what the output length depends on, or None for a plain call."""
    work = attempt.work
    if not isinstance(work, Generation):
        return None
    return LengthSource(
        attempt.request_id, attempt.service, attempt.team, work.model, work.max_tokens
    )


def occupant(attempt: Attempt) -> Occupant:
    """Return the memory that an attempt holds and may come to hold."""
    work = attempt.work
    source = length_source(attempt)
    if source is None or not isinstance(work, Generation):
        return Occupant(LengthSource(attempt.request_id, "", "", "", 0), 0, 0)
    return Occupant(source, estimate_prompt_tokens(work.prompt), len(attempt.texts))


def expected_tokens(predictor: LengthPredictor, attempt: Attempt) -> float:
    """Return the median output of an attempt, or the cost of a plain call."""
    source = length_source(attempt)
    if source is None:
        return CALL_TOKENS
    return float(length_quantile(predictor, source, 0, MEDIAN))
