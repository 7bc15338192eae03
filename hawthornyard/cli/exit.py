"""Define the exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the commands.

    Attributes:
        OK: The command succeeded.
        FAILED: It failed for a reason that no other code covers.
        USAGE: Its arguments are not valid; nothing was done.
        INVALID: Records or settings are not valid; nothing was written.
        CONFLICT: Another change was accepted first; nothing was written.
        UNAVAILABLE: The table service or a gateway did not respond.
        NOT_IN_FORCE: The change was accepted, but is not in force everywhere yet.
        INTERRUPTED: The user interrupted it with SIGINT.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130
