"""Compose and run a gateway on the platform."""

import random
import signal
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import eventlet
from loguru import logger

from ..codec import MsgpackCodec
from ..core import (
    Drain,
    Feedback,
    Pipeline,
    ReloadRequested,
    Stopped,
    StopRequested,
    Tick,
)
from ..edge.chain import EdgeState, edge_chain
from ..edge.fleet.store import LONG_POLL_S
from ..edge.messages import (
    AttemptFailed,
    Closed,
    CopyAnswered,
    EndpointLeaving,
    EndpointRetired,
    EndpointsRead,
    ReplyBegan,
    ReplyEvents,
    ReportFailed,
    ReportRead,
    StoreAnswered,
    StoreFailed,
)
from ..frames import (
    CrashReport,
    CrashReportsRequested,
    EndpointLimit,
    EndpointPace,
    GatewayLoads,
    LeavingNotice,
    PartsSound,
    PossibleCrashReport,
    RolloutCounts,
    RolloutShare,
)
from ..front import HttpServer, ListenerSink, MetricsApplication, ReplyQueues
from ..front.exchange import Environ, StartResponse
from ..front.server import PROBE_CONNECTIONS, max_connections
from ..gateway.messages import CallerGone
from ..io import (
    DecisionLog,
    DiscardSink,
    EventletInbox,
    RandomIdentifiers,
    StopSink,
    freeze_startup_objects,
    run_loop,
    run_timer,
    split_address,
)
from ..io.clock import BootClock
from ..io.connection_resets import raise_on_reset
from ..io.datagrams import DatagramTransport
from ..io.edge_metrics import MeasureEdge
from ..io.log_queue import LogQueue
from ..io.metrics import ProgramMetrics
from ..net import PROCESS_BUDGET, max_held_bytes
from .copies import CopySink
from .feeds import endpoint_feed, operator_feed
from .front import PlatformFront
from .gateway_registry import GatewayRegistry
from .notices import NoticeReader
from .protocol import strict_protocol
from .reload import ReloadSink, apply_bounds
from .reports import ReportSink
from .rollouts import RolloutSink
from .runner import RunnerSink
from .settings import EdgeSettings
from .store import PlatformStore

READINESS_LAG_S = 3.0
"""Time until the load balancer stops sending callers to a gateway that is not ready:
two probes, one second apart, and a margin of one second."""

ROTATION_S = 2.2
"""Time until the load balancer has seen two failed probes and opens no new connections
to a gateway that is not ready."""

TICK_INTERVAL_S = 0.05


class ReadinessApplication:
    """WSGI application for the load balancer's readiness probes.

    Args:
        is_ready: Returns whether new callers may be sent here.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready: Any) -> None:
        self._is_ready = is_ready

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one probe with status 200 or 503."""
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        start(status, [("Content-Type", "text/plain")])
        return [b""]


