"""Define the commands that run a gateway or a sidecar."""

from pathlib import Path

import cyclopts

from ..gateway.program import Gateway
from ..io import configure_log
from ..settings import load_gateway_settings, load_sidecar_settings
from ..sidecar.program import Sidecar
from ..stores import HttpTableStore


def add_run_commands(app: cyclopts.App) -> None:
    """Add the gateway and sidecar commands to the command line."""
    app.command(gateway)
    app.command(sidecar)


def gateway(*, config: Path) -> None:
    """Run a gateway until SIGTERM.

    Args:
        config: YAML settings file.
    """
    settings = load_gateway_settings(config)
    configure_log(level=settings.log_level)
    Gateway(settings, HttpTableStore(settings.table)).run()


def sidecar(*, config: Path) -> None:
    """Run the sidecar of one endpoint until SIGTERM.

    Args:
        config: YAML settings file.
    """
    settings = load_sidecar_settings(config)
    configure_log(level=settings.log_level)
    Sidecar(settings).run()
