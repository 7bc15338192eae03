"""Sidecar process: composition and main loop."""

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
from ..front import HttpServer, MetricsApplication
from ..io import (
    Connections,
    DecisionLog,
    DiscardSink,
    EventletInbox,
    FrameSink,
    PeerListener,
    RandomIdentifiers,
    StopSink,
    freeze_startup_objects,
    run_loop,
    run_timer,
    split_address,
)
from ..io.clock import BootClock
from ..io.endpoint import EndpointClient, EndpointSink
from ..io.engine import EngineClient
from ..io.metrics import ProgramMetrics
from ..io.orders import EngineOrderClient, NullOrderClient, OrderClient, OrderSink
from ..io.service import ServiceClient
from ..io.sidecar_metrics import MeasureOutput
from ..records import GENERATION, Catalog
from ..settings import SidecarSettings
from .attempts import Attempts
from .chain import sidecar_chain
from .messages import ConfigChanged, Finished
from .state import SidecarState


class Sidecar:
    """Sidecar with its listeners, pipeline and I/O.

    A demo runs several in one process.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._clock = BootClock()
        self._inbox = EventletInbox()
        self._stop = StopSink()
        incarnation = RandomIdentifiers().new()
        self.state = SidecarState(
            settings.name, settings.failure_domain, incarnation, Catalog()
        )
        connections = Connections(self._inbox)
        self._metrics = ProgramMetrics(self._clock)
        self._add_gauges(connections)
        self._metrics_server = self._serve_metrics()
        self._client = _client(settings)
        self._orders = OrderSink(_order_client(settings), self._inbox)
        self._pipeline = Pipeline(
            [
                *sidecar_chain(self.state, Attempts(), self._clock),
                MeasureOutput(self._metrics),
            ],
            [
                FrameSink(connections, *SENT_BY_SIDECAR),
                EndpointSink(self._client, self._inbox),
                self._orders,
                DecisionLog(settings.name),
                DiscardSink(
                    Tick, PeerUp, PeerDown, StopRequested, ConfigChanged, Finished
                ),
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
        """Return the port that gateways connect to."""
        return self._listener.port

    @property
    def metrics_port(self) -> int:
        """Return the port of the metrics, 0 if metrics are disabled."""
        return self._metrics_server.port if self._metrics_server is not None else 0

    def start(self) -> Any:
        """Start the listeners, timers and the main loop.

        Returns:
            Green thread of the main loop; it exits once the sidecar has stopped.
        """
        eventlet.spawn_n(run_timer, self._inbox, self._clock)
        eventlet.spawn_n(self._listener.run)
        self._orders.start()
        eventlet.spawn_n(self._client.poll_load, self._inbox)
        if self._metrics_server is not None:
            self._metrics_server.start()
        return eventlet.spawn(run_loop, self._inbox, self._pipeline, self._stop)

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then until all attempts have ended."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stop())
        loop = self.start()
        freeze_startup_objects()
        logger.bind(
            process=self._settings.name,
            port=self.port,
            metrics_port=self.metrics_port,
        ).info("started")
        loop.wait()
        logger.bind(process=self._settings.name).info("stopped")

    def stop(self) -> None:
        """Refuse new work and end the loop once all attempts have ended."""
        self._inbox.put(StopRequested())

    def _serve_metrics(self) -> HttpServer | None:
        if not self._settings.metrics:
            return None
        app = MetricsApplication(self._metrics.render)
        return HttpServer(split_address(self._settings.metrics), app)

    def _add_gauges(self, connections: Connections) -> None:
        add = self._metrics.add_gauge
        state = self.state
        add("attempts_running", "Attempts at the endpoint.", lambda: state.n_running)
        add("attempts_waiting", "Attempts in the queue.", lambda: state.n_waiting)
        add("attempts_limit", "Attempts that may run now.", lambda: state.limit)
        add("memory_load_ratio", "Expected memory in use.", lambda: state.load)
        add("accepting", "Whether new work is taken.", lambda: state.is_accepting)
        add("peer_connections", "Connections to peers.", connections.__len__)
        add(
            "config_revision",
            "Configuration revision in force.",
            lambda: state.catalog.revision,
        )


def _client(settings: SidecarSettings) -> EndpointClient:
    if settings.protocol == GENERATION:
        return EngineClient(settings.endpoint)
    return ServiceClient(settings.endpoint)


def _order_client(settings: SidecarSettings) -> OrderClient:
    if settings.protocol == GENERATION:
        return EngineOrderClient(settings.endpoint)
    return NullOrderClient()
