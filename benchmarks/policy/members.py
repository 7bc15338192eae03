"""The chains of a gateway and a sidecar with simulated I/O."""

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Protocol

from hawthornyard.core import (
    Clock,
    Consumers,
    Drain,
    Identifiers,
    Message,
    Pipeline,
)
from hawthornyard.frames import Frame, Heartbeat
from hawthornyard.gateway.chain import gateway_chain
from hawthornyard.gateway.fleet import Fleet, PeerGateways
from hawthornyard.gateway.inflight import InFlight
from hawthornyard.gateway.messages import (
    AttemptFailed,
    Closed,
    ReplyEnded,
    ReplyFailed,
)
from hawthornyard.policy import LengthPredictor, MemoryLimit, RoutingPolicy
from hawthornyard.records import Catalog
from hawthornyard.sidecar.attempts import Attempts
from hawthornyard.sidecar.chain import sidecar_chain
from hawthornyard.sidecar.messages import (
    CallEndpoint,
    CancelCall,
    EndpointEnded,
    EndpointTokens,
)
from hawthornyard.sidecar.state import SidecarState

from .runner import Runner


class Bus(Protocol):
    """Carry messages between gateways, sidecars and runners."""

    def enqueue(self, member: "Member", msg: Message) -> None:
        """Push a message into a member after all messages queued before it."""
        ...

    def deliver(self, sender: str, frame: Frame) -> None:
        """Deliver a frame to the member that `frame.peer` names."""
        ...

    def on_call(self, sidecar: "SidecarMember", msg: CallEndpoint) -> None:
        """Submit an attempt to the sidecar's runner."""
        ...

    def on_cancel(self, sidecar: "SidecarMember", msg: CancelCall) -> None:
        """Cancel an attempt at the sidecar's runner."""
        ...

    def on_reply_ended(self, msg: ReplyEnded) -> None:
        """Record a complete answer."""
        ...

    def on_reply_failed(self, msg: ReplyFailed) -> None:
        """Record a refusal or a lost generation."""
        ...


class Member(Protocol):
    """A simulated gateway or sidecar."""

    @property
    def name(self) -> str:
        """Return the unique name, which frames name as their peer."""
        ...

    @property
    def pipeline(self) -> Pipeline:
        """Return the pipeline of the member's chain."""
        ...


class CallbackSink:
    """Sink of a pipeline that calls a function for each type of message."""

    __slots__ = ("consumers",)

    def __init__(self, consumers: Consumers) -> None:
        self.consumers = consumers


class GatewayMember:
    """The filter chain of a gateway; requests enter after the team limits.

    Attributes:
        name: Name of the gateway.
        inflight: Requests that are not answered yet.
        pipeline: The chain with its sinks.
    """

    __slots__ = ("inflight", "name", "pipeline")

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        bus: Bus,
        clock: Clock,
        rng: random.Random,
        identifiers: Identifiers,
        predictor: LengthPredictor,
        routing: RoutingPolicy,
    ) -> None:
        self.name = name
        self.inflight = InFlight()
        catalog = Catalog()
        chain = gateway_chain(
            catalog,
            self.inflight,
            Fleet(catalog, clock),
            PeerGateways(name, peers, clock),
            Drain(self.inflight, clock),
            clock,
            rng,
            identifiers,
            predictor=predictor,
            routing=routing,
        )
        frames = _callback_sink(
            lambda frame: bus.deliver(name, frame), Frame.__subclasses__()
        )
        feedback = _callback_sink(
            lambda msg: bus.enqueue(self, msg), (AttemptFailed, Closed)
        )
        replies = CallbackSink(
            {ReplyEnded: bus.on_reply_ended, ReplyFailed: bus.on_reply_failed}
        )
        # Heartbeats are frames that pass through to the tail; they must not be sent on.
        heartbeats = _callback_sink(_discard, (Heartbeat,))
        discarded = _callback_sink(_discard, _all_subclasses(Message))
        sinks = [discarded, frames, heartbeats, feedback, replies]
        self.pipeline = Pipeline(chain, sinks)


class SidecarMember:
    """The filter chain of a sidecar with one runner as its endpoint.

    Attributes:
        name: Name of the endpoint.
        runner: The runner.
        attempts: Attempts in the state of the chain.
        predictor: Length predictor of the chain.
        pipeline: The chain with its sinks.
    """

    __slots__ = ("_bus", "attempts", "name", "pipeline", "predictor", "runner")

    def __init__(
        self,
        runner: Runner,
        incarnation: str,
        bus: Bus,
        clock: Clock,
        predictor: LengthPredictor,
        memory: MemoryLimit,
    ) -> None:
        self.name = runner.spec.name
        self.runner = runner
        self.predictor = predictor
        self.attempts = Attempts()
        self._bus = bus
        state = SidecarState(self.name, runner.spec.domain, incarnation, Catalog())
        chain = sidecar_chain(
            state, self.attempts, clock, predictor=predictor, memory=memory
        )
        frames = _callback_sink(
            lambda frame: bus.deliver(self.name, frame), Frame.__subclasses__()
        )
        calls = CallbackSink(
            {
                CallEndpoint: lambda msg: bus.on_call(self, msg),
                CancelCall: lambda msg: bus.on_cancel(self, msg),
            }
        )
        discarded = _callback_sink(_discard, _all_subclasses(Message))
        self.pipeline = Pipeline(chain, [discarded, frames, calls])

    def flush(self, attempt_id: str, n_done: int) -> None:
        """Push an attempt's new tokens, given that the runner has emitted `n_done`."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None or attempt.final_frame is not None:
            return
        n_new = n_done - len(attempt.texts)
        if n_new > 0:
            self._bus.enqueue(self, EndpointTokens(attempt_id, [""] * n_new))

    def finish(self, attempt_id: str) -> None:
        """Push the end of an attempt's output."""
        self._bus.enqueue(self, EndpointEnded(attempt_id, "stop"))


def _callback_sink(
    callback: Callable[[Any], None], types: Iterable[type[Message]]
) -> CallbackSink:
    return CallbackSink(dict.fromkeys(types, callback))


def _all_subclasses(base: type[Message]) -> Iterator[type[Message]]:
    for kind in base.__subclasses__():
        yield kind
        yield from _all_subclasses(kind)


def _discard(msg: Message) -> None:
    """Discard a message."""
