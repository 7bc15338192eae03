"""Define the options that several commands share."""

import os
from collections.abc import Sequence
from typing import Annotated

from cyclopts import Parameter

from ..errors import ErrorKind, HawthornyardError
from .output import Output

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
        help="URL of the table service; adds what is accepted there.",
    ),
]
OutputOption = Annotated[
    Output, Parameter(name="--output", help="Tables for people, or JSON.")
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
        base: Revision that records diff showed; a conflict if it moved on.
        wait: Wait until the change is in force at the gateways.
        gateway: URL of a gateway to wait for; may be repeated.
        timeout_s: Seconds to wait at most.
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
        """Return the gateways to wait for, none without `wait`."""
        return gateway_urls(self.gateway) if self.wait else []


class UsageError(HawthornyardError):
    """A command that lacks an option."""

    kind = ErrorKind.BAD_REQUEST


def gateway_urls(given: Sequence[str] | None) -> list[str]:
    """Return the URLs of the gateways to ask.

    Args:
        given: URLs from the command line.

    Raises:
        UsageError: If neither the command line nor the environment names one.
    """
    listed = os.environ.get(GATEWAYS_VARIABLE, "").split(",")
    urls = list(given or ()) or [url.strip() for url in listed if url.strip()]
    if not urls:
        raise UsageError(f"name a gateway with --gateway URL or {GATEWAYS_VARIABLE}")
    return urls
