"""Compose and run a gateway."""

import random
import signal
from typing import Any

import eventlet
from loguru import logger

from ..codec import MsgpackCodec
from ..core import (
    Consumers,
    Drain,
    Feedback,
    PeerDown,
    PeerUp,
    Pipeline,
    StopRequested,
    Tick,
)
from ..frames import SENT_BY_GATEWAY, Heartbeat
from ..front import Application, HttpServer, ListenerSink, ReplyQueues
from ..io import (
    ConfigPoller,
    Connections,
    DecisionLog,
    DiscardSink,
    EventletInbox,
    FrameSink,
    PeerLinks,
    PeerListener,
    RandomIdentifiers,
    StopSink,
    freeze_startup_objects,
    run_loop,
    run_timer,
    split_address,
)
from ..io.calendar import UtcCalendar
from ..io.claims import ClaimWriter
from ..io.clock import BootClock
from ..io.gateway_metrics import CallTimes, MeasureReplies, RecordArrivals
from ..io.host_poller import HostPoller
from ..io.metrics import ProgramMetrics
from ..io.plan_table import PlanTable
from ..planner import DemandDrivenPlacement, PlannerState, planner_chain
from ..records import Catalog
from ..settings import GatewaySettings
from ..stores import HttpHostList, TableStore
from .chain import gateway_chain
from .fleet import (
    MAX_MISSED_HEARTBEATS,
    Fleet,
    FleetPlannerInput,
    PeerGateways,
    SidecarSubset,
)
from .inflight import InFlight
from .messages import (
    AttemptFailed,
    CallerGone,
    Closed,
    ConfigChanged,
    ConnectionSuspected,
    HeartbeatIntervalChanged,
    LinkRequested,
)


class LinkSink:
    """Keep the peer links to the chosen sidecars and the other gateways."""

    __slots__ = ("_gateways", "_links", "_subset", "consumers")

    def __init__(
        self, catalog: Catalog, links: PeerLinks, settings: GatewaySettings
    ) -> None:
        self._subset = SidecarSubset(settings.name, catalog)
        self._links = links
        self._gateways = {
            name: address
            for name, address in settings.peers.items()
            # In each pair of gateways, the one whose name sorts first connects.
            if settings.name < name
        }
        self.consumers: Consumers = {
            ConfigChanged: self._on_config_changed,
            LinkRequested: self._on_link_requested,
            HeartbeatIntervalChanged: self._on_heartbeat_interval_changed,
            ConnectionSuspected: self._on_connection_suspected,
        }

    def refresh(self) -> None:
        """Connect to the current set of gateways and sidecars."""
        self._links.set_addresses({**self._subset.addresses(), **self._gateways})

    def _on_config_changed(self, msg: ConfigChanged) -> None:
        self.refresh()

    def _on_link_requested(self, msg: LinkRequested) -> None:
        self._subset.include(msg.endpoint)
        self.refresh()

    def _on_connection_suspected(self, msg: ConnectionSuspected) -> None:
        self._links.reconnect(msg.peer)

    def _on_heartbeat_interval_changed(self, msg: HeartbeatIntervalChanged) -> None:
        self._links.set_idle_timeout(MAX_MISSED_HEARTBEATS * msg.interval_s)


