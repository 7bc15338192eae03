"""Read typed fields of decoded JSON objects."""

import json
from typing import Any

from ..errors import RecordError

MAX_NUMBER = 2**53
"""Largest number that is accepted; above it, not every integer is a float."""

MAX_SHOWN = 100
"""Characters of a value that an error tells."""


def decode_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object that the bytes encode.

    Raises:
        RecordError: If the bytes are not a JSON object.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise RecordError(f"invalid JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise RecordError("the JSON value is not an object")
    return value


def get_text(source: dict[str, Any], name: str) -> str:
    """Return the text in a field.

    Raises:
        RecordError: If the field is missing, empty or of another type.
    """
    value = source.get(name)
    if not isinstance(value, str) or not value:
        raise RecordError(
            f"field {name!r} is {shorten(value)}, expected a text that is not empty"
        )
    return value


def get_number(
    source: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return the number in a field, `default` if the field is missing.

    Raises:
        RecordError: If the field is missing without a default, negative, above
            `MAX_NUMBER` or of another type.
    """
    value: Any = source.get(name, default)
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise RecordError(
            f"field {name!r} is {shorten(value)}, expected a number from 0 to 2**53"
        )
    return float(value)


def shorten(value: Any) -> str:
    """Return the text of a value that an error tells, cut after some characters."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def get_flag(source: dict[str, Any], name: str) -> bool:
    """Return the boolean in a field, False if the field is missing.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name, False)
    if not isinstance(value, bool):
        raise RecordError(f"field {name!r} is {shorten(value)}, expected true or false")
    return value


def get_object(source: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the object in a field, empty if the field is missing or null.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise RecordError(f"field {name!r} is {shorten(value)}, expected an object")
    return value


def get_objects(source: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return the list of objects in a field, empty if the field is missing or null.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name) or []
    if not isinstance(value, list) or not all(isinstance(x, dict) for x in value):
        raise RecordError(f"field {name!r} must be a list of objects")
    return value


def get_texts(source: dict[str, Any], name: str) -> list[str]:
    """Return the list of texts in a field, empty if the field is missing or null.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name) or []
    if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
        raise RecordError(f"field {name!r} must be a list of texts")
    return value
