"""Take typed fields out of decoded JSON."""

import json
from typing import Any

from ..errors import RecordError


def decode_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object in some bytes.

    Raises:
        RecordError: If there is none.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise RecordError(f"not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise RecordError("not a JSON object")
    return value


def get_text(source: dict[str, Any], name: str) -> str:
    """Return a text that is not empty.

    Raises:
        RecordError: If the field is missing or of another type.
    """
    value = source.get(name)
    if not isinstance(value, str) or not value:
        raise RecordError(f"field {name!r} is {value!r}, expected a text")
    return value


def get_number(
    source: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a number that is not negative.

    Raises:
        RecordError: If the field is missing without a default, or of another type.
    """
    value: Any = source.get(name, default)
    if type(value) not in (int, float) or not 0 <= value < float("inf"):
        raise RecordError(f"field {name!r} is {value!r}, expected a number")
    return float(value)


def get_flag(source: dict[str, Any], name: str) -> bool:
    """Return a truth value, false if the field is missing.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name, False)
    if not isinstance(value, bool):
        raise RecordError(f"field {name!r} is {value!r}, expected true or false")
    return value


def get_objects(source: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty if the field is missing.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name) or []
    if not isinstance(value, list) or not all(isinstance(x, dict) for x in value):
        raise RecordError(f"field {name!r} is not a list of objects")
    return value


def get_texts(source: dict[str, Any], name: str) -> list[str]:
    """Return a list of texts, empty if the field is missing.

    Raises:
        RecordError: If the field is of another type.
    """
    value = source.get(name) or []
    if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
        raise RecordError(f"field {name!r} is not a list of texts")
    return value
