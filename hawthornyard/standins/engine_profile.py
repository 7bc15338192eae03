"""Describe the speed and capacity of a stand-in engine."""

from ..core import Message

DEFAULT_STEP_S = 0.02


class EngineProfile(Message):
    """The fixed properties of one engine.

    Attributes:
        step_s: Seconds of a step with an empty batch.
        sequence_s: Seconds that each running sequence adds to a step.
        prefill_token_s: Seconds that each prefilled token adds to a step.
        prefill_chunk: Most tokens that are prefilled in one step.
        memory_tokens: Tokens of running sequences that fit in memory.
        max_batch: Most sequences that run at once.
        cache_tokens: Tokens that the prefix cache holds at most.
        cold_batch_limit: Sequences that an engine runs at full speed when its warm-up
            starts.
        warm_up_s: Seconds of work until the engine is warm; 0 for always warm.
        cold_slowdown: Factor by which a step takes longer if its batch is over the
            limit of an engine that is not warm yet.
        load_lag_s: Seconds by which load reports are late.
        event_lag_s: Seconds by which cache events are late.
        event_loss_ratio: Share of cache events that are never published, 0 to 1.
    """

    __slots__ = (
        "step_s",
        "sequence_s",
        "prefill_token_s",
        "prefill_chunk",
        "memory_tokens",
        "max_batch",
        "cache_tokens",
        "cold_batch_limit",
        "warm_up_s",
        "cold_slowdown",
        "load_lag_s",
        "event_lag_s",
        "event_loss_ratio",
    )

    def __init__(
        self,
        *,
        step_s: float = DEFAULT_STEP_S,
        sequence_s: float = 0.0,
        prefill_token_s: float = 0.0,
        prefill_chunk: int = 2048,
        memory_tokens: int = 16384,
        max_batch: int = 256,
        cache_tokens: int = 8192,
        cold_batch_limit: int = 2,
        warm_up_s: float = 0.0,
        cold_slowdown: float = 8.0,
        load_lag_s: float = 0.5,
        event_lag_s: float = 1.0,
        event_loss_ratio: float = 0.05,
    ) -> None:
        self.step_s = step_s
        self.sequence_s = sequence_s
        self.prefill_token_s = prefill_token_s
        self.prefill_chunk = prefill_chunk
        self.memory_tokens = memory_tokens
        self.max_batch = max_batch
        self.cache_tokens = cache_tokens
        self.cold_batch_limit = cold_batch_limit
        self.warm_up_s = warm_up_s
        self.cold_slowdown = cold_slowdown
        self.load_lag_s = load_lag_s
        self.event_lag_s = event_lag_s
        self.event_loss_ratio = event_loss_ratio
