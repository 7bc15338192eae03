"""Define the typed records that operators declare."""

from collections.abc import Sequence
from typing import Any

from ..core import Message

Document = dict[str, Any]

GENERATION = "generation"
HTTP = "http"


class Operation(Message):
    """One operation of a plain service.

    Attributes:
        method: HTTP method.
        path: Path prefix below the service.
        idempotent: Whether a call may be repeated.
    """

    __slots__ = ("method", "path", "idempotent")

    def __init__(self, method: str, path: str, idempotent: bool) -> None:
        self.method = method
        self.path = path
        self.idempotent = idempotent


class OpeningHours(Message):
    """A daily span in which a service expects load.

    Attributes:
        days: Weekdays, 0 for Monday.
        opens: Minute of the day, UTC.
        closes: Minute of the day, UTC.
    """

    __slots__ = ("days", "opens", "closes")

    def __init__(self, days: Sequence[int], opens: int, closes: int) -> None:
        self.days = days
        self.opens = opens
        self.closes = closes


class Service(Message):
    """A service that callers name in their requests.

    Attributes:
        name: Name in the path or, for generations, the service of a model.
        protocol: "generation" or "http".
        models: Models that the service offers; empty for "http".
        priority: 0 (bulk) to 9 (a visitor waits).
        deadline_s: Deadline of a request that states none, in seconds.
        operations: Operations of an "http" service.
        opening_hours: When load is expected.
    """

    __slots__ = (
        "name",
        "protocol",
        "models",
        "priority",
        "deadline_s",
        "operations",
        "opening_hours",
    )

    def __init__(
        self,
        name: str,
        protocol: str,
        *,
        models: Sequence[str] = (),
        priority: int = 5,
        deadline_s: float = 60.0,
        operations: Sequence[Operation] = (),
        opening_hours: Sequence[OpeningHours] = (),
    ) -> None:
        self.name = name
        self.protocol = protocol
        self.models = models
        self.priority = priority
        self.deadline_s = deadline_s
        self.operations = operations
        self.opening_hours = opening_hours

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated; unknown ones may not."""
        if self.protocol == GENERATION:
            return True
        for operation in self.operations:
            if operation.method == method and path.startswith(operation.path):
                return operation.idempotent
        return method in ("GET", "HEAD")


class FailureDomain(Message):
    """A set of hosts that fail together.

    Attributes:
        name: Name of the failure domain.
        region: Region that it lies in.
        in_service: False while operators have taken it out.
    """

    __slots__ = ("name", "region", "in_service")

    def __init__(self, name: str, region: str, in_service: bool = True) -> None:
        self.name = name
        self.region = region
        self.in_service = in_service


class Endpoint(Message):
    """A model engine or plain service instance with its sidecar.

    Attributes:
        name: Name of the endpoint.
        failure_domain: Failure domain of its host.
        sidecar: "address:port" of its sidecar.
        protocol: "generation" or "http".
        models: Models it can serve.
        services: Plain services it serves.
        memory_tokens: Engine memory for running sequences, in tokens.
        initial_limit: Attempts it bears when cold.
        max_limit: Attempts it bears when warm.
        checks_fencing: Whether it refuses orders with an old fencing number.
        leaving: True once operators retire it from service.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "sidecar",
        "protocol",
        "models",
        "services",
        "memory_tokens",
        "initial_limit",
        "max_limit",
        "checks_fencing",
        "leaving",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        sidecar: str,
        protocol: str,
        *,
        models: Sequence[str] = (),
        services: Sequence[str] = (),
        memory_tokens: int = 16384,
        initial_limit: int = 1,
        max_limit: int = 32,
        checks_fencing: bool = True,
        leaving: bool = False,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.sidecar = sidecar
        self.protocol = protocol
        self.models = models
        self.services = services
        self.memory_tokens = memory_tokens
        self.initial_limit = initial_limit
        self.max_limit = max_limit
        self.checks_fencing = checks_fencing
        self.leaving = leaving

    def serves(self, service: Service, model: str) -> bool:
        """Return whether the endpoint can run a request of the service."""
        if self.protocol != service.protocol:
            return False
        if self.protocol == GENERATION:
            return model in self.models
        return service.name in self.services


class Model(Message):
    """A language model.

    Attributes:
        name: Name that callers use.
        context_tokens: Prompt and output together, in tokens.
        weights: Name of its weights in the weight store.
        weight_bytes: Size of the weights.
    """

    __slots__ = ("name", "context_tokens", "weights", "weight_bytes")

    def __init__(
        self,
        name: str,
        context_tokens: int,
        *,
        weights: str = "",
        weight_bytes: int = 0,
    ) -> None:
        self.name = name
        self.context_tokens = context_tokens
        self.weights = weights
        self.weight_bytes = weight_bytes


class Team(Message):
    """A group of callers that share a key and limits.

    Attributes:
        name: Name of the team.
        key_hash: Salted hash of its key; see `records.key`.
        services: Services it may use.
        requests_per_s: Sustained request rate.
        tokens_per_s: Sustained output rate.
        weight: Share in fair queueing.
    """

    __slots__ = (
        "name",
        "key_hash",
        "services",
        "requests_per_s",
        "tokens_per_s",
        "weight",
    )

    def __init__(
        self,
        name: str,
        key_hash: str,
        *,
        services: Sequence[str] = (),
        requests_per_s: float = 10.0,
        tokens_per_s: float = 1000.0,
        weight: float = 1.0,
    ) -> None:
        self.name = name
        self.key_hash = key_hash
        self.services = services
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.weight = weight


Record = Service | FailureDomain | Endpoint | Model | Team
