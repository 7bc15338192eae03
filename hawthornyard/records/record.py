"""Define the typed records that operators declare."""

from collections.abc import Sequence
from typing import Any

from ..core import Message

Document = dict[str, Any]

GENERATION = "generation"
HTTP = "http"


class Operation(Message):
    """An operation of a plain HTTP service.

    Attributes:
        method: HTTP method.
        path: Path prefix, relative to the service.
        idempotent: Whether a call may be retried after it may have run.
    """

    __slots__ = ("method", "path", "idempotent")

    def __init__(self, method: str, path: str, idempotent: bool) -> None:
        self.method = method
        self.path = path
        self.idempotent = idempotent


class OpeningHours(Message):
    """A daily period in which load on a service is expected.

    Attributes:
        days: Weekdays, 0 for Monday to 6 for Sunday.
        opens: Start of the period, in minutes after midnight UTC.
        closes: End of the period, in minutes after midnight UTC.
    """

    __slots__ = ("days", "opens", "closes")

    def __init__(self, days: Sequence[int], opens: int, closes: int) -> None:
        self.days = days
        self.opens = opens
        self.closes = closes


class Service(Message):
    """A service that callers name in their requests.

    Attributes:
        name: Name of the service; callers of an "http" service give it in the path.
        protocol: "generation" or "http".
        models: Names of the models that the service offers; empty for "http".
        priority: Priority of its requests, 0 (bulk) to 9 (a visitor waits).
        deadline_s: Default deadline of a request, in seconds after it arrives.
        operations: Declared operations of an "http" service.
        opening_hours: Periods in which load is expected.
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
        """Return whether a call may be retried after it may have run.

        Every generation may; of the calls that no operation declares, only GET and
        HEAD.
        """
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
        region: Region of its hosts.
        in_service: False while operators have taken it out of service.
    """

    __slots__ = ("name", "region", "in_service")

    def __init__(self, name: str, region: str, in_service: bool = True) -> None:
        self.name = name
        self.region = region
        self.in_service = in_service


class Endpoint(Message):
    """A model engine or an instance of a plain HTTP service, with its sidecar.

    Attributes:
        name: Name of the endpoint.
        failure_domain: Failure domain of its host.
        sidecar: "address:port" of its sidecar.
        protocol: "generation" or "http".
        models: Names of the models that it can serve.
        services: Names of the plain HTTP services that it serves.
        memory_tokens: Engine memory for running sequences, in tokens.
        initial_limit: Limit of concurrent requests when cold, as after a start.
        max_limit: Limit of concurrent requests when warm.
        checks_fencing: Whether it refuses orders with an old fencing number itself.
        leaving: True while operators drain it.
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
        """Return whether the endpoint can run requests of a service.

        Args:
            service: The service.
            model: Name of the requested model, ignored for "http".
        """
        if self.protocol != service.protocol:
            return False
        if self.protocol == GENERATION:
            return model in self.models
        return service.name in self.services


class Model(Message):
    """A language model.

    Attributes:
        name: Name that callers use.
        context_tokens: Maximum length of prompt and output together, in tokens.
        weights: Name of its weights in the weight store, empty for none.
        weight_bytes: Size of the weights, in bytes.
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
        key_hash: Salted hash of the secret in its key; see `records.team_key`.
        services: Names of the services that it may use.
        requests_per_s: Sustained request rate.
        tokens_per_s: Sustained rate of generated tokens.
        weight: Relative weight in fair queueing against other teams.
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
