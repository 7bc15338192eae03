"""Choose the endpoint that mirrors a running stream."""

from typing import Protocol

from .directory import Directory
from .eligibility import Eligibility
from .endpoints import Endpoint
from .messages import Request
from .sampling import Sampling

# A shorter output ends before a mirror of its prompt would pay off.
MIN_OUTPUT_TOKENS = 64
# Mirrors may fill an engine's memory up to this share; the rest is reserved for the
# engine's own work, which mirrors would delay.
MAX_MIRROR_SHARE = 0.35


class Mirroring(Protocol):
    """Policy that chooses where a stream is mirrored."""

    def choose(self, request: Request, endpoint: Endpoint) -> Endpoint | None:
        """Return the endpoint that is to mirror a request, None for no mirror.

        Args:
            request: The request.
            endpoint: Endpoint that is about to run it.
        """
        ...


class MirrorOnLeastUsed:
    """Policy that mirrors long streams at the engine with the least memory in use.

    Engines in another failure domain than the stream's own endpoint go first.

    Args:
        directory: Deployment in force, for the memory of engines.
        eligibility: Tells which endpoints may get new work.
        sampling: Samples the endpoints that are compared.
    """

    __slots__ = ("_directory", "_eligibility", "_sampling")

    def __init__(
        self, directory: Directory, eligibility: Eligibility, sampling: Sampling
    ) -> None:
        self._directory = directory
        self._eligibility = eligibility
        self._sampling = sampling

    def choose(self, request: Request, endpoint: Endpoint) -> Endpoint | None:
        """Return the endpoint that mirrors a request; see `Mirroring.choose`."""
        rule = self._directory.service(request.service)
        if rule is None or rule.engine is None or not rule.engine.can_mirror:
            return None
        if request.n_output_tokens < MIN_OUTPUT_TOKENS:
            return None
        capacity = rule.engine.memory_tokens * MAX_MIRROR_SHARE
        with_capacity = [
            other
            for other in self._eligibility.for_request(request)
            if other.name != endpoint.name
            and other.used_tokens + request.n_tokens <= capacity
        ]
        if not with_capacity:
            return None
        domain = endpoint.entry.failure_domain
        return min(
            self._sampling.draw(with_capacity),
            key=lambda other: (
                other.entry.failure_domain == domain,
                other.used_tokens,
                other.name,
            ),
        )
