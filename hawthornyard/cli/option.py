"""Define options shared by several commands."""

import os
from collections.abc import Sequence
from typing import Annotated

from cyclopts import Parameter

from ..errors import ErrorKind, HawthornyardError
from .output import OutputFormat

TABLE_VARIABLE = "HAWTHORNYARD_TABLE"
GATEWAYS_VARIABLE = "HAWTHORNYARD_GATEWAYS"
AUTHOR_VARIABLE = "HAWTHORNYARD_AUTHOR"

DEFAULT_TIMEOUT_S = 30.0

TableOption = Annotated[
    str,
    Parameter(
        name="--table",
        env_var=TABLE_VARIABLE,
        help="URL of the platform's table service.",
    ),
]
OptionalTableOption = Annotated[
    str,
    Parameter(
        name="--table",
        env_var=TABLE_VARIABLE,
        help="URL of the table service; adds the accepted records.",
    ),
]
OutputOption = Annotated[
    OutputFormat, Parameter(name="--output", help="Output format: tables, or JSON.")
]
GatewaysOption = Annotated[
    list[str] | None,
    Parameter(
        name="--gateway",
        negative="",
        help=f"URL of a gateway; may be repeated. Default: {GATEWAYS_VARIABLE}, "
        "separated by commas.",
    ),
]


@Parameter(name="*")
class ChangeOptions:
    """Options of the commands that write a change.

    Attributes:
        table: URL of the platform's table service.
        author: Who makes the change; the login name by default.
        message: Why the change is made.
        base: Expected revision, as printed by records diff; a conflict if another
            change was accepted since.
        wait: Wait until the change is in force at the gateways and their sidecars.
        gateway: URL of a gateway to wait for; may be repeated.
        timeout_s: Maximum time to wait, in seconds.
    """

    __slots__ = (
        "author",
        "base",
        "gateway",
        "message",
        "table",
        "timeout_s",
        "wait",
    )

    def __init__(
        self,
        *,
        table: TableOption,
        author: Annotated[str, Parameter(env_var=AUTHOR_VARIABLE)] = "",
        message: Annotated[str, Parameter(name=["--message", "-m"])] = "",
        base: int | None = None,
        wait: Annotated[bool, Parameter(negative="")] = False,
        gateway: GatewaysOption = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self.table = table
        self.author = author or os.environ.get("USER") or "unknown"
        self.message = message
        self.base = base
        self.wait = wait
        self.gateway = gateway
        self.timeout_s = timeout_s

    def gateway_urls(self) -> list[str]:
        """Return the URLs of the gateways to wait for, none without `wait`."""
        return gateway_urls(self.gateway) if self.wait else []


class UsageError(HawthornyardError):
    """A command without a required option."""

    kind = ErrorKind.BAD_REQUEST


def gateway_urls(given: Sequence[str] | None) -> list[str]:
    """Return the URLs of the gateways to query.

    Args:
        given: URLs from the command line. If there are none, the environment
            variable HAWTHORNYARD_GATEWAYS is used.

    Raises:
        UsageError: If neither the command line nor the environment gives a URL.
    """
    listed = os.environ.get(GATEWAYS_VARIABLE, "").split(",")
    urls = list(given or ()) or [url.strip() for url in listed if url.strip()]
    if not urls:
        raise UsageError(f"no gateway given; use --gateway URL or {GATEWAYS_VARIABLE}")
    return urls
