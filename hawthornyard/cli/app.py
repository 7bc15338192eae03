"""Build and run the command line application."""

import sys

import cyclopts

from .. import __version__
from ..errors import ErrorKind, HawthornyardError
from .demo import add_demo_command
from .exit import ExitCode
from .explain import add_explain_command
from .records import add_records_commands
from .rollout_state import add_rollout_command
from .run import add_run_commands
from .settings import add_settings_commands
from .standin import add_standin_commands
from .status import add_status_command
from .team_key import add_team_key_command

_EXIT_CODES = {
    ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    ErrorKind.RECORD_INVALID: ExitCode.INVALID,
    ErrorKind.SETTINGS_INVALID: ExitCode.INVALID,
    ErrorKind.RECORD_CONFLICT: ExitCode.CONFLICT,
    ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
}

_COMMANDS = (
    add_demo_command,
    add_run_commands,
    add_records_commands,
    add_settings_commands,
    add_team_key_command,
    add_status_command,
    add_explain_command,
    add_rollout_command,
    add_standin_commands,
)


def build_app() -> cyclopts.App:
    """Return the command line application."""
    app = cyclopts.App(
        name="hawthornyard",
        help="Route and schedule language model generations of unknown length.",
        version=__version__,
        result_action="return_value",
    )
    for add in _COMMANDS:
        add(app)
    return app


def run_app(args: list[str] | None = None) -> int:
    """Run one command and return its exit code.

    Args:
        args: Command line arguments, by default those of the process.
    """
    try:
        result = build_app()(args, exit_on_error=False)
    except cyclopts.CycloptsError:
        return ExitCode.USAGE
    except HawthornyardError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return _EXIT_CODES.get(exc.kind, ExitCode.FAILED)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except Exception as exc:
        print(f"error: {type(exc).__name__}: {exc}", file=sys.stderr)
        return ExitCode.FAILED
    return result if isinstance(result, ExitCode) else ExitCode.OK
