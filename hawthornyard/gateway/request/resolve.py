"""Determine the service, priority and deadline of a call."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...errors import ErrorKind
from ...frames import Generation, ServiceCall
from ...records import GENERATION, HTTP, Catalog, Service, Team
from ..inflight import InFlight
from ..messages import Call, CallAuthenticated, ReplyFailed, Request, Resolved


class Resolve:
    """Turn an authenticated call into a request.

    Args:
        catalog: Records in force.
        inflight: Stores the request until its final reply.
        clock: Monotonic clock.
    """

    __slots__ = ("_catalog", "_clock", "_inflight", "handlers")

    def __init__(self, catalog: Catalog, inflight: InFlight, clock: Clock) -> None:
        self._catalog = catalog
        self._inflight = inflight
        self._clock = clock
        self.handlers: Handlers = {CallAuthenticated: self._on_call_authenticated}

    def _on_call_authenticated(self, msg: CallAuthenticated) -> Iterator[Message]:
        service, refusal = self._service(msg.call, msg.team)
        if service is None:
            yield ReplyFailed(msg.call.call_id, refusal)
            return
        request = self._request(msg.call, msg.team, service)
        self._inflight.add(request)
        yield Resolved(request)

    def _service(self, call: Call, team: Team) -> tuple[Service | None, ErrorKind]:
        # The error kind applies only if the service is None.
        if isinstance(call.work, Generation):
            return self._service_of_model(call.work.model, team)
        service = self._catalog.service(call.service)
        if service is None or service.protocol != HTTP:
            return None, ErrorKind.UNKNOWN_SERVICE
        if service.name not in team.services:
            return None, ErrorKind.FORBIDDEN
        return service, ErrorKind.INTERNAL

    def _service_of_model(
        self, model: str, team: Team
    ) -> tuple[Service | None, ErrorKind]:
        offering = [
            service
            for service in self._catalog.services()
            if service.protocol == GENERATION and model in service.models
        ]
        if not offering:
            return None, ErrorKind.UNKNOWN_MODEL
        for service in offering:
            if service.name in team.services:
                return service, ErrorKind.INTERNAL
        return None, ErrorKind.FORBIDDEN

    def _request(self, call: Call, team: Team, service: Service) -> Request:
        timeout_s = call.timeout_s or service.deadline_s
        work = call.work
        idempotent = True
        if isinstance(work, ServiceCall):
            idempotent = service.is_idempotent(work.method, work.path)
        elif work.priority == 0:  # 0 means not set yet.
            work.priority = service.priority
        return Request(
            call.call_id,
            call.request_id,
            work,
            team,
            service,
            idempotent=idempotent,
            deadline=self._clock.now() + timeout_s,
            key=call.key,
            digest=call.digest,
        )
