"""Define the source location of documents that were not read from a file."""

import json
from typing import Any

from .problem import Problem
from .violation import Violation

MAX_GIVEN_CHARS = 120


class UnknownLocation:
    """The source location of a document that was not read from a file.

    Attributes:
        where: Label of the source, empty for none.
    """

    __slots__ = ("where",)

    def __init__(self, where: str = "") -> None:
        self.where = where

    def problem(self, violation: Violation) -> Problem:
        """Return a problem without a line."""
        given = format_given(violation.given)
        return Problem(self.where, 0, violation.field, given, violation.allowed)


def format_given(value: Any) -> str:
    """Return a value as JSON text, truncated if long, empty for None."""
    if value is None:
        return ""
    text = json.dumps(value, default=str)
    if len(text) > MAX_GIVEN_CHARS:
        return text[:MAX_GIVEN_CHARS] + "..."
    return text
