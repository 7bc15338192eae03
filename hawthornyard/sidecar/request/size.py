"""Size estimates of attempts in tokens."""

from ...frames import Generation
from ...policy import (
    LengthPredictor,
    LengthSource,
    Occupant,
    estimate_prompt_tokens,
    length_quantile,
)
from ..messages import Attempt

# Cost of a service call in the fair queue, which shares out tokens.
SERVICE_CALL_TOKENS = 1.0
MEDIAN = 0.5


def length_source(attempt: Attempt) -> LengthSource | None:
    """Return the inputs of length prediction, None for a service call."""
    work = attempt.work
    if not isinstance(work, Generation):
        return None
    return LengthSource(
        attempt.request_id, attempt.service, attempt.team, work.model, work.max_tokens
    )


def occupant(attempt: Attempt) -> Occupant:
    """Return the attempt as an occupant of memory, 0 tokens for a service call."""
    work = attempt.work
    source = length_source(attempt)
    if source is None or not isinstance(work, Generation):
        return Occupant(LengthSource(attempt.request_id, "", "", "", 0), 0, 0)
    return Occupant(source, estimate_prompt_tokens(work.prompt), len(attempt.texts))


def expected_tokens(predictor: LengthPredictor, attempt: Attempt) -> float:
    """Return the median output length in tokens, or the cost of a service call."""
    source = length_source(attempt)
    if source is None:
        return SERVICE_CALL_TOKENS
    return float(length_quantile(predictor, source, 0, MEDIAN))