class EdgeGateway:
    """One gateway process on the platform.

    Args:
        settings: Validated settings.
        settings_path: File that holds the settings, read again on SIGHUP.
        log_queue: Log queue whose dropped lines are counted by a metric, None to omit
            the metric.

    Attributes:
        state: State that the filters share.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        settings_path: Path,
        log_queue: LogQueue | None = None,
    ) -> None:
        raise_on_reset()
        if settings.memory_bytes is not None:
            PROCESS_BUDGET.max_bytes = max_held_bytes(settings.memory_bytes)
        self._settings = settings
        self._threads: list[Any] = []
        self._clock = BootClock()
        self._inbox = EventletInbox()
        self._stop = StopSink()
        self.state = EdgeState(settings.name, self._clock)
        self.state.grace.rotation_s = ROTATION_S
        apply_bounds(self.state, settings)
        self._metrics = ProgramMetrics(self._clock)
        self._add_gauges(log_queue)
        replies = ReplyQueues(ReplyBegan, ReplyEvents)
        front = PlatformFront(
            self._inbox,
            replies,
            RandomIdentifiers(),
            self.state.directory,
            lambda: self._drain.is_stopping,
        )
        self._server = HttpServer(
            split_address(settings.listen),
            front,
            protocol=strict_protocol(self.state.directory),
            size=max_connections(settings.max_descriptors),
        )
        self._drain = Drain(
            self.state.inflight,
            self._clock,
            exchanges=self._server.exchanges,
            readiness_lag_s=READINESS_LAG_S,
        )
        self._ready_server = HttpServer(
            split_address(settings.ready_listen),
            ReadinessApplication(self.is_ready),
            size=PROBE_CONNECTIONS,
        )
        self._metrics_server = HttpServer(
            (settings.address, settings.metrics_port),
            MetricsApplication(self._metrics.render),
            size=PROBE_CONNECTIONS,
        )
        store = PlatformStore(settings.store)
        random_source = random.Random()
        self._feeds = [
            operator_feed(
                store, self._inbox, self._clock, random_source, wait_s=LONG_POLL_S
            ),
            endpoint_feed(
                store,
                self._inbox,
                self._clock,
                random_source,
                contact_s=settings.contact_s,
                pause_s=self.state.pace.pause_s,
            ),
        ]
        self._datagrams = DatagramTransport(
            (settings.address, settings.peer_port),
            MsgpackCodec(),
            self._inbox,
            CrashReport,
            CrashReportsRequested,
            EndpointLimit,
            EndpointPace,
            GatewayLoads,
            LeavingNotice,
            PartsSound,
            PossibleCrashReport,
            RolloutCounts,
            RolloutShare,
        )
        self._registry = GatewayRegistry(
            settings.name,
            f"{settings.address}:{self._datagrams.port}",
            settings.failure_domain,
            store,
            self._inbox,
        )
        notices = NoticeReader(self._inbox, self._clock)
        self._pipeline = Pipeline(
            edge_chain(
                self.state,
                self._drain,
                self._clock,
                random_source,
                metrics_filters=[
                    MeasureEdge(self._metrics, self.state.inflight, self._clock)
                ],
            ),
            [
                Feedback(self._inbox, AttemptFailed, Closed),
                RunnerSink(self._inbox, notices),
                CopySink(self._inbox, notices),
                ReportSink(self._inbox, notices),
                self._datagrams,
                self._registry,
                RolloutSink(store, self._inbox, self._clock),
                DecisionLog(settings.name),
                DiscardSink(
                    Tick,
                    CallerGone,
                    CopyAnswered,
                    StopRequested,
                    ReportFailed,
                    ReportRead,
                    StoreAnswered,
                    StoreFailed,
                    EndpointsRead,
                    EndpointLeaving,
                    EndpointRetired,
                ),
                replies,
                ListenerSink(self._server),
                ReloadSink(settings_path, settings, self.state),
                self._stop,
            ],
        )

    @property
    def port(self) -> int:
        """Return the port that callers connect to."""
        return self._server.port

    @property
    def peer_port(self) -> int:
        """Return the port that frames of other gateways are received on."""
        return self._datagrams.port

    def start(self) -> Any:
        """Start all green threads.

        Returns:
            The green thread of the loop; it ends when the gateway has stopped.
        """
        self._threads = [
            eventlet.spawn(
                run_timer, self._inbox, self._clock, interval_s=TICK_INTERVAL_S
            ),
            *(eventlet.spawn(feed.run) for feed in self._feeds),
            eventlet.spawn(self._registry.run),
            eventlet.spawn(self._datagrams.run),
        ]
        for server in self._servers():
            server.start()
        return eventlet.spawn(run_loop, self._inbox, self._pipeline, self._stop)

    def run(self, *, is_reload_pending: Callable[[], bool]) -> None:
        """Run until SIGTERM or SIGINT, then until all requests have ended.

        Args:
            is_reload_pending: Returns whether SIGHUP came during start-up.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self.stop())
        signal.signal(signal.SIGHUP, lambda *_: self._inbox.put(ReloadRequested()))
        if is_reload_pending():
            self._inbox.put(ReloadRequested())
        loop = self.start()
        freeze_startup_objects()
        logger.bind(process=self._settings.name).info("started")
        loop.wait()
        self._server.wait()
        logger.bind(process=self._settings.name).info("stopped")

    def stop(self) -> None:
        """Fail readiness, finish the requests in flight, then end the loop."""
        self._inbox.put(StopRequested())

    def close(self) -> None:
        """Stop at once and drop open requests.

        Tests use this to stop a gateway that runs in their own process.
        """
        self._inbox.put(Stopped())
        for thread in self._threads:
            thread.kill()
        for server in self._servers():
            server.close()

    def _add_gauges(self, log_queue: LogQueue | None) -> None:
        state = self.state
        add_gauge = self._metrics.add_gauge
        add_gauge(
            "requests_in_flight", "Requests not yet answered.", state.inflight.__len__
        )
        add_gauge(
            "deployment_version",
            "Version of the deployment in force.",
            lambda: state.directory.version,
        )
        add_gauge(
            "deployment_age_seconds",
            "Time since the deployment was known to be the newest.",
            lambda: state.directory.age_s,
        )
        add_gauge(
            "gateways", "Gateways that are known.", lambda: state.peers.n_gateways
        )
        add_gauge(
            "endpoints_accepting",
            "Endpoints that take new work.",
            lambda: sum(map(state.eligibility.accepts, state.endpoints)),
        )
        add_gauge(
            "endpoints_limited",
            "Endpoints that name a limit on their requests.",
            lambda: sum(
                endpoint.allowance.limit.per_s is not None
                for endpoint in state.endpoints
            ),
        )
        add_gauge(
            "endpoints_paused",
            "Endpoints that asked for a pause that has not ended.",
            lambda: sum(
                endpoint.allowance.pause.is_in_force for endpoint in state.endpoints
            ),
        )
        add_gauge(
            "endpoints_with_pace",
            "Endpoints whose reported pace is recent enough to be used.",
            lambda: sum(endpoint.pace.is_fresh for endpoint in state.endpoints),
        )
        add_gauge(
            "endpoints_slow",
            "Endpoints on which work takes much longer than usual at this moment.",
            lambda: sum(endpoint.pace.is_slow for endpoint in state.endpoints),
        )
        add_gauge(
            "parts_quarantined",
            "Parts of prompts that are kept from endpoints.",
            lambda: state.crash_evidence.n_accused,
        )
        add_gauge(
            "rollouts_running",
            "Rollouts that are not over.",
            lambda: sum(not rollout.is_over for rollout in state.rollouts),
        )
        add_gauge(
            "rollout_exposed_requests",
            "Requests that tested a new version.",
            lambda: sum(rollout.exposure.n_exposed for rollout in state.rollouts),
        )
        add_gauge(
            "held_bytes",
            "Bytes of messages that are held in memory.",
            lambda: PROCESS_BUDGET.n_bytes,
        )
        add_gauge(
            "messages_evicted",
            "Messages dropped because all together were too large.",
            lambda: PROCESS_BUDGET.n_evicted,
        )
        add_gauge(
            "held_bytes_max",
            "Bytes that may be held in memory.",
            lambda: PROCESS_BUDGET.max_bytes,
        )
        add_gauge(
            "connections_open",
            "Connections of clients.",
            lambda: self._server.pool.running(),
        )
        add_gauge(
            "connections_evicted",
            "Connections closed as there were too many.",
            lambda: self._server.pool.n_evicted,
        )
        add_gauge(
            "clients_stalled",
            "Clients cut off as they took nothing of their response.",
            lambda: self._server.exchanges.n_stalled,
        )
        if log_queue is not None:
            add_gauge(
                "log_lines_dropped", "Log lines dropped.", lambda: log_queue.n_dropped
            )

    def _servers(self) -> tuple[HttpServer, ...]:
        return self._server, self._ready_server, self._metrics_server

    def is_ready(self) -> bool:
        """Return whether new callers may be sent here."""
        if self._drain.is_stopping or not self.state.endpoints.is_loaded:
            return False
        return self.state.directory.is_ready
