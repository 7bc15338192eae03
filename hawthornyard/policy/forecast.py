"""Forecast when the engines of a service have capacity for waiting requests."""

import heapq
from collections import deque
from collections.abc import Sequence
from statistics import median

from ..core import Message

# Waiting requests that are simulated one by one; the starts of those behind them are
# extrapolated, which bounds the cost of a forecast.
MAX_SIMULATED = 64
# Ends of running requests that are simulated. What still waits then counts as started,
# since nothing shows that it can't: a forecast takes at most a few milliseconds.
MAX_EVENTS = 2000
# Shortest duration of a simulated request.
MIN_DURATION_S = 0.01
# Recent errors whose median is reported.
N_RECENT_ERRORS = 64


class RunningWork(Message):
    """A request that runs at an engine.

    Attributes:
        n_tokens: Memory that its end frees, in tokens.
        left_s: Expected seconds until its end.
    """

    __slots__ = ("n_tokens", "left_s")

    def __init__(self, n_tokens: int, left_s: float) -> None:
        self.n_tokens = n_tokens
        self.left_s = left_s


class EngineLoad(Message):
    """Capacity of an engine and what runs there.

    Attributes:
        n_slots: Requests that it runs concurrently.
        memory_tokens: Memory for requests in tokens, None if it is not limited.
        running: Requests of all gateways that it runs.
        available_s: Seconds until it may get new work.
    """

    __slots__ = ("n_slots", "memory_tokens", "running", "available_s")

    def __init__(
        self,
        n_slots: int,
        memory_tokens: float | None,
        running: Sequence[RunningWork],
        available_s: float = 0.0,
    ) -> None:
        self.n_slots = n_slots
        self.memory_tokens = memory_tokens
        self.running = running
        self.available_s = available_s


class WaitingWork(Message):
    """A request that waits for an engine.

    Attributes:
        n_tokens: Memory that it needs, in tokens.
        duration_s: Expected seconds from its start to its end.
        priority: Scheduling priority; 0 goes first.
        target_s: Seconds until its latest start to meet its target; from then on, later
            requests that can meet theirs go first.
        latest_s: Seconds until its latest start to be served at all.
    """

    __slots__ = ("n_tokens", "duration_s", "priority", "target_s", "latest_s")

    def __init__(
        self,
        n_tokens: int,
        duration_s: float,
        *,
        priority: int = 0,
        target_s: float = float("inf"),
        latest_s: float = float("inf"),
    ) -> None:
        self.n_tokens = n_tokens
        self.duration_s = duration_s
        self.priority = priority
        self.target_s = target_s
        self.latest_s = latest_s

    def rank(self, at: float) -> tuple[int, bool]:
        """Return its place at a number of seconds from now; the lowest goes first."""
        return self.priority, at > self.target_s


def forecast_starts(
    engines: Sequence[EngineLoad],
    waiting: Sequence[WaitingWork],
    *,
    share: float = 1.0,
) -> list[float]:
    """Return when each waiting request can start, in seconds from now.

    Addresses bursts and the loss of engines: waiting requests start, in their order, as
    running ones end; a smaller one starts before a larger one that does not fit yet,
    and one that is not served in time makes room for those behind it. Of the capacity
    that is freed, this gateway gets its share, and those that have missed their target
    get what later arrivals leave.

    Args:
        engines: Engines that may run the requests.
        waiting: Waiting requests in their order.
        share: Share of the freed capacity that other gateways leave, above 0 to 1.

    Returns:
        Seconds for each waiting request, infinite if it can't start in time.
    """
    simulated = waiting[:MAX_SIMULATED]
    starts = _Timeline(engines, simulated, share).run()
    finite = [at for at in starts if at < float("inf")]
    slowest = max(finite, default=float("inf"))
    for index in range(len(simulated), len(waiting)):
        at = slowest * (index + 1) / len(simulated)
        starts.append(at if at <= waiting[index].latest_s else float("inf"))
    return starts


