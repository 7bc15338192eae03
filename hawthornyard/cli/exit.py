"""Number the exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit code of a command tells.

    Attributes:
        OK: The command did what it was asked.
        FAILED: It failed for another reason than those below.
        USAGE: Its arguments could not be understood; nothing was done.
        INVALID: Records or settings are not valid; nothing was written.
        CONFLICT: Another change was accepted first; nothing was written.
        UNAVAILABLE: The table service or a gateway gave no answer.
        NOT_IN_FORCE: The change was accepted, but is not in force everywhere yet.
        INTERRUPTED: The person at the keyboard stopped it.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130
