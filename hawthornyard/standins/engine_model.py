"""Model a model engine that batches continuously, step by step."""

from ..core import Message

DEFAULT_STEP_S = 0.02


class Sequence(Message):
    """One generation in the engine.

    Attributes:
        id: Identifier given by the caller.
        n_output: Tokens it will generate.
        n_done: Tokens it has generated.
    """

    __slots__ = ("id", "n_output", "n_done")

    def __init__(self, id: str, n_output: int) -> None:
        self.id = id
        self.n_output = n_output
        self.n_done = 0


class EngineModel:
    """Generate one token a step for every running sequence.

    Args:
        step_s: Seconds that one step takes.
    """

    __slots__ = ("_running", "step_s")

    def __init__(self, *, step_s: float = DEFAULT_STEP_S) -> None:
        self.step_s = step_s
        self._running: dict[str, Sequence] = {}

    def add(self, sequence: Sequence) -> None:
        """Begin a sequence at the next step."""
        self._running[sequence.id] = sequence

    def cancel(self, sequence_id: str) -> None:
        """Drop a sequence."""
        self._running.pop(sequence_id, None)

    def step(self) -> list[Sequence]:
        """Advance every sequence by a token and return them."""
        advanced = list(self._running.values())
        for sequence in advanced:
            sequence.n_done += 1
            if sequence.n_done >= sequence.n_output:
                del self._running[sequence.id]
        return advanced
