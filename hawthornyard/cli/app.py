"""Define the command line."""

import sys

import cyclopts

from .. import __version__
from ..errors import ErrorKind, HawthornyardError
from .demo import add_demo_command
from .exit import ExitCode
from .run import add_run_commands
from .standin import add_standin_commands

_EXIT_CODES = {
    ErrorKind.RECORD_INVALID: ExitCode.INVALID,
    ErrorKind.SETTINGS_INVALID: ExitCode.INVALID,
    ErrorKind.RECORD_CONFLICT: ExitCode.CONFLICT,
    ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
}


def build_app() -> cyclopts.App:
    """Return the command line application."""
    app = cyclopts.App(
        name="hawthornyard",
        help="Serve language model generations of unknown length.",
        version=__version__,
    )
    add_demo_command(app)
    add_run_commands(app)
    add_standin_commands(app)
    return app


def run_app(args: list[str] | None = None) -> int:
    """Run one command and return its exit code.

    Args:
        args: Arguments, those of the process by default.
    """
    try:
        build_app()(args)
    except HawthornyardError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return _EXIT_CODES.get(exc.kind, ExitCode.FAILED)
    return ExitCode.OK
