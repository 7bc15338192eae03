"""Filter chain of the sidecar."""

from collections.abc import Sequence

from ..core import Clock, DropUnexpected, Filter
from ..frames import SIDECAR_TO_GATEWAY
from ..policy import BackoffPredictor, LengthPredictor, MemoryLimit
from .attempts import Attempts
from .fleet import ApplyRecords, SendHeartbeats
from .orders import Reconcile
from .reply import AttachPeers, NumberOutput
from .request import Admit, CheckAvailability, Deduplicate, StartAttempt
from .state import SidecarState


def sidecar_chain(
    state: SidecarState,
    attempts: Attempts,
    clock: Clock,
    *,
    predictor: LengthPredictor | None = None,
    memory: MemoryLimit | None = None,
) -> Sequence[Filter]:
    """Return the filters of a sidecar, head first.

    Args:
        state: State of the sidecar.
        attempts: Registry of attempts.
        clock: Monotonic clock.
        predictor: Predictor of output lengths, `BackoffPredictor` by default.
        memory: Limit on the expected memory, derived from `predictor` by default.
    """
    predictor = predictor or BackoffPredictor()
    return [
        DropUnexpected(*SIDECAR_TO_GATEWAY),
        ApplyRecords(state.catalog),
        Reconcile(state.name, clock),
        AttachPeers(state, attempts, clock),
        NumberOutput(attempts, clock),
        Deduplicate(attempts, clock),
        CheckAvailability(state, attempts, clock),
        Admit(state, attempts, clock, predictor, memory=memory),
        StartAttempt(clock),
        SendHeartbeats(state, attempts, clock),
    ]
