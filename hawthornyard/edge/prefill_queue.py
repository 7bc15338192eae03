"""Estimate which prompts of other gateways an engine has not read yet."""

from collections.abc import Iterator

from .peers import PEER_TIMEOUT_S


class _Prompt:
    """Prompt tokens that a gateway reported as not read yet.

    Attributes:
        n_tokens: Number of tokens.
        since: Monotonic time in seconds at which they were reported first.
    """

    __slots__ = ("n_tokens", "since")

    def __init__(self, n_tokens: int, since: float) -> None:
        self.n_tokens = n_tokens
        self.since = since


class _Reported:
    """What one gateway reported last."""

    __slots__ = ("heard_at", "prompts")

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.prompts: list[_Prompt] = []


class PrefillQueue:
    """Prompts of the other gateways that wait at one engine, oldest first.

    Gateways report at once what they send and up to 2 s later that it was read, while
    an engine reads a prompt in less than half a second. Between reports the queue
    shrinks at the engine's prefill rate.
    """

    __slots__ = ("_by_gateway",)

    def __init__(self) -> None:
        self._by_gateway: dict[str, _Reported] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no gateway has reported prompts that wait."""
        return not self._by_gateway

    def note(self, gateway: str, n_tokens: int, now: float) -> None:
        """Record a report.

        Args:
            gateway: Name of the gateway that reports.
            n_tokens: Prompt tokens that it takes for not read yet.
            now: Monotonic time in seconds.
        """
        if n_tokens <= 0:
            self._by_gateway.pop(gateway, None)
            return
        self._drop_silent(now)
        reported = self._by_gateway.setdefault(gateway, _Reported())
        reported.heard_at = now
        n_new = n_tokens - sum(prompt.n_tokens for prompt in reported.prompts)
        if n_new > 0:
            reported.prompts.append(_Prompt(n_new, now))
        while n_new < 0:
            oldest = reported.prompts[0]
            n_read = min(-n_new, oldest.n_tokens)
            oldest.n_tokens -= n_read
            n_new += n_read
            if not oldest.n_tokens:
                del reported.prompts[0]

    def n_waiting(self, rate: float, now: float) -> int:
        """Return the tokens that are probably not read yet.

        Args:
            rate: Prefill rate of the engine in tokens per second.
            now: Monotonic time in seconds.
        """
        free_at = 0.0
        for prompt, confirmed_at in sorted(
            self._prompts(now), key=lambda item: item[0].since
        ):
            free_at = max(free_at, prompt.since) + prompt.n_tokens / rate
            # It was not read at the time of the newest report.
            free_at = max(free_at, confirmed_at)
        return round(max(0.0, free_at - now) * rate)

    def _drop_silent(self, now: float) -> None:
        for name, reported in list(self._by_gateway.items()):
            if now - reported.heard_at >= PEER_TIMEOUT_S:
                del self._by_gateway[name]

    def _prompts(self, now: float) -> Iterator[tuple[_Prompt, float]]:
        for reported in self._by_gateway.values():
            if now - reported.heard_at < PEER_TIMEOUT_S:
                for prompt in reported.prompts:
                    yield prompt, reported.heard_at
