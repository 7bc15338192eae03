"""Print the results of commands as tables or as JSON."""

import json
import sys
from collections.abc import Sequence
from typing import Any, Literal, Protocol

import rich.box
import rich.console
import rich.table

from ..core import Message

OutputFormat = Literal["text", "json"]

# Table width when standard output is not a terminal; wide enough not to wrap rows.
DEFAULT_WIDTH_CHARS = 200
# Rows of a table in text output; JSON output is not limited.
MAX_ROWS = 500


class Result(Message):
    """The result of a command.

    Attributes:
        body: The whole result, for JSON output.
        columns: Column headings of the table.
        rows: Cells of the table, row by row; without rows, no table is printed.
        notes: Lines printed below the table.
    """

    __slots__ = ("body", "columns", "rows", "notes")

    def __init__(
        self,
        body: Any,
        *,
        columns: Sequence[str] = (),
        rows: Sequence[Sequence[object]] = (),
        notes: Sequence[str] = (),
    ) -> None:
        self.body = body
        self.columns = columns
        self.rows = rows
        self.notes = notes


class Printer(Protocol):
    """A printer of results in one output format."""

    def show(self, result: Result) -> None:
        """Print a result to standard output."""
        ...


class TextPrinter:
    """A printer of tables and notes."""

    __slots__ = ()

    def show(self, result: Result) -> None:
        """Print a result to standard output."""
        console = make_console()
        if result.rows:
            console.print(_build_table(result))
        n_omitted = len(result.rows) - MAX_ROWS
        if n_omitted > 0:
            console.print(f"{n_omitted} more rows; --output json shows them all.")
        for note in result.notes:
            console.print(note, soft_wrap=True)


class JsonPrinter:
    """A printer of JSON."""

    __slots__ = ()

    def show(self, result: Result) -> None:
        """Print a result to standard output."""
        print(json.dumps(result.body, indent=2))


_PRINTERS: dict[OutputFormat, Printer] = {"text": TextPrinter(), "json": JsonPrinter()}


def show(result: Result, output: OutputFormat) -> None:
    """Print a result to standard output.

    Args:
        result: The result.
        output: Output format.
    """
    _PRINTERS[output].show(result)


def make_console(*, to_stderr: bool = False) -> rich.console.Console:
    """Return a console that prints text literally, without markup."""
    stream = sys.stderr if to_stderr else sys.stdout
    width = None if stream.isatty() else DEFAULT_WIDTH_CHARS
    return rich.console.Console(
        file=stream, width=width, markup=False, highlight=False, emoji=False
    )


def _build_table(result: Result) -> rich.table.Table:
    table = rich.table.Table(box=rich.box.SIMPLE_HEAD, pad_edge=False)
    for column in result.columns:
        table.add_column(column, overflow="fold")
    for row in result.rows[:MAX_ROWS]:
        table.add_row(*(_format_cell(value) for value in row))
    return table


def _format_cell(value: object) -> str:
    if isinstance(value, str):
        return value
    if value is None:
        return ""
    return json.dumps(value)
