"""Put the real chains of a gateway and a sidecar between taps."""

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
from hawthornyard.gateway.fleet import Fleet, Neighbours
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
    CancelEndpoint,
    EndpointEnded,
    EndpointTokens,
)
from hawthornyard.sidecar.state import SidecarState

from .runner import Runner


class Bus(Protocol):
    """Carry messages between gateways and sidecars."""

    def enqueue(self, member: "Member", msg: Message) -> None:
        """Push a message into a member once all earlier ones are through."""
        ...

    def deliver(self, sender: str, frame: Frame) -> None:
        """Hand a frame to the member that it names."""
        ...

    def on_call(self, sidecar: "SidecarMember", msg: CallEndpoint) -> None:
        """Run an attempt at the sidecar's runner."""
        ...

    def on_cancel(self, sidecar: "SidecarMember", msg: CancelEndpoint) -> None:
        """Stop an attempt at the sidecar's runner."""
        ...

    def on_reply_ended(self, msg: ReplyEnded) -> None:
        """Note a whole answer."""
        ...

    def on_reply_failed(self, msg: ReplyFailed) -> None:
        """Note a refusal or a lost generation."""
        ...


class Member(Protocol):
    """A gateway or a sidecar of the bench."""

    @property
    def name(self) -> str:
        """Return its name."""
        ...

    @property
    def pipeline(self) -> Pipeline:
        """Return its chain."""
        ...


class CallbackSink:
    """Call functions for messages at the tail of a pipeline."""

    __slots__ = ("consumers",)

    def __init__(self, consumers: Consumers) -> None:
        self.consumers = consumers


class GatewayMember:
    """A real gateway chain from behind the team limits on.

    Attributes:
        name: Name of the gateway.
        inflight: Requests that are not answered yet.
        pipeline: The chain.
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
            Neighbours(name, peers, clock),
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
        # A heartbeat leaves the tail as it came in.
        heartbeats = _callback_sink(_discard, (Heartbeat,))
        discarded = _callback_sink(_discard, _all_subclasses(Message))
        sinks = [discarded, frames, heartbeats, feedback, replies]
        self.pipeline = Pipeline(chain, sinks)


class SidecarMember:
    """A real sidecar chain beside one runner.

    Attributes:
        name: Name of the endpoint.
        runner: The runner.
        attempts: Attempts that the chain knows.
        predictor: Its length predictor.
        pipeline: The chain.
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
                CancelEndpoint: lambda msg: bus.on_cancel(self, msg),
            }
        )
        discarded = _callback_sink(_discard, _all_subclasses(Message))
        self.pipeline = Pipeline(chain, [discarded, frames, calls])

    def flush(self, attempt_id: str, n_done: int) -> None:
        """Pass on the tokens that have left the runner for an attempt."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None or attempt.end is not None:
            return
        n_new = n_done - len(attempt.texts)
        if n_new > 0:
            self._bus.enqueue(self, EndpointTokens(attempt_id, [""] * n_new))

    def finish(self, attempt_id: str) -> None:
        """Pass on the end of an attempt's output."""
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
    """Drop a message."""
