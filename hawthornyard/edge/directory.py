"""Look up routes, services and teams in the deployment in force."""

from ..core import Clock
from .deployment import CallerLimits, Deployment, RouteRule, ServiceRule, TeamRule

# Limits until the first deployment is read; no request is served before that.
INITIAL_LIMITS = CallerLimits(16_384, 4_194_304, 3.0, 15.0)


class Directory:
    """The deployment in force and the time of its last confirmation.

    Args:
        clock: Source of time; must advance while the host is suspended.

    Attributes:
        key_ttl_s: Seconds that keys stay valid without a confirmation that the
            deployment is the newest, None for no limit.
        version: Version in force, 0 before the first.
        limits: Limits on the size and the time of callers' requests.
        domains_out: Failure domains that operators have taken out of service.
        are_domains_known: Whether `domains_out` was read at least once.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_deployment",
        "_gap_targets",
        "_has_teams",
        "_routes",
        "_services",
        "_shortest_targets_s",
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
        self._deployment: Deployment | None = None
        self._routes: dict[str, list[RouteRule]] = {}
        self._services: dict[str, ServiceRule] = {}
        self._shortest_targets_s: dict[str, float] = {}
        self._teams: dict[str, TeamRule] = {}
        self._gap_targets: dict[str, float] = {}
        self._has_teams = False
        self.version = 0
        self.limits = INITIAL_LIMITS
        self.domains_out: frozenset[str] = frozenset()
        self.are_domains_known = False

    def replace(self, deployment: Deployment) -> bool:
        """Put a deployment in force, unless a newer version is.

        A store that was restored may get a version once more, with other content.

        Returns:
            Whether the deployment was put in force.
        """
        if deployment.version < self.version or deployment == self._deployment:
            return False
        self._deployment = deployment
        self.version = deployment.version
        self.limits = deployment.limits
        self._services = {rule.name: rule for rule in deployment.services}
        self._teams = {key: team for team in deployment.teams for key in team.keys}
        self._has_teams = bool(deployment.teams)
        self._routes = {}
        self._shortest_targets_s = {}
        for route in deployment.routes:
            self._routes.setdefault(route.host, []).append(route)
            for share in route.shares:
                target_s = self._shortest_targets_s.get(share.service, route.target_s)
                self._shortest_targets_s[share.service] = min(target_s, route.target_s)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._gap_targets = _gap_targets(deployment)
        return True

    def confirm(self, as_of: float) -> None:
        """Record that the deployment in force was the newest at `as_of`.

        Args:
            as_of: Monotonic time in seconds.
        """
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    @property
    def age_s(self) -> float:
        """Return the seconds since the last confirmation, infinity before the first."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.now() - self._confirmed_at

    @property
    def is_ready(self) -> bool:
        """Return whether a deployment is in force that was confirmed at least once."""
        is_read = self.version > 0 and self.are_domains_known
        return is_read and self._confirmed_at is not None

    @property
    def are_keys_valid(self) -> bool:
        """Return whether the keys are confirmed recently enough to be trusted.

        Beyond `key_ttl_s` a revoked key might still be accepted.
        """
        return self.key_ttl_s is None or self.age_s < self.key_ttl_s

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that are not public need a key."""
        return self._has_teams

    def route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, None if none matches."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, key: str) -> TeamRule | None:
        """Return the team that a key belongs to, None if the key is unknown."""
        return self._teams.get(key)

    def service(self, name: str) -> ServiceRule | None:
        """Return the rule of a service, None if it is unknown."""
        return self._services.get(name)

    def gap_target_s(self, service: str) -> float:
        """Return the shortest target gap of the routes to a service, 0 if none has."""
        return self._gap_targets.get(service, 0.0)

    def shortest_target_s(self, service: str) -> float | None:
        """Return the shortest target latency of the routes to a service in seconds.

        Returns:
            The target, None if no route leads there.
        """
        return self._shortest_targets_s.get(service)


def _gap_targets(deployment: Deployment) -> dict[str, float]:
    targets: dict[str, float] = {}
    for route in deployment.routes:
        for share in route.shares:
            if route.gap_target_s:
                known = targets.get(share.service, route.gap_target_s)
                targets[share.service] = min(known, route.gap_target_s)
    return targets
