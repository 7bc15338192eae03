"""Define the commands for settings files."""

from pathlib import Path

import cyclopts

from ..documents import format_problems
from ..errors import SettingsError
from ..settings import SETTINGS_SCHEMAS, secret_problems, settings_problems
from .output import Result, show

settings_app = cyclopts.App(
    name="settings", help="Validate settings files and print their schemas."
)


def add_settings_commands(app: cyclopts.App) -> None:
    """Add the settings commands to the command line."""
    app.command(settings_app)


@settings_app.command
def check(paths: list[Path], /, *, secrets: bool = False) -> None:
    """Validate settings files of gateways and sidecars.

    Args:
        paths: YAML settings files.
        secrets: Validate the secrets in the environment too.
    """
    problems = [problem for path in paths for problem in settings_problems(path)]
    if secrets:
        problems += secret_problems()
    if problems:
        raise SettingsError(format_problems(problems))
    notes = [f"{path}: valid" for path in paths]
    show(Result(None, notes=notes), "text")


@settings_app.command
def schema(program: str, /) -> None:
    """Print the JSON Schema of a program's settings.

    Args:
        program: gateway or sidecar.
    """
    if program not in SETTINGS_SCHEMAS:
        allowed = f"one of {', '.join(SETTINGS_SCHEMAS)}"
        raise SettingsError(f"given {program}; allowed: {allowed}")
    show(Result(SETTINGS_SCHEMAS[program]), "json")
