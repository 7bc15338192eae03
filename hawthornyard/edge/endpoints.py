"""Track the endpoints and their state as seen by this gateway."""

from collections.abc import Iterator

from ..core import Clock
from .allowance import Allowance
from .messages import EndpointEntry, Request
from .pace import Pace
from .peers import Peers
from .prefill_queue import PrefillQueue

# Weights of a new sample in the exponential moving averages of an endpoint: the gap
# between events, the prefill rate, the answer time and the failure rate.
GAP_WEIGHT = 0.05
PREFILL_WEIGHT = 0.3
ANSWER_WEIGHT = 0.2
FAILURE_WEIGHT = 0.1
# Weights of a gap in the usual gap, if it is shorter and if it is longer: most gaps
# are usual ones, and those while a prompt is read or the machine is slow are longer.
SHORTER_GAP_WEIGHT = 0.08
LONGER_GAP_WEIGHT = 0.02
# Backoff from an endpoint that refused for lack of capacity.
FULL_BACKOFF_S = 0.1
# Initial backoff from an endpoint that was not found at its address; it doubles each
# further time, since the entry may outlive its endpoint while the store is down.
ABSENT_BACKOFF_S = 0.5
MAX_ABSENT_BACKOFF_S = 8.0
# Backoff after a broken stream, which is often the first sign of a lost endpoint.
BROKEN_BACKOFF_S = 0.3
# Incarnations remembered to be leaving; the oldest are forgotten first.
MAX_LEAVING_INCARNATIONS = 4096


class Endpoint:
    """State of one endpoint as this gateway sees it.

    Attributes:
        entry: Newest entry that it published.
        requests: Requests that this gateway runs there, by attempt id.
        mirrored: Requests of this gateway that it mirrors, by attempt id.
        leaving_since: Monotonic time in seconds when it was seen to leave, None before.
        has_announced_leaving: Whether it said itself that it leaves, which is final.
        is_retired: Whether the traffic of its version moved to another version.
        allowance: What restricts its requests for a time.
        failure_rate: Moving average of the share of failures among its answers.
        n_absences: Consecutive times that it was not found at its address.
        own_prefill_rate: Moving average of its prefill rate as measured by this
            gateway, in tokens per second, 0 before the first measurement.
        mean_gap_s: Moving average of the gap between its events, 0 before the first.
        mean_answer_s: Moving average of the time of whole answers, 0 before the first.
        pace: How long work takes there at this moment.
        prefills: Prompts of other gateways that wait there.
        usual_gap_s: Gap between its events while nothing slows it down, 0 before the
            first.
    """

    __slots__ = (
        "_clock",
        "_peers",
        "allowance",
        "entry",
        "failure_rate",
        "has_announced_leaving",
        "is_retired",
        "leaving_since",
        "mean_answer_s",
        "mean_gap_s",
        "mirrored",
        "n_absences",
        "own_prefill_rate",
        "pace",
        "prefills",
        "requests",
        "usual_gap_s",
    )

    def __init__(self, entry: EndpointEntry, peers: Peers, clock: Clock) -> None:
        self.entry = entry
        self._clock = clock
        self._peers = peers
        self.requests: dict[str, Request] = {}
        self.mirrored: dict[str, Request] = {}
        self.leaving_since: float | None = None
        self.has_announced_leaving = False
        self.is_retired = False
        self.allowance = Allowance(clock)
        self.failure_rate = 0.0
        self.n_absences = 0
        self.own_prefill_rate = 0.0
        self.mean_gap_s = 0.0
        self.mean_answer_s = 0.0
        self.pace = Pace(clock)
        self.prefills = PrefillQueue()
        self.usual_gap_s = 0.0

    @property
    def name(self) -> str:
        """Return the name of the endpoint."""
        return self.entry.name

    @property
    def n_own_running(self) -> int:
        """Return how many requests this gateway runs there."""
        return len(self.requests)

    @property
    def own_tokens(self) -> int:
        """Return the tokens expected for this gateway's runs and mirrors there."""
        running = sum(request.n_tokens for request in self.requests.values())
        return running + sum(request.n_tokens for request in self.mirrored.values())

    @property
    def n_running(self) -> int:
        """Return how many requests all gateways are known to run there."""
        return self.n_own_running + self._peers.n_running(self.name)

    @property
    def used_tokens(self) -> int:
        """Return how many tokens all gateways are known to need there."""
        return self.own_tokens + self._peers.n_tokens(self.name)

    @property
    def own_prefill_backlog(self) -> int:
        """Return the prompt tokens of this gateway that await prefill."""
        return sum(request.prefill_backlog for request in self.requests.values())

    @property
    def prefill_backlog(self) -> int:
        """Return the prompt tokens of all gateways that await prefill.

        Of an endpoint that reports a pace, those that it has probably read since the
        other gateways' reports do not count.
        """
        n_own = self.own_prefill_backlog
        is_paced = self.pace.is_reported
        if is_paced and self.prefills.is_empty:
            return n_own
        # The rate may be a mean over hundreds of gateways: not taken without need.
        rate = self.prefill_rate if is_paced else 0.0
        if not rate:
            return n_own + self._peers.prefill_backlog(self.name)
        return n_own + self.prefills.n_waiting(rate, self._clock.now())

    @property
    def prefill_rate(self) -> float:
        """Return its prefill rate in tokens per second, 0 if unknown."""
        return self.own_prefill_rate or self._peers.prefill_rate(self.name)

    def note_leaving(self, now: float, *, is_announced: bool) -> bool:
        """Record that it leaves.

        Args:
            now: Monotonic time in seconds.
            is_announced: Whether it said so itself; else its entry is missing, which
                may be back.

        Returns:
            Whether it was not known to leave before.
        """
        self.has_announced_leaving = self.has_announced_leaving or is_announced
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True

    def note_prefill(self, n_tokens: int, seconds: float) -> None:
        """Record a measured prefill.

        Args:
            n_tokens: Prompt tokens prefilled, those queued ahead included.
            seconds: Time that they took.
        """
        rate = n_tokens / max(seconds, 0.001)
        weight = PREFILL_WEIGHT if self.own_prefill_rate else 1.0
        self.own_prefill_rate += weight * (rate - self.own_prefill_rate)

    def drop_mirrors(self) -> None:
        """Forget all its mirrors."""
        for request in self.mirrored.values():
            if request.attempt is not None:
                request.attempt.mirror = ""
        self.mirrored.clear()

    def note_outcome(self, *, failed: bool) -> None:
        """Record whether an answer was a failure."""
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def note_gap(self, seconds: float) -> None:
        """Record the gap between two events."""
        weight = GAP_WEIGHT if self.mean_gap_s else 1.0
        self.mean_gap_s += weight * (seconds - self.mean_gap_s)
        self._note_usual_gap(seconds)

    def _note_usual_gap(self, seconds: float) -> None:
        if not self.usual_gap_s:
            self.usual_gap_s = seconds / max(1.0, self.pace.factor)
            return
        self.pace.check(seconds / self.usual_gap_s)
        if self.pace.is_slow:
            return
        is_shorter = seconds < self.usual_gap_s
        weight = SHORTER_GAP_WEIGHT if is_shorter else LONGER_GAP_WEIGHT
        self.usual_gap_s += weight * (seconds - self.usual_gap_s)

    def note_answer(self, seconds: float) -> None:
        """Record the time of a whole answer, and that the endpoint was found."""
        self.n_absences = 0
        weight = ANSWER_WEIGHT if self.mean_answer_s else 1.0
        self.mean_answer_s += weight * (seconds - self.mean_answer_s)


