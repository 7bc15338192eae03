"""Choose the endpoint for the next attempt."""

import hashlib
from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...errors import ErrorKind
from ...frames import Generation
from ...policy import RoutingPolicy
from ..fleet import Fleet
from ..messages import AttemptFailed, Request, Routable, Routed

PREFIX_CHARACTERS = 256
"""Length of the prompt prefix by which requests are routed to endpoints that have
likely cached it."""


class Route:
    """Apply the routing policy to the eligible endpoints.

    Endpoints without free capacity are considered only if none has any.
    """

    __slots__ = ("_fleet", "_policy", "handlers")

    def __init__(self, fleet: Fleet, policy: RoutingPolicy) -> None:
        self._fleet = fleet
        self._policy = policy
        self.handlers: Handlers = {Routable: self._on_routable}

    def _on_routable(self, msg: Routable) -> Iterator[Message]:
        request = msg.request
        views = self._fleet.candidates(request)
        priority = request.service.priority
        with_capacity = [view for view in views if view.n_free(priority)]
        choice = self._policy.choose(
            with_capacity or views, prefix=_prefix_key(request)
        )
        if choice is None:
            yield AttemptFailed(request, ErrorKind.NO_ENDPOINT)
            return
        yield Decision(
            "route",
            request_id=request.request_id,
            reason=choice.reason,
            endpoint=choice.endpoint,
            candidates=list(choice.candidates),
            scores=[round(score, 4) for score in choice.scores],
            team=request.team.name,
            service=request.service.name,
        )
        yield Routed(request, choice.endpoint)


def _prefix_key(request: Request) -> str:
    work = request.work
    if not isinstance(work, Generation) or len(work.prompt) < PREFIX_CHARACTERS:
        return ""
    prefix = work.prompt[:PREFIX_CHARACTERS].encode()
    return work.model + "/" + hashlib.blake2b(prefix, digest_size=8).hexdigest()
