"""Define the team-key command."""

import re

import cyclopts

from ..errors import RecordError
from ..records import new_key
from .option import OutputOption
from .output import Result, show

_NAME = re.compile("^[a-z0-9][a-z0-9-]{0,62}$")


def add_team_key_command(app: cyclopts.App) -> None:
    """Add the team-key command to the command line."""
    app.command(team_key)


def team_key(team: str, /, *, output: OutputOption = "text") -> None:
    """Create a key for a team and the hash for its record.

    The key is printed once and not stored.

    Args:
        team: Name of the team record.
        output: Output format: tables, or JSON.
    """
    if not _NAME.match(team):
        allowed = "lower-case letters, digits and hyphens, at most 63"
        raise RecordError(f"given {team}; allowed: {allowed}")
    key, key_hash = new_key(team)
    body = {"team": team, "key": key, "key_hash": key_hash}
    notes = [f"key:      {key}", f"key_hash: {key_hash}"]
    show(Result(body, notes=notes), output)
