"""Stand for the place of documents that came from no file."""

import json
from typing import Any

from .problem import Problem
from .violation import Violation

MAX_GIVEN_CHARS = 120


class Unplaced:
    """The place of a document that came from no file.

    Attributes:
        where: What to call it.
    """

    __slots__ = ("where",)

    def __init__(self, where: str = "") -> None:
        self.where = where

    def problem(self, violation: Violation) -> Problem:
        """Return a violation without file and line."""
        given = as_given(violation.given)
        return Problem(self.where, 0, violation.field, given, violation.allowed)


def as_given(value: Any) -> str:
    """Return a value in short for people, empty for a missing one."""
    if value is None:
        return ""
    text = json.dumps(value, default=str)
    if len(text) > MAX_GIVEN_CHARS:
        return text[:MAX_GIVEN_CHARS] + "..."
    return text
