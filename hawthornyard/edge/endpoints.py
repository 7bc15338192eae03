"""Hold what the gateway believes about the endpoints."""

from collections.abc import Iterator

from ..core import Clock
from .messages import EndpointEntry, Request
from .peers import Peers

# Weight of a new pause between events in an endpoint's mean.
GAP_WEIGHT = 0.05
# Weight of a new prefill rate in an endpoint's mean.
PREFILL_WEIGHT = 0.3
# Weight of a new answer time of a plain endpoint in its mean.
ANSWER_WEIGHT = 0.2
# Weight of a new outcome in an endpoint's share of failures.
FAILURE_WEIGHT = 0.1
# An endpoint that refused for lack of room is left alone for so long.
FULL_BACKOFF_S = 0.1
# An endpoint that was not found at its address is left alone for so long, and twice
# as long each further time: its entry may outlive it while the store is down.
ABSENT_BACKOFF_S = 0.5
MAX_ABSENT_BACKOFF_S = 8.0
# A stream that breaks off is often the first sign that its endpoint is gone.
BROKEN_BACKOFF_S = 0.3


class Endpoint:
    """One endpoint as this gateway sees it.

    Attributes:
        entry: What it says of itself.
        requests: Requests that this gateway runs there, by attempt id.
        mirrored: Requests of this gateway that it mirrors, by attempt id.
        cold_until: Monotonic seconds until which it is cold.
        leaving_since: Monotonic seconds when it was seen to leave, None before.
        backoff_until: Monotonic seconds until which it gets no new work.
        failure_rate: Share of its newest answers that were failures.
        n_absences: Times in a row that it was not found at its address.
        own_prefill_rate: Prompt tokens a second that this gateway saw it read, 0
            before the first.
        mean_gap_s: Mean pause between its events, 0 before the first.
        mean_answer_s: Mean time of its whole answers, 0 before the first.
    """

    __slots__ = (
        "_peers",
        "backoff_until",
        "cold_until",
        "entry",
        "failure_rate",
        "leaving_since",
        "mean_answer_s",
        "mean_gap_s",
        "mirrored",
        "n_absences",
        "own_prefill_rate",
        "requests",
    )

    def __init__(self, entry: EndpointEntry, peers: Peers, now: float) -> None:
        self.entry = entry
        self._peers = peers
        self.requests: dict[str, Request] = {}
        self.mirrored: dict[str, Request] = {}
        self.cold_until = now + entry.cold_s
        self.leaving_since: float | None = None
        self.backoff_until = 0.0
        self.failure_rate = 0.0
        self.n_absences = 0
        self.own_prefill_rate = 0.0
        self.mean_gap_s = 0.0
        self.mean_answer_s = 0.0

    @property
    def name(self) -> str:
        """Return the name of the endpoint."""
        return self.entry.name

    @property
    def n_own_running(self) -> int:
        """Return the requests that this gateway runs there."""
        return len(self.requests)

    @property
    def own_tokens(self) -> int:
        """Return the tokens that those and the mirrored ones are to hold."""
        running = sum(request.n_tokens for request in self.requests.values())
        return running + sum(request.n_tokens for request in self.mirrored.values())

    @property
    def n_running(self) -> int:
        """Return the requests that all gateways are known to run there."""
        return self.n_own_running + self._peers.n_running(self.name)

    @property
    def used_tokens(self) -> int:
        """Return the tokens that all gateways are known to need there."""
        return self.own_tokens + self._peers.n_tokens(self.name)

    @property
    def own_prefill_backlog(self) -> int:
        """Return the prompt tokens of this gateway that it has yet to read."""
        return sum(request.prefill_backlog for request in self.requests.values())

    @property
    def prefill_backlog(self) -> int:
        """Return the prompt tokens that it has yet to read."""
        return self.own_prefill_backlog + self._peers.prefill_backlog(self.name)

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens a second that it reads, 0 if unknown."""
        return self.own_prefill_rate or self._peers.prefill_rate(self.name)

    def note_prefill(self, n_tokens: int, seconds: float) -> None:
        """Learn how long it took to read a prompt and those before it."""
        rate = n_tokens / max(seconds, 0.001)
        weight = PREFILL_WEIGHT if self.own_prefill_rate else 1.0
        self.own_prefill_rate += weight * (rate - self.own_prefill_rate)

    def drop_mirrors(self) -> None:
        """Note that it mirrors nothing any longer."""
        for request in self.mirrored.values():
            if request.attempt is not None:
                request.attempt.mirror = ""
        self.mirrored.clear()

    def note_outcome(self, *, failed: bool) -> None:
        """Learn whether an answer was a failure."""
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def note_gap(self, seconds: float) -> None:
        """Learn a pause between two events."""
        weight = GAP_WEIGHT if self.mean_gap_s else 1.0
        self.mean_gap_s += weight * (seconds - self.mean_gap_s)

    def note_answer(self, seconds: float) -> None:
        """Learn the time of a whole answer."""
        self.n_absences = 0
        weight = ANSWER_WEIGHT if self.mean_answer_s else 1.0
        self.mean_answer_s += weight * (seconds - self.mean_answer_s)


class Endpoints:
    """All endpoints that may still be of use, by name.

    Args:
        peers: Tells what other gateways run there.
        clock: Source of time.
    """

    __slots__ = ("_by_name", "_clock", "_peers", "is_loaded")

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._by_name: dict[str, Endpoint] = {}
        self.is_loaded = False

    def __iter__(self) -> Iterator[Endpoint]:
        yield from list(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by name."""
        return self._by_name.get(name)

    def update(self, entry: EndpointEntry) -> Endpoint:
        """Take over what an endpoint says of itself."""
        now = self._clock.now()
        endpoint = self._by_name.get(entry.name)
        if endpoint is None or endpoint.entry.born != entry.born:
            endpoint = Endpoint(entry, self._peers, now)
            self._by_name[entry.name] = endpoint
        endpoint.entry = entry
        if entry.cold_s > 0:
            endpoint.cold_until = now + entry.cold_s
        if not entry.is_draining:
            endpoint.leaving_since = None
        elif endpoint.leaving_since is None:
            endpoint.leaving_since = now
        return endpoint

    def forget(self, name: str) -> None:
        """Drop an endpoint that is gone."""
        self._by_name.pop(name, None)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return [end for end in self._by_name.values() if end.entry.service == service]

    def back_off(self, name: str, seconds: float) -> None:
        """Give an endpoint no new work for a while."""
        endpoint = self._by_name.get(name)
        if endpoint is not None:
            until = self._clock.now() + seconds
            endpoint.backoff_until = max(endpoint.backoff_until, until)

    def note_absent(self, name: str) -> None:
        """Note that an endpoint was not found at its address.

        What it was to mirror has no mirror any longer.
        """
        endpoint = self._by_name.get(name)
        if endpoint is None:
            return
        seconds = ABSENT_BACKOFF_S * 2.0**endpoint.n_absences
        endpoint.n_absences += 1
        self.back_off(name, min(MAX_ABSENT_BACKOFF_S, seconds))
        endpoint.drop_mirrors()
