"""Show the main job in one process."""

import sys

import cyclopts

from ..demo import run_demo
from .exit import ExitCode


def add_demo_command(app: cyclopts.App) -> None:
    """Add the demo to the command line."""
    app.command(demo)


def demo(*, verbose: bool = False) -> None:
    """Run every role and the stand-ins in this process and show the main job.

    Args:
        verbose: Show the decision log lines as well.
    """
    if not run_demo(verbose=verbose):
        sys.exit(ExitCode.FAILED)
