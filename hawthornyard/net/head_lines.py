"""Bound the lines of heads by their bytes.

The standard library refuses a head of more than 100 lines, however short they are, in
requests and in responses. All readers of heads here have a bound in bytes, from which
the bound on lines follows.
"""

import http.client

MAX_HEAD_BYTES = 65_536
"""Largest head that any reader of this process takes."""

MIN_LINE_BYTES = 3
"""Shortest line of a head, a name of one letter with a line feed after the colon."""

MAX_HEAD_LINES = MAX_HEAD_BYTES // MIN_LINE_BYTES


def lift_line_bound() -> None:
    """Let `http.client` and `http.server` read `MAX_HEAD_LINES` lines of a head.

    The standard library has this bound as a variable of the module only.
    """
    vars(http.client)["_MAXHEADERS"] = MAX_HEAD_LINES
