"""Hold one generation in the stand-in engine."""

from ..core import Message


class Sequence(Message):
    """One generation in the engine.

    Attributes:
        id: Identifier given by the caller.
        n_output: Tokens it will generate.
        n_prompt: Tokens of its prompt.
        priority: Larger goes earlier and is preempted later.
        prefix: Name of the prompt prefix that it shares, empty for none.
        n_prefix: Tokens of that prefix.
        n_done: Tokens it has generated.
        n_to_prefill: Tokens to process before it generates.
        arrival_number: Position in order of arrival.
        n_preempted: How often it was preempted.
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
        """Return the tokens of memory that it holds while it runs."""
        return self.n_prompt + self.n_done
