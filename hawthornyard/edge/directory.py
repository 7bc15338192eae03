"""Hold the deployment in force and find what a request needs in it."""

from ..core import Clock
from .deployment import CallerLimits, Deployment, RouteRule, ServiceRule, TeamRule

# In force until the first deployment is read; nothing is served before that.
INITIAL_LIMITS = CallerLimits(16_384, 4_194_304, 3.0, 15.0)


class Directory:
    """The newest deployment, and when it was last confirmed to be the newest.

    Args:
        clock: Source of time; must go on while the host is suspended.

    Attributes:
        key_ttl_s: Keys hold for so long without a confirmation, None for ever.
        version: Version in force, 0 before the first.
        limits: What callers may send.
        domains_out: Failure domains that operators have taken out.
        are_domains_known: Whether it is known which domains are out.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_has_teams",
        "_routes",
        "_services",
        "_teams",
        "are_domains_known",
        "domains_out",
        "key_ttl_s",
        "limits",
        "version",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.key_ttl_s: float | None = None
        self._confirmed_at: float | None = None
        self._routes: dict[str, list[RouteRule]] = {}
        self._services: dict[str, ServiceRule] = {}
        self._teams: dict[str, TeamRule] = {}
        self._has_teams = False
        self.version = 0
        self.limits = INITIAL_LIMITS
        self.domains_out: frozenset[str] = frozenset()
        self.are_domains_known = False

    def replace(self, deployment: Deployment) -> bool:
        """Put a deployment in force unless a newer one is.

        Returns:
            Whether the deployment is in force now and was not before.
        """
        if deployment.version <= self.version:
            return False
        self.version = deployment.version
        self.limits = deployment.limits
        self._services = {rule.name: rule for rule in deployment.services}
        self._teams = {key: team for team in deployment.teams for key in team.keys}
        self._has_teams = bool(deployment.teams)
        self._routes = {}
        for route in deployment.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return True

    def confirm(self, as_of: float) -> None:
        """Note that the deployment in force was the newest at `as_of`."""
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    @property
    def age_s(self) -> float:
        """Return seconds since the deployment was known to be the newest."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.now() - self._confirmed_at

    @property
    def is_ready(self) -> bool:
        """Return whether there is a deployment to serve from."""
        return self.version > 0 and self.are_domains_known

    @property
    def are_keys_valid(self) -> bool:
        """Return whether a key that was taken away can't still be in force."""
        return self.key_ttl_s is None or self.age_s < self.key_ttl_s

    @property
    def needs_keys(self) -> bool:
        """Return whether requests of routes that are not public need a key."""
        return self._has_teams

    def route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of a path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, key: str) -> TeamRule | None:
        """Return the team that holds a key."""
        return self._teams.get(key)

    def service(self, name: str) -> ServiceRule | None:
        """Return what operators say of a service."""
        return self._services.get(name)