class Gateway:
    """One gateway; the demo runs several in one process.

    Args:
        settings: Validated settings.
        table: The platform's table service.
    """

    def __init__(self, settings: GatewaySettings, table: TableStore) -> None:
        self._settings = settings
        self._clock = BootClock()
        self._inbox = EventletInbox()
        self._stop = StopSink()
        self.catalog = Catalog()
        self.inflight = InFlight()
        self.fleet = Fleet(self.catalog, self._clock)
        identifiers = RandomIdentifiers()
        connections = Connections(self._inbox)
        codec = MsgpackCodec()
        links = PeerLinks(
            settings.name, settings.peer_key, codec, connections, self._inbox
        )
        self._link_sink = LinkSink(self.catalog, links, settings)
        self._listener = _peer_listener(settings, codec, connections, self._inbox)
        replies = ReplyQueues()
        app = Application(self._inbox, replies, identifiers, self)
        self._server = HttpServer(split_address(settings.listen), app)
        self._drain = Drain(
            self.inflight, self._clock, exchanges=self._server.exchanges
        )
        self._claims = ClaimWriter(table, self._inbox)
        self._poll = ConfigPoller(table, self._inbox)
        peer_gateways = PeerGateways(settings.name, settings.peers, self._clock)
        self._plan_table = PlanTable(table, self._inbox, self._clock)
        self._host_poll = _host_poll(settings, self._inbox)
        holder = f"{settings.name}/{identifiers.new()}"
        self.planner_state = PlannerState(
            holder,
            self._clock,
            identifiers,
            duration_s=settings.planner_lease_s,
        )
        self._metrics = ProgramMetrics(self._clock)
        times = CallTimes()
        chain = gateway_chain(
            self.catalog,
            self.inflight,
            self.fleet,
            peer_gateways,
            self._drain,
            self._clock,
            random.Random(),
            identifiers,
            planner_chain(
                self.planner_state,
                FleetPlannerInput(
                    self.catalog,
                    self.fleet,
                    self.inflight,
                    UtcCalendar(),
                    self._clock,
                ),
                DemandDrivenPlacement(
                    self._clock, weight_bytes_per_s=settings.weight_bytes_per_s
                ),
                self._clock,
                random.Random(),
            ),
            at_head=[RecordArrivals(times, self._clock)],
            before_close=[
                MeasureReplies(self._metrics, times, self.inflight, self._clock)
            ],
        )
        self._add_gauges(connections, replies)
        self._pipeline = Pipeline(
            chain,
            [
                Feedback(self._inbox, AttemptFailed, Closed),
                FrameSink(connections, *SENT_BY_GATEWAY),
                self._link_sink,
                DecisionLog(settings.name),
                DiscardSink(
                    Tick, PeerUp, PeerDown, Heartbeat, CallerGone, StopRequested
                ),
                replies,
                self._claims,
                self._plan_table,
                ListenerSink(self._server),
                self._stop,
            ],
        )

    @property
    def port(self) -> int:
        """Return the port that callers connect to."""
        return self._server.port

    def start(self) -> Any:
        """Start all green threads.

        Returns:
            The green thread of the loop, which ends when the gateway has stopped.
        """
        eventlet.spawn_n(run_timer, self._inbox, self._clock)
        eventlet.spawn_n(self._poll.run)
        self._claims.start()
        self._link_sink.refresh()
        if self._listener is not None:
            eventlet.spawn_n(self._listener.run)
        self._plan_table.start()
        if self._host_poll is not None:
            eventlet.spawn_n(self._host_poll.run)
        self._server.start()
        return eventlet.spawn(run_loop, self._inbox, self._pipeline, self._stop)

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then until all requests are closed."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stop())
        loop = self.start()
        freeze_startup_objects()
        logger.bind(process=self._settings.name, port=self.port).info("started")
        loop.wait()
        self._server.wait()
        logger.bind(process=self._settings.name).info("stopped")

    def stop(self) -> None:
        """Fail readiness, finish the requests in flight, then end the loop."""
        self._inbox.put(StopRequested())

    def is_ready(self) -> bool:
        """Return whether the gateway has records and is not stopping."""
        return not self._drain.is_stopping and self.catalog.revision > 0

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render()

    def _add_gauges(self, connections: Connections, replies: ReplyQueues) -> None:
        add = self._metrics.add_gauge
        add("requests_in_flight", "Requests not yet answered.", self.inflight.__len__)
        add("callers_waiting", "Exchanges that wait for replies.", replies.__len__)
        add("peer_connections", "Connections to peers.", connections.__len__)
        add(
            "config_revision",
            "Configuration revision in force.",
            lambda: self.catalog.revision,
        )
        add(
            "endpoints_accepting",
            "Endpoints that take new work.",
            lambda: sum(view.accepting for view in self.fleet.views()),
        )
        add(
            "endpoints_limit",
            "Attempts that all endpoints may run.",
            lambda: sum(view.limit for view in self.fleet.views()),
        )

    def status(self) -> dict[str, Any]:
        """Return this gateway's view of the fleet."""
        return {
            "name": self._settings.name,
            "revision": self.catalog.revision,
            "not_understood": sorted(self.catalog.not_understood),
            "n_in_flight": len(self.inflight),
            "endpoints": [
                {
                    "name": view.endpoint,
                    "failure_domain": view.failure_domain,
                    "revision": view.revision,
                    "accepting": view.accepting,
                    "n_running": view.n_running,
                    "n_waiting": view.n_waiting,
                    "limit": view.limit,
                    "load": view.load,
                }
                for view in self.fleet.views()
            ],
        }


def _host_poll(settings: GatewaySettings, inbox: EventletInbox) -> HostPoller | None:
    if not settings.hosts:
        return None
    return HostPoller(HttpHostList(settings.hosts), inbox)


def _peer_listener(
    settings: GatewaySettings,
    codec: MsgpackCodec,
    connections: Connections,
    inbox: EventletInbox,
) -> PeerListener | None:
    if not settings.peer_listen:
        return None
    return PeerListener(
        split_address(settings.peer_listen),
        settings.name,
        settings.peer_key,
        codec,
        connections,
        inbox,
    )
