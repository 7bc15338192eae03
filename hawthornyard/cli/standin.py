"""Define the commands that run stand-ins of external systems."""

from pathlib import Path
from typing import Literal

import cyclopts
import eventlet
from loguru import logger

from ..front import HttpServer
from ..io import MonotonicClock, configure_log, split_address
from ..platform.standins import EndpointStandIn, Journal, PlatformStoreApp
from ..standins import (
    EngineModel,
    EngineStandIn,
    HostListStandIn,
    MemoryTable,
    ObjectStoreStandIn,
    ServiceStandIn,
    TableStandIn,
    WeightModel,
    WeightStoreStandIn,
)

standin_app = cyclopts.App(
    name="standin", help="Run stand-ins of external systems, for testing only."
)


def add_standin_commands(app: cyclopts.App) -> None:
    """Add the stand-in commands to the command line."""
    app.command(standin_app)


@standin_app.command
def engine(*, listen: str, step_s: float = 0.02) -> None:
    """Run a stand-in model engine.

    Args:
        listen: "address:port" to listen on.
        step_s: Seconds between tokens.
    """
    standin = EngineStandIn(EngineModel(step_s=step_s))
    eventlet.spawn_n(standin.run)
    _serve(listen, standin.app)


@standin_app.command
def service(*, listen: str, delay_s: float = 0.01) -> None:
    """Run a stand-in plain service.

    Args:
        listen: "address:port" to listen on.
        delay_s: Duration of a call, in seconds.
    """
    _serve(listen, ServiceStandIn(delay_s=delay_s).app)


@standin_app.command
def table(*, listen: str) -> None:
    """Run a stand-in table service.

    Args:
        listen: "address:port" to listen on.
    """
    _serve(listen, TableStandIn(MemoryTable()).app)


@standin_app.command
def objects(*, listen: str) -> None:
    """Run a stand-in object store.

    Args:
        listen: "address:port" to listen on.
    """
    _serve(listen, ObjectStoreStandIn().app)


@standin_app.command
def weights(*, listen: str, bytes_per_s: float = 2e9) -> None:
    """Run a stand-in weight store.

    Args:
        listen: "address:port" to listen on.
        bytes_per_s: Total rate of all readers.
    """
    model = WeightModel(MonotonicClock(), bytes_per_s=bytes_per_s)
    _serve(listen, WeightStoreStandIn(model).app)


@standin_app.command
def hosts(*, listen: str) -> None:
    """Run a stand-in host list; POST /v1/hosts changes it.

    Args:
        listen: "address:port" to listen on.
    """
    _serve(listen, HostListStandIn().app)


@standin_app.command
def platform_store(*, listen: str) -> None:
    """Run a stand-in store of the users' platform.

    Args:
        listen: "address:port" to listen on.
    """
    _serve(listen, PlatformStoreApp())


@standin_app.command
def platform_endpoint(
    *,
    listen: str,
    name: str,
    slots: int = 24,
    step_s: float = 0.02,
    born: int = 0,
    journal: Path | None = None,
    deadly_part: str = "",
    deadly_end: Literal["close", "reset", "mute", "event"] = "close",
) -> None:
    """Run a stand-in endpoint of the users' platform.

    Args:
        listen: "address:port" to listen on.
        name: Name of the endpoint.
        slots: Maximum number of concurrent requests.
        step_s: Seconds between events, and duration of a plain request.
        born: Incarnation number that it reports, a time in milliseconds.
        journal: File that records what was run, as one JSON object per line.
        deadly_part: Part of prompts, not the last, that ends the process as it begins
            to answer; empty for none.
        deadly_end: How the process ends then: after the head of the answer, which
            "reset" discards unread; without an answer; or some time after the first
            event.
    """
    endpoint = EndpointStandIn(
        name,
        Journal(journal),
        born=born,
        n_slots=slots,
        step_s=step_s,
        deadly_part=deadly_part,
        deadly_end=deadly_end,
    )
    _serve(listen, endpoint)


def _serve(listen: str, app: object) -> None:
    configure_log()
    server = HttpServer(split_address(listen), app)
    server.start()
    logger.bind(process="standin", port=server.port).info("started")
    server.wait()
