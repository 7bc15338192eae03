"""Decide what this gateway may send to each version while a service is rolled out."""

import hashlib
from collections.abc import Iterator, Sequence

from ..core import Clock
from ..rollout import (
    Phase,
    RolloutOrder,
    Tally,
    choose_tested,
)
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .rollout import Break, Rollout, RolloutBounds

# Time after which the next endpoints of the new version get its share; within it an
# endpoint comes to its full load.
TURN_S = 2.0
# Time after which a break counts if its endpoint is still found: the next request there
# tells whether it has ended.
BREAK_DELAY_S = 0.5


class Rollouts:
    """The rollouts that operators ordered, by service.

    Args:
        endpoints: Known endpoints.
        clock: Source of time.

    Attributes:
        bounds: Bounds of the platform, None where rollouts are not in force.
    """

    __slots__ = ("_by_service", "_clock", "_endpoints", "_withheld", "bounds")

    def __init__(self, endpoints: Endpoints, clock: Clock) -> None:
        self._endpoints = endpoints
        self._clock = clock
        self._by_service: dict[str, Rollout] = {}
        # Versions of refused orders, which no order allows.
        self._withheld: dict[str, set[str]] = {}
        self.bounds: RolloutBounds | None = None

    def __iter__(self) -> Iterator[Rollout]:
        yield from list(self._by_service.values())

    def get(self, service: str) -> Rollout | None:
        """Return the rollout of a service, None if there was no order."""
        return self._by_service.get(service)

    def begin(self, order: RolloutOrder, n_gateways: int) -> Rollout | None:
        """Track a new order, None where rollouts are not in force."""
        if self.bounds is None:
            return None
        before = self._by_service.get(order.service)
        withheld = self._withheld.setdefault(order.service, set())
        if before is not None and before.phase is Phase.ROLLED_BACK:
            withheld.add(before.to)
        withheld.discard(order.to)
        for endpoint in self._endpoints.of_service(order.service):
            endpoint.is_retired = False
        rollout = Rollout(order, self.bounds, n_gateways, self._clock.now())
        self._by_service[order.service] = rollout
        return rollout

    def replace(self, order: RolloutOrder, n_gateways: int) -> None:
        """Track another order of the same service in place of the present one."""
        self._by_service.pop(order.service, None)
        self.begin(order, n_gateways)

    def refuse(self, order: RolloutOrder) -> None:
        """Send nothing to the version of an order that can't be carried out.

        A version that has endpoints already is served as before.
        """
        rollout = self._by_service.get(order.service)
        if rollout is not None:
            rollout.refused_revision = order.revision
        is_present = order.to in self.versions(order.service)
        if not is_present and (rollout is None or rollout.to != order.to):
            self.withhold(order.service, order.to)

    def withhold(self, service: str, version: str) -> None:
        """Send nothing to a version that a refused order named."""
        self._withheld.setdefault(service, set()).add(version)

    def versions(self, service: str) -> set[str]:
        """Return the versions of the endpoints of a service that do not leave."""
        return {
            endpoint.entry.version
            for endpoint in self._endpoints.of_service(service)
            if endpoint.leaving_since is None
        }

    def forbids(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint gets no new work because of its version."""
        service = endpoint.entry.service
        version = endpoint.entry.version
        rollout = self._by_service.get(service)
        if rollout is not None and version == rollout.to:
            return self._forbids_new(rollout)
        if version in self._withheld.get(service, ()):
            return True
        return rollout is not None and self.is_retired(endpoint)

    def _forbids_new(self, rollout: Rollout) -> bool:
        if rollout.share(self._clock.now()) > 0.0:
            return False
        if rollout.state is not None:
            return True
        # An order that was carried out before this process began: nothing else is left.
        return self.versions(rollout.order.service) != {rollout.to}

    def is_retired(self, endpoint: Endpoint) -> bool:
        """Return whether the traffic of an old endpoint has moved to another version.

        Endpoints that begin after the end of the rollout are not concerned.
        """
        rollout = self._by_service.get(endpoint.entry.service)
        if rollout is None or endpoint.entry.version == rollout.to:
            return False
        return endpoint.is_retired and rollout.share(self._clock.now()) >= 1.0

    def retire(self, service: str) -> Sequence[Endpoint]:
        """Mark the old endpoints of a service and return those not marked before."""
        rollout = self._by_service[service]
        new = [
            endpoint
            for endpoint in self._endpoints.of_service(service)
            if endpoint.entry.version != rollout.to and not endpoint.is_retired
        ]
        for endpoint in new:
            endpoint.is_retired = True
        return new

    def narrow(self, request: Request, allowed: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints of the version that a request goes to.

        Only a first attempt tests the new version, and it is tried elsewhere after.
        """
        rollout = self._by_service.get(request.service)
        if rollout is None or rollout.phase is not Phase.TEST:
            return allowed
        old = [end for end in allowed if end.entry.version != rollout.to]
        if request.n_attempts or not rollout.exposure.may_expose(_draw(request)):
            return old
        return self._tested(rollout, allowed) or old

    def _tested(self, rollout: Rollout, allowed: list[Endpoint]) -> list[Endpoint]:
        now = self._clock.now()
        share = rollout.exposure.rate(rollout.share(now))
        known = self._endpoints.of_service(rollout.order.service)
        names = [end.name for end in known if end.entry.version == rollout.to]
        n_old = len(known) - len(names)
        tested = choose_tested(names, n_old, share, int(now / TURN_S))
        # Without a free slot a request would wait for one endpoint only.
        return [
            end
            for end in allowed
            if end.name in tested and end.n_running < end.entry.n_slots
        ]

    def is_counted(self, service: str) -> bool:
        """Return whether the responses of a service are counted at present."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.state is None:
            return False
        return not rollout.is_over

    def note_response(self, request: Request, *, is_bad: bool) -> None:
        """Count a response to the current attempt of a request."""
        tally = Tally()
        tally.note(is_bad=is_bad)
        self._count(request, request.route.name, tally)

    def note_break(self, request: Request) -> None:
        """Count a broken attempt, unless its endpoint turns out to have ended.

        Load pattern: few endpoints get the whole share, and all that one of them runs
        breaks when its host fails, which says nothing of its version.
        """
        rollout = self._by_service[request.service]
        attempt = request.attempt
        endpoint = self._endpoints.get(attempt.endpoint) if attempt else None
        if attempt is None or endpoint is None:
            return
        is_new = endpoint.entry.version == rollout.to
        rollout.breaks.append(
            Break(self._clock.now(), attempt, request.route.name, endpoint, is_new)
        )

    def count_breaks(self, rollout: Rollout) -> None:
        """Count the breaks whose endpoints have not ended since."""
        now = self._clock.now()
        breaks, rollout.breaks = rollout.breaks, []
        for item in breaks:
            if now - item.at < BREAK_DELAY_S:
                rollout.breaks.append(item)
            elif not self._has_ended(item.endpoint):
                tally = Tally(1, 1)
                rollout.counts.note(
                    item.attempt.sent_at, item.route, is_new=item.is_new, tally=tally
                )

    def _has_ended(self, endpoint: Endpoint) -> bool:
        known = self._endpoints.get(endpoint.name)
        is_gone = known is not endpoint or endpoint.leaving_since is not None
        return is_gone or endpoint.n_absences > 0

    def note_time(
        self, request: Request, seconds: float, *, is_pace: bool = False
    ) -> None:
        """Count the time of the current attempt of a request.

        Args:
            request: The request.
            seconds: Time until its first event or its whole response, or the time
                that some events took.
            is_pace: Whether it is the time of some events.
        """
        tally = Tally()
        tally.note_time(seconds)
        route = request.route.name
        self._count(request, f"{route} events" if is_pace else route, tally)

    def _count(self, request: Request, route: str, tally: Tally) -> None:
        rollout = self._by_service[request.service]
        attempt = request.attempt
        endpoint = self._endpoints.get(attempt.endpoint) if attempt else None
        if attempt is None or endpoint is None:
            return
        if tally.n_timed and attempt.attempt_id in rollout.cold_attempts:
            return
        is_new = endpoint.entry.version == rollout.to
        rollout.counts.note(attempt.sent_at, route, is_new=is_new, tally=tally)

    def n_old_running(self, rollout: Rollout) -> int:
        """Return the requests at old endpoints, -1 while these may get more."""
        if rollout.phase is not Phase.MOVE:
            return -1
        return sum(
            len(endpoint.requests)
            for endpoint in self._endpoints.of_service(rollout.order.service)
            if endpoint.entry.version != rollout.to
        )

    def note_dispatch(self, request: Request, endpoint: Endpoint) -> None:
        """Count a dispatch of a request."""
        rollout = self._by_service.get(request.service)
        if rollout is None or rollout.is_over:
            return
        if endpoint.allowance.cold.is_in_force and request.attempt is not None:
            rollout.cold_attempts.add(request.attempt.attempt_id)
        if rollout.phase is not Phase.TEST:
            return
        if request.n_attempts == 1:
            rollout.exposure.note_request(rollout.share(self._clock.now()))
        if endpoint.entry.version == rollout.to:
            rollout.exposure.note_exposed()


def _draw(request: Request) -> float:
    # Callers choose their request ids, and may use one for all.
    digest = hashlib.blake2b(request.call_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
