"""Choose when the prompt of a request may begin at an endpoint."""

from collections.abc import Iterator
from typing import Protocol

from ..core import Clock
from ..policy import is_long, may_begin_long
from .directory import Directory
from .endpoints import Endpoint
from .messages import Request
from .peers import Peers


class PrefillPolicy(Protocol):
    """Policy that tells whether a prompt may begin."""

    def may_begin(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the prompt of a request may begin at an endpoint now."""
        ...

    def lane(self, request: Request) -> str:
        """Return a name that requests which may begin alike have in common."""
        ...


class AnyTime:
    """Policy by which each prompt may begin at any time."""

    __slots__ = ()

    def may_begin(self, request: Request, endpoint: Endpoint) -> bool:
        """Return True."""
        return True

    def lane(self, request: Request) -> str:
        """Return the service of the request."""
        return request.service


class PrefillTurns:
    """Policy by which an engine begins one long prompt at a time.

    See `may_begin_long` for the load that it addresses. What other gateways have begun
    is known from their load reports, which are up to 2 s old; a prompt in a report is
    taken for read once the engine had the time for it.

    Args:
        directory: Deployment in force, for the target latencies.
        peers: Loads of the other gateways.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_directory", "_peers")

    def __init__(self, directory: Directory, peers: Peers, clock: Clock) -> None:
        self._directory = directory
        self._peers = peers
        self._clock = clock

    def may_begin(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the prompt of a request may begin at an endpoint now.

        It may if it is not long there, if the prefill rate of the endpoint is unknown,
        or if no long prompt is being read there.
        """
        size = request.call.size
        rate = self._cautious_rate(endpoint)
        target_s = self._directory.shortest_target_s(request.service)
        if size is None or not rate or target_s is None:
            return True
        prompt_s = size.n_prompt_tokens / rate
        if not is_long(prompt_s, target_s):
            return True
        due_at = request.arrived_at + request.route.target_s
        return may_begin_long(
            prompt_s,
            max(self._reading_s(endpoint, rate, target_s), default=None),
            due_at - self._clock.now(),
        )

    def lane(self, request: Request) -> str:
        """Return its service and route, and the magnitude of its prompt.

        A long prompt that waits for its turn must not hold up short ones.
        """
        size = request.call.size
        magnitude = size.n_prompt_tokens.bit_length() if size is not None else 0
        return f"{request.service}/{request.route.name}/{magnitude}"

    def _cautious_rate(self, endpoint: Endpoint) -> float:
        # Measured rates are too high where prompts that were counted as ahead had been
        # read already, and would end a turn early; the lowest is the closest.
        rates = (endpoint.own_prefill_rate, self._peers.prefill_rate(endpoint.name))
        return min((rate for rate in rates if rate), default=0.0)

    def _reading_s(
        self, endpoint: Endpoint, rate: float, target_s: float
    ) -> Iterator[float]:
        # Seconds until each of the long prompts there is read.
        now = self._clock.now()
        for request in endpoint.requests.values():
            attempt = request.attempt
            if attempt is None or not is_long(request.prefill_backlog / rate, target_s):
                continue
            # Without its first event, a prompt that should be read still is not.
            yield max(0.0, attempt.sent_at + attempt.n_prefill_ahead / rate - now)
        for n_tokens, age_s in self._peers.prefill_reports(endpoint.name):
            left_s = n_tokens / rate - age_s
            if left_s > 0 and is_long(n_tokens / rate, target_s):
                yield left_s
