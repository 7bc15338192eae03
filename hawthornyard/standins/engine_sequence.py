"""Define the state of one generation in a stand-in engine."""

from ..core import Message


class Sequence(Message):
    """One generation in the engine.

    Attributes:
        id: Identifier, unique in the engine.
        n_output: Tokens to generate in all.
        n_prompt: Tokens of the prompt.
        priority: The larger, the earlier it starts and the later it is preempted.
        prefix: Name of the prompt prefix in the prefix cache, empty for none.
        n_prefix: Tokens of that prefix.
        n_done: Tokens generated so far.
        n_to_prefill: Tokens left to prefill before it generates.
        arrival_number: Position in order of arrival, from 1; 0 before it is added.
        n_preempted: Preemptions of this sequence.
        last_token_at: Monotonic seconds of its last token, None before the first.
    """

    __slots__ = (
        "id",
        "n_output",
        "n_prompt",
        "priority",
        "prefix",
        "n_prefix",
        "n_done",
        "n_to_prefill",
        "arrival_number",
        "n_preempted",
        "last_token_at",
    )

    def __init__(
        self,
        id: str,
        n_output: int,
        *,
        n_prompt: int = 0,
        priority: int = 0,
        prefix: str = "",
        n_prefix: int = 0,
    ) -> None:
        self.id = id
        self.n_output = n_output
        self.n_prompt = n_prompt
        self.priority = priority
        self.prefix = prefix
        self.n_prefix = n_prefix
        self.n_done = 0
        self.n_to_prefill = 0
        self.arrival_number = 0
        self.n_preempted = 0
        self.last_token_at: float | None = None

    @property
    def n_memory_tokens(self) -> int:
        """Return the tokens of memory that the sequence takes while it runs."""
        return self.n_prompt + self.n_done
