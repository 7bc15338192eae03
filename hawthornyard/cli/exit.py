"""Number the exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit code of a command tells."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
