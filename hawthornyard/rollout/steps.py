"""Decide what the holder of a rollout does next."""

from ..core import Message
from .evidence import Evidence
from .state import Phase, RolloutState
from .verdict import FINAL, RUNNING, SUSPECT, Verdict, judge

# Shares of the steps, as parts of the bound on the exposure. The last keeps a margin,
# since gateways hear of the end of a test at different moments.
STEP_PARTS = (0.3, 0.6, 0.95)
# Responses of the new version in a step before the next one.
RESPONSES_PER_STEP = 15
# Part of the duration after which a step ends although it has fewer responses.
STEP_TIMES = (0.15, 0.3)
# Least responses of the new version without which it can't succeed.
MIN_RESPONSES = 10
# Time for the end of the work on the old endpoints, which are stopped without draining:
# the copies of a stream take up to 1 s.
MOVE_S = 2.5
MOVE_PART = 0.25
# Time for the last write; a call of the store takes up to 1 s.
WRITE_S = 1.0
WRITE_PART = 0.1
# Only the newest responses tell of a fault that begins late.
RECENT_S = 3.0


class Step(Message):
    """Next phase and step of a rollout.

    Attributes:
        phase: Phase.
        step: Index of the share in the test phase.
        reason: Why, for operators.
        verdict: Comparison that the step follows from.
    """

    __slots__ = ("phase", "step", "reason", "verdict")

    def __init__(self, phase: Phase, step: int, reason: str, verdict: Verdict) -> None:
        self.phase = phase
        self.step = step
        self.reason = reason
        self.verdict = verdict


def share_of(phase: Phase, step: int, expose_share: float) -> float:
    """Return the share of the new version in a phase and step."""
    if phase is Phase.TEST:
        return STEP_PARTS[min(step, len(STEP_PARTS) - 1)] * expose_share
    return 0.0 if phase is Phase.ROLLED_BACK else 1.0


def decide(
    state: RolloutState,
    evidence: Evidence,
    *,
    elapsed_s: float,
    now: float,
    is_old_idle: bool,
) -> Step:
    """Return the phase and step that a rollout is to be in now.

    Args:
        state: Phase and step that it is in.
        evidence: Responses of both versions.
        elapsed_s: Seconds since it began.
        now: Monotonic time in seconds on the clock of `evidence`.
        is_old_idle: Whether no gateway runs work at the old endpoints.
    """
    verdict = _judge_all(evidence, now)
    if verdict.is_bad:
        return Step(Phase.ROLLED_BACK, state.step, verdict.reason, verdict)
    if state.phase is Phase.MOVE:
        if is_old_idle or elapsed_s >= _end_of_move_s(state):
            reason = "no work on old endpoints" if is_old_idle else "end of duration"
            return Step(Phase.SUCCEEDED, state.step, reason, verdict)
        return Step(Phase.MOVE, state.step, state.reason, verdict)
    if elapsed_s >= _end_of_test_s(state):
        return _end_of_test(state, evidence)
    return _grow(state, evidence, elapsed_s, verdict)


def describe_wait(state: RolloutState, elapsed_s: float) -> str:
    """Return what a rollout waits for, for operators.

    Args:
        state: State of the rollout.
        elapsed_s: Seconds since it began.
    """
    if state.phase.is_final:
        return "nothing: it is over"
    if state.phase is Phase.MOVE:
        left_s = _end_of_move_s(state) - elapsed_s
        return f"the end of work on old endpoints, at most {max(0.0, left_s):.1f} s"
    left_s = max(0.0, _end_of_test_s(state) - elapsed_s)
    if state.step >= len(STEP_PARTS) - 1:
        return f"the end of the test in {left_s:.1f} s"
    n_needed = RESPONSES_PER_STEP * (state.step + 1)
    return f"{n_needed} responses of the new version, or the time of the next step"


def _end_of_move_s(state: RolloutState) -> float:
    return state.duration_s - min(WRITE_S, WRITE_PART * state.duration_s)


def _end_of_test_s(state: RolloutState) -> float:
    return _end_of_move_s(state) - min(MOVE_S, MOVE_PART * state.duration_s)


def _judge_all(evidence: Evidence, now: float) -> Verdict:
    verdict = judge(evidence.all(), RUNNING)
    return verdict if verdict.is_bad else judge(evidence.since(now - RECENT_S), RUNNING)


def _end_of_test(state: RolloutState, evidence: Evidence) -> Step:
    verdict = judge(evidence.all(), FINAL)
    if verdict.is_bad:
        return Step(Phase.ROLLED_BACK, state.step, verdict.reason, verdict)
    if evidence.n_new < MIN_RESPONSES:
        reason = f"{evidence.n_new} responses, {MIN_RESPONSES} are needed"
        return Step(Phase.ROLLED_BACK, state.step, reason, verdict)
    return Step(Phase.MOVE, state.step, f"good in {evidence.n_new} responses", verdict)


def _grow(
    state: RolloutState, evidence: Evidence, elapsed_s: float, verdict: Verdict
) -> Step:
    step = state.step
    if step >= len(STEP_PARTS) - 1:
        return Step(Phase.TEST, step, state.reason, verdict)
    is_enough = evidence.n_new >= RESPONSES_PER_STEP * (step + 1)
    is_due = elapsed_s >= STEP_TIMES[step] * state.duration_s
    if not is_enough and not is_due:
        return Step(Phase.TEST, step, state.reason, verdict)
    suspect = judge(evidence.all(), SUSPECT)
    if suspect.is_bad:
        return Step(Phase.TEST, step, f"waits: {suspect.reason}", suspect)
    reason = f"good in {evidence.n_new} responses" if is_enough else "time of the step"
    return Step(Phase.TEST, step + 1, reason, verdict)