class ForecastError:
    """The error of forecasts, as measured by the starts that followed."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=N_RECENT_ERRORS)

    def observe(self, forecast_s: float, actual_s: float) -> float:
        """Record a forecast and what followed, and return the error in seconds."""
        error_s = actual_s - forecast_s
        self._recent.append(error_s)
        return error_s

    @property
    def median_s(self) -> float:
        """Return the median of recent errors in seconds, above 0 for late starts."""
        return median(self._recent) if self._recent else 0.0


class _Engine:
    """Free capacity of an engine at one moment of a simulation."""

    __slots__ = ("free_slots", "free_tokens", "memory_tokens")

    def __init__(self, load: EngineLoad) -> None:
        memory_tokens = load.memory_tokens
        self.memory_tokens = float("inf") if memory_tokens is None else memory_tokens
        self.free_slots = load.n_slots - len(load.running)
        used = sum(work.n_tokens for work in load.running)
        self.free_tokens = self.memory_tokens - used

    def fits(self, work: WaitingWork) -> bool:
        """Return whether a request can start now."""
        # What is larger than the whole memory gets all of it.
        need = min(work.n_tokens, self.memory_tokens)
        return self.free_slots > 0 and self.free_tokens >= need


class _Release:
    """Capacity of an engine that becomes free.

    Attributes:
        engine: Index of the engine.
        n_slots: Slots that become free.
        n_tokens: Memory that becomes free, in tokens.
    """

    __slots__ = ("engine", "n_slots", "n_tokens")

    def __init__(self, engine: int, n_slots: int, n_tokens: int) -> None:
        self.engine = engine
        self.n_slots = n_slots
        self.n_tokens = n_tokens


class _Timeline:
    """Simulation of the ends of running requests and the starts that they allow."""

    __slots__ = (
        "_credit",
        "_engines",
        "_events",
        "_mean_s",
        "_n_events",
        "_pending",
        "_share",
        "_starts",
    )

    def __init__(
        self,
        engines: Sequence[EngineLoad],
        waiting: Sequence[WaitingWork],
        share: float,
    ) -> None:
        self._engines = [_Engine(load) for load in engines]
        self._pending = list(enumerate(waiting))
        # What takes capacity is taken to last as long as what waits here.
        total_s = sum(work.duration_s for work in waiting)
        self._mean_s = max(MIN_DURATION_S, total_s / max(1, len(waiting)))
        self._starts = [float("inf")] * len(waiting)
        self._share = share
        # Half a turn, since this gateway's place among the others is not known.
        self._credit = 0.5
        self._events: list[tuple[float, int, _Release]] = []
        self._n_events = 0
        for index, load in enumerate(engines):
            self._add_engine(index, load)

    def run(self) -> list[float]:
        """Return the start of each waiting request in seconds."""
        for index in range(len(self._engines)):
            self._start_pending(index, 0.0)
        horizon_s = max((work.latest_s for _, work in self._pending), default=0.0)
        n_done = 0
        while self._events and self._pending:
            at, _, release = heapq.heappop(self._events)
            n_done += 1
            if at > horizon_s:
                break
            if n_done > MAX_EVENTS:
                self._start_rest(at)
                break
            engine = self._engines[release.engine]
            engine.free_slots += release.n_slots
            engine.free_tokens += release.n_tokens
            self._start_pending(release.engine, at)
        return self._starts

    def _add_engine(self, index: int, load: EngineLoad) -> None:
        if load.available_s > 0:
            self._engines[index].free_slots -= load.n_slots
            opening = _Release(index, load.n_slots, 0)
            self._push(load.available_s, opening)
        for work in load.running:
            release = _Release(index, 1, work.n_tokens)
            self._push(work.left_s, release)

    def _push(self, at: float, release: _Release) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (at, self._n_events, release))

    def _takes_turn(self, at: float) -> bool:
        # Capacity that is free now is not seen by others before this gateway.
        if not at:
            return True
        self._credit += self._share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _start_pending(self, index: int, at: float) -> None:
        engine = self._engines[index]
        order = sorted(self._pending, key=lambda item: item[1].rank(at))
        self._pending = []
        for position, work in order:
            if at > work.latest_s:
                continue
            # Other gateways' requests, much like this one, have their turns.
            while engine.fits(work) and not self._takes_turn(at):
                self._take(index, at, work)
            if engine.fits(work):
                self._starts[position] = at
                self._take(index, at, work)
            else:
                self._pending.append((position, work))

    def _start_rest(self, at: float) -> None:
        # What was not simulated to its end is not known to start later.
        for position, work in self._pending:
            if at <= work.latest_s:
                self._starts[position] = at

    def _take(self, index: int, at: float, work: WaitingWork) -> None:
        self._engines[index].free_slots -= 1
        self._engines[index].free_tokens -= work.n_tokens
        self._push(at + self._mean_s, _Release(index, 1, work.n_tokens))
