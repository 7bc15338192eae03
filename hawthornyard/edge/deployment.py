"""Define the deployment that operators declare."""

from collections.abc import Sequence

from ..core import Message


class CallerLimits(Message):
    """Limits on the size and the time of a caller's request.

    Attributes:
        max_header_bytes: Largest total size of a request's headers.
        max_body_bytes: Largest size of a request's body.
        header_timeout_s: Longest time in which a caller sends the headers.
        idle_timeout_s: Longest time that a connection may stay idle.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class EngineRule(Message):
    """Capacity and capabilities of the engines of a service.

    Attributes:
        n_slots: Generations that an engine runs concurrently.
        memory_tokens: Tokens that fit into an engine's KV cache.
        token_bytes: Size of one token's KV cache in bytes.
        link_bytes_per_s: Bandwidth for the transfer of KV caches between engines.
        can_migrate: Whether a run can be copied to another engine.
        can_mirror: Whether another engine can mirror a run while it continues.
        copy_lifetime_s: Time to live of an unused copy.
        tokens_per_event: Tokens in one event of a stream.
    """

    __slots__ = (
        "n_slots",
        "memory_tokens",
        "token_bytes",
        "link_bytes_per_s",
        "can_migrate",
        "can_mirror",
        "copy_lifetime_s",
        "tokens_per_event",
    )

    def __init__(
        self,
        n_slots: int,
        memory_tokens: int,
        token_bytes: int,
        link_bytes_per_s: float,
        *,
        can_migrate: bool = False,
        can_mirror: bool = False,
        copy_lifetime_s: float = 0.0,
        tokens_per_event: int = 1,
    ) -> None:
        self.n_slots = n_slots
        self.memory_tokens = memory_tokens
        self.token_bytes = token_bytes
        self.link_bytes_per_s = link_bytes_per_s
        self.can_migrate = can_migrate
        self.can_mirror = can_mirror
        self.copy_lifetime_s = copy_lifetime_s
        self.tokens_per_event = tokens_per_event


class ServiceRule(Message):
    """Limits and capabilities that operators declare for a service.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one endpoint accepts from all gateways.
        cold_requests_per_s: Largest request rate of a cold endpoint, 0 for no limit.
        engine: Rule of its engines, None for a plain service.
        health_path: Path on which its endpoints respond at once, empty if unknown.
    """

    __slots__ = (
        "name",
        "max_connections",
        "cold_requests_per_s",
        "engine",
        "health_path",
    )

    def __init__(
        self,
        name: str,
        *,
        max_connections: int = 0,
        cold_requests_per_s: float = 0.0,
        engine: EngineRule | None = None,
        health_path: str = "",
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.cold_requests_per_s = cold_requests_per_s
        self.engine = engine
        self.health_path = health_path


class ServiceShare(Message):
    """A service and the relative weight of its share of a route's requests."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class RouteRule(Message):
    """How the requests of one host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host name in the callers' requests.
        prefix: Start of the path, with a slash at both ends.
        shares: Services among which the requests are split.
        is_idempotent: Whether a request may run more than once.
        is_stream: Whether the answer is a stream of events.
        is_public: Whether callers need no key.
        timeout_s: Longest time to the whole answer.
        target_s: Target latency of the answer, or of its first event for a stream.
        gap_target_s: Target gap between events.
        priority: Scheduling priority; 0 goes first.
        max_attempts: Largest number of attempts of a request that may have run.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "shares",
        "is_idempotent",
        "is_stream",
        "is_public",
        "timeout_s",
        "target_s",
        "gap_target_s",
        "priority",
        "max_attempts",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        shares: Sequence[ServiceShare],
        *,
        is_idempotent: bool = False,
        is_stream: bool = False,
        is_public: bool = False,
        timeout_s: float = 30.0,
        target_s: float = 1.0,
        gap_target_s: float = 0.0,
        priority: int = 0,
        max_attempts: int = 1,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.shares = shares
        self.is_idempotent = is_idempotent
        self.is_stream = is_stream
        self.is_public = is_public
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.gap_target_s = gap_target_s
        self.priority = priority
        self.max_attempts = max_attempts


class TeamRule(Message):
    """A team, its keys and its priority.

    Attributes:
        name: Name of the team.
        keys: API keys of its callers.
        priority: Priority in place of the route's, None to keep the route's.
    """

    __slots__ = ("name", "keys", "priority")

    def __init__(
        self, name: str, keys: Sequence[str], *, priority: int | None = None
    ) -> None:
        self.name = name
        self.keys = keys
        self.priority = priority


class Deployment(Message):
    """One version of the routes, services and teams that operators declare.

    Attributes:
        version: Number of the version; a larger one is newer.
        routes: The routes.
        services: The services.
        teams: The teams; if there are none, no request needs a key.
        limits: Limits on the size and the time of callers' requests.
    """

    __slots__ = ("version", "routes", "services", "teams", "limits")

    def __init__(
        self,
        version: int,
        routes: Sequence[RouteRule],
        services: Sequence[ServiceRule],
        teams: Sequence[TeamRule],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.teams = teams
        self.limits = limits
