"""Type checks for decoded message fields."""

import math
import types
import typing
from collections.abc import Callable, Sequence
from typing import Any

from ..core import Message
from ..errors import FrameError

Check = Callable[[Any], bool]


class FieldChecker:
    """Checker of the decoded fields of one message type.

    The checks are derived once from the annotations of the constructor.
    Trailing fields with defaults may be missing, so that messages from an
    older peer are accepted.

    Args:
        cls: Message type.
    """

    __slots__ = ("_checks", "_name", "_n_required")

    def __init__(self, cls: type[Message]) -> None:
        hints = typing.get_type_hints(cls.__init__)
        hints.pop("return", None)
        self._name = cls.__name__
        self._checks = [_check_for(hint) for hint in hints.values()]
        n_defaults = len(getattr(cls.__init__, "__defaults__", None) or ())
        self._n_required = len(self._checks) - n_defaults

    def check(self, values: Any) -> None:
        """Check the number and the types of the field values.

        Args:
            values: Decoded fields in constructor order.

        Raises:
            FrameError: If `values` is not a list, or the number of values or
                a type is wrong.
        """
        if type(values) is not list:
            raise FrameError(
                f"{self._name} must be a list of fields, got {type(values).__name__}"
            )
        if not self._n_required <= len(values) <= len(self._checks):
            raise FrameError(
                f"{self._name} has {len(values)} fields, expected "
                f"{self._n_required} to {len(self._checks)}"
            )
        for check, value in zip(self._checks, values, strict=False):
            if not check(value):
                raise FrameError(
                    f"{self._name} has a field of wrong type {type(value).__name__}"
                )


def _check_for(hint: Any) -> Check:
    if hint is float:
        return _is_finite_number
    if isinstance(hint, types.UnionType):
        return _type_check(*typing.get_args(hint))
    if typing.get_origin(hint) is Sequence:
        (item,) = typing.get_args(hint)
        return _list_check(_check_for(item))
    return _type_check(hint)


def _type_check(*allowed: type) -> Check:
    # Exact types, because isinstance would accept a bool as an int.
    return lambda value: type(value) in allowed


def _list_check(check: Check) -> Check:
    return lambda value: type(value) is list and all(map(check, value))


def _is_finite_number(value: Any) -> bool:
    return type(value) in (float, int) and math.isfinite(value)
