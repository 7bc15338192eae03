"""Report the load of a stand-in engine with a delay."""

from collections import deque

from ..core import Message

SAMPLE_INTERVAL_S = 0.1


class LoadSample(Message):
    """The load of an engine at one time.

    Attributes:
        at: Time of the sample, in monotonic seconds.
        n_running: Running sequences.
        n_waiting: Queued sequences.
        memory_used: Share of the memory in use, 0 to 1.
        n_preempted: Preemptions since the start.
    """

    __slots__ = ("at", "n_running", "n_waiting", "memory_used", "n_preempted")

    def __init__(
        self,
        at: float = 0.0,
        n_running: int = 0,
        n_waiting: int = 0,
        memory_used: float = 0.0,
        n_preempted: int = 0,
    ) -> None:
        self.at = at
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.memory_used = memory_used
        self.n_preempted = n_preempted


class LaggedLoad:
    """A queue of load samples that reports each only when it has a given age.

    Args:
        lag_s: Least age of a reported sample in seconds.
    """

    __slots__ = ("_lag_s", "_reported", "_samples")

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[LoadSample] = deque()
        self._reported = LoadSample()

    def is_sample_due(self, now: float) -> bool:
        """Return whether `SAMPLE_INTERVAL_S` has passed since the last sample."""
        return not self._samples or now - self._samples[-1].at >= SAMPLE_INTERVAL_S

    def add(self, sample: LoadSample) -> None:
        """Append a sample."""
        self._samples.append(sample)

    def report(self, now: float) -> LoadSample:
        """Return the newest sample at least `lag_s` old, zeros if there is none."""
        while self._samples and self._samples[0].at <= now - self._lag_s:
            self._reported = self._samples.popleft()
        return self._reported