class Endpoints:
    """The known endpoints, by name.

    Args:
        peers: Loads of the other gateways.
        clock: Source of time.

    Attributes:
        is_loaded: Whether entries were read at least once.
        paced_services: Services of which some endpoint has reported a pace.
    """

    __slots__ = (
        "_leaving_incarnations",
        "_by_name",
        "_clock",
        "_peers",
        "is_loaded",
        "paced_services",
    )

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._by_name: dict[str, Endpoint] = {}
        # Names and start times of those that announced it, oldest first.
        self._leaving_incarnations: dict[tuple[str, int], None] = {}
        self.is_loaded = False
        self.paced_services: set[str] = set()

    def __iter__(self) -> Iterator[Endpoint]:
        yield from list(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by name, None if it is unknown."""
        return self._by_name.get(name)

    def update(self, entry: EndpointEntry) -> Endpoint:
        """Store the newest entry of an endpoint and return its state.

        A new endpoint or incarnation starts without measurements or requests. An entry
        of an incarnation that has announced its leaving never brings it back: the
        announcement may have come from the endpoint itself, ahead of an older entry or
        of the first one.
        """
        now = self._clock.now()
        endpoint = self._by_name.get(entry.name)
        if endpoint is None or endpoint.entry.born != entry.born:
            endpoint = Endpoint(entry, self._peers, self._clock)
            self._by_name[entry.name] = endpoint
        endpoint.entry = entry
        if entry.cold_s > 0:
            endpoint.allowance.cold.set_remaining(entry.cold_s)
        if entry.is_draining:
            self._remember_leaving(entry.name, entry.born)
        if entry.is_draining or self._has_announced_leaving(entry):
            endpoint.note_leaving(now, is_announced=True)
        elif not endpoint.has_announced_leaving:
            endpoint.leaving_since = None
        return endpoint

    def note_announced_leaving(self, name: str, born: int) -> Endpoint | None:
        """Record that an incarnation of an endpoint announced that it leaves.

        Args:
            name: Name of the endpoint.
            born: Incarnation, whose entry may not have been read yet.

        Returns:
            The endpoint if it has this incarnation and was not known to leave, else
            None.
        """
        self._remember_leaving(name, born)
        endpoint = self._by_name.get(name)
        if endpoint is None or endpoint.entry.born != born:
            return None
        is_news = endpoint.note_leaving(self._clock.now(), is_announced=True)
        return endpoint if is_news else None

    def _remember_leaving(self, name: str, born: int) -> None:
        self._leaving_incarnations[name, born] = None
        if len(self._leaving_incarnations) > MAX_LEAVING_INCARNATIONS:
            del self._leaving_incarnations[next(iter(self._leaving_incarnations))]

    def _has_announced_leaving(self, entry: EndpointEntry) -> bool:
        # Entries without a start time do not tell one incarnation from the next.
        is_known = (entry.name, entry.born) in self._leaving_incarnations
        return bool(entry.born) and is_known

    def forget(self, name: str) -> None:
        """Remove an endpoint that is gone."""
        self._by_name.pop(name, None)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return [end for end in self._by_name.values() if end.entry.service == service]

    def back_off(self, name: str, seconds: float) -> None:
        """Send no new work to an endpoint for a number of seconds."""
        endpoint = self._by_name.get(name)
        if endpoint is not None:
            endpoint.allowance.backoff.extend(seconds)

    def note_absent(self, name: str) -> None:
        """Record that an endpoint was not found at its address.

        Backs off exponentially and forgets its mirrors.
        """
        endpoint = self._by_name.get(name)
        if endpoint is None:
            return
        seconds = ABSENT_BACKOFF_S * 2.0**endpoint.n_absences
        endpoint.n_absences += 1
        self.back_off(name, min(MAX_ABSENT_BACKOFF_S, seconds))
        endpoint.drop_mirrors()
