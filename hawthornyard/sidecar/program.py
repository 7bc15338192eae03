"""Compose and run a sidecar."""

import signal
from typing import Any

import eventlet
from loguru import logger

from ..codec import MsgpackCodec
from ..core import (
    PeerDown,
    PeerUp,
    Pipeline,
    StopRequested,
    Tick,
)
from ..frames import SENT_BY_SIDECAR
from ..records import GENERATION, Catalog
from ..rim import (
    Connections,
    DecisionLog,
    Discard,
    EventletInbox,
    FrameSink,
    MonotonicClock,
    PeerListener,
    RandomIdentifiers,
    StopSink,
    run_loop,
    run_timer,
    split_address,
)
from ..rim.endpoint import EndpointClient, EndpointSink
from ..rim.engine import EngineClient
from ..rim.orders import EngineOrders, NoOrders, OrderClient, OrderSink
from ..rim.service import ServiceClient
from ..settings import SidecarSettings
from .attempts import Attempts
from .chain import sidecar_chain
from .messages import ConfigChanged, Finished
from .state import SidecarState


class Sidecar:
    """One sidecar process; also runs beside others within a demo.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._inbox = EventletInbox()
        self._stop = StopSink()
        incarnation = RandomIdentifiers().new()
        self.state = SidecarState(
            settings.name, settings.failure_domain, incarnation, Catalog()
        )
        connections = Connections(self._inbox)
        self._client = _client(settings)
        self._orders = OrderSink(_order_client(settings), self._inbox)
        self._pipeline = Pipeline(
            sidecar_chain(self.state, Attempts(), self._clock),
            [
                FrameSink(connections, *SENT_BY_SIDECAR),
                EndpointSink(self._client, self._inbox),
                self._orders,
                DecisionLog(settings.name),
                Discard(Tick, PeerUp, PeerDown, StopRequested, ConfigChanged, Finished),
                self._stop,
            ],
        )
        self._listener = PeerListener(
            split_address(settings.listen),
            settings.name,
            settings.peer_key,
            MsgpackCodec(),
            connections,
            self._inbox,
        )

    @property
    def port(self) -> int:
        """Return the port for gateways."""
        return self._listener.port

    def start(self) -> Any:
        """Start all green threads.

        Returns:
            The green thread of the loop; it ends when the sidecar has stopped.
        """
        eventlet.spawn_n(run_timer, self._inbox, self._clock)
        eventlet.spawn_n(self._listener.run)
        self._orders.start()
        eventlet.spawn_n(self._client.watch, self._inbox)
        return eventlet.spawn(run_loop, self._inbox, self._pipeline, self._stop)

    def run(self) -> None:
        """Run until SIGTERM and the end of all attempts."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stop())
        loop = self.start()
        logger.bind(process=self._settings.name, port=self.port).info("started")
        loop.wait()
        logger.bind(process=self._settings.name).info("stopped")

    def stop(self) -> None:
        """Refuse new work, finish what is held, then end the loop."""
        self._inbox.put(StopRequested())


def _client(settings: SidecarSettings) -> EndpointClient:
    if settings.protocol == GENERATION:
        return EngineClient(settings.endpoint)
    return ServiceClient(settings.endpoint)


def _order_client(settings: SidecarSettings) -> OrderClient:
    if settings.protocol == GENERATION:
        return EngineOrders(settings.endpoint)
    return NoOrders()
