"""Define the demo command."""

import sys

import cyclopts

from ..demo import run_demo
from .exit import ExitCode


def add_demo_command(app: cyclopts.App) -> None:
    """Add the demo command to the command line."""
    app.command(demo)


def demo(*, verbose: bool = False) -> None:
    """Run a whole deployment with stand-ins in one process and show how it works.

    Args:
        verbose: Show the decision log lines too.
    """
    if not run_demo(verbose=verbose):
        sys.exit(ExitCode.FAILED)
