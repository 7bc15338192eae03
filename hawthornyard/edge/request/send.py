"""Start one attempt for each routed request and dispatch it to its endpoint."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ..directory import Directory
from ..endpoints import Endpoints
from ..inflight import InFlight
from ..messages import AttemptFailed, Dispatch, Routed
from ..mirroring import Mirroring

# With less time left until its deadline, a request fails without an attempt: no
# endpoint can answer that fast.
MIN_REMAINING_S = 0.02


class Send:
    """Filter that starts an attempt for each routed request and dispatches it.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints.
        mirroring: Chooses where streams are mirrored.
        directory: Tells whether the teams' keys are still valid.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_endpoints",
        "_inflight",
        "_mirroring",
        "handlers",
    )

    def __init__(
        self,
        inflight: InFlight,
        endpoints: Endpoints,
        mirroring: Mirroring,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._inflight = inflight
        self._endpoints = endpoints
        self._mirroring = mirroring
        self._directory = directory
        self._clock = clock
        self.handlers: Handlers = {Routed: self._on_routed}

    def _on_routed(self, msg: Routed) -> Iterator[Message]:
        request = msg.request
        if self._inflight.by_call(request.call_id) is not request:
            return
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None:
            yield AttemptFailed(request, ErrorKind.NO_ENDPOINT, "the endpoint is gone")
            return
        if request.team and not self._directory.are_keys_valid:
            # Since the key was checked, the process may have been paused.
            yield ReplyFailed(request.call_id, ErrorKind.PLATFORM_UNAVAILABLE)
            return
        left_s = request.deadline - self._clock.now()
        if left_s < MIN_REMAINING_S:
            yield AttemptFailed(
                request, ErrorKind.OVERLOADED, "the deadline is too near"
            )
            return
        endpoint.allowance.note_send()
        mirror = None
        if request.route.is_stream:
            mirror = self._mirroring.choose(request, endpoint)
        n_prefill_ahead = endpoint.prefill_backlog
        attempt = self._inflight.begin_attempt(
            request, endpoint.name, mirror=mirror.name if mirror is not None else ""
        )
        attempt.n_prefill_ahead = n_prefill_ahead + request.prefill_backlog
        yield Dispatch(
            attempt.attempt_id,
            request.call,
            endpoint.entry.address,
            endpoint.name,
            born=endpoint.entry.born,
            team=request.team,
            priority=request.priority,
            timeout_s=left_s,
            is_stream=request.route.is_stream,
            mirror_address=mirror.entry.address if mirror is not None else "",
        )
