"""Validate parsed values against a JSON Schema, with readable errors."""

import difflib
import json
import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from .violation import FieldPath, Violation

# jsonschema.ValidationError types each attribute as possibly unset.
SchemaError = Any

_TYPE_NAMES = {
    "string": "text",
    "integer": "a whole number",
    "number": "a number",
    "boolean": "true or false",
    "array": "a list",
    "object": "a mapping",
}


def check_value(value: Any, schema: Mapping[str, Any]) -> Iterator[Violation]:
    """Yield the violations of a value against a schema.

    Args:
        value: Any parsed YAML or JSON value.
        schema: JSON Schema to validate against.
    """
    # Imported here because the import costs 4 MB of memory and 0.1 s, which a
    # process that validates nothing should not pay.
    import jsonschema

    yield from _non_finite_numbers(value, ())
    validator = jsonschema.Draft202012Validator(schema)
    for error in sorted(validator.iter_errors(value), key=_sort_key):
        convert = _CONVERTERS.get(error.validator, _other_violation)
        yield from convert(error)


def closest_match(given: object, known: Sequence[str]) -> str:
    """Return the known name closest to a mistyped one, empty if none is similar."""
    closest = difflib.get_close_matches(str(given), known, n=1)
    return closest[0] if closest else ""


def _sort_key(error: SchemaError) -> list[str]:
    return [str(part) for part in error.absolute_path]


def _non_finite_numbers(value: Any, path: FieldPath) -> Iterator[Violation]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _non_finite_numbers(item, (*path, key))
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _non_finite_numbers(item, (*path, index))
    if isinstance(value, float) and not math.isfinite(value):
        yield Violation(path, value, "a finite number")


def _path(error: SchemaError) -> FieldPath:
    return tuple(error.absolute_path)


def _unknown_fields(error: SchemaError) -> Iterator[Violation]:
    known = sorted(error.schema["properties"])
    for key in error.instance:
        if key in known:
            continue
        closest = closest_match(key, known)
        hint = f"; did you mean {closest}?" if closest else ""
        allowed = f"one of the fields {', '.join(known)}{hint}"
        yield Violation((*_path(error), str(key)), key, allowed)


def _missing_fields(error: SchemaError) -> Iterator[Violation]:
    # The library reports one error for each missing field. Only the message, which
    # begins with the quoted name, tells which field it is.
    for key in error.validator_value:
        if key not in error.instance and error.message.startswith(f"{key!r} "):
            yield Violation((*_path(error), key), None, _required_text(error, key))


def _required_text(error: SchemaError, key: str) -> str:
    schema = error.schema["properties"].get(key, {})
    meaning = schema.get("description", "")
    return f"the field is required{': ' + meaning if meaning else ''}"


def _choice(error: SchemaError) -> Iterator[Violation]:
    known = [str(item) for item in error.validator_value]
    closest = closest_match(error.instance, known)
    hint = f"; did you mean {closest}?" if closest else ""
    allowed = f"one of {', '.join(known)}{hint}"
    yield Violation(_path(error), error.instance, allowed)


def _constant(error: SchemaError) -> Iterator[Violation]:
    yield Violation(_path(error), error.instance, json.dumps(error.validator_value))


def _type(error: SchemaError) -> Iterator[Violation]:
    name = _TYPE_NAMES.get(error.validator_value, str(error.validator_value))
    yield Violation(_path(error), error.instance, name + _description_suffix(error))


def _pattern(error: SchemaError) -> Iterator[Violation]:
    meaning = error.schema.get("description")
    allowed = meaning or f"text that matches {error.validator_value}"
    yield Violation(_path(error), error.instance, allowed)


def _bound(text: str) -> Callable[[SchemaError], Iterator[Violation]]:
    def convert(error: SchemaError) -> Iterator[Violation]:
        allowed = f"{text} {error.validator_value}{_description_suffix(error)}"
        yield Violation(_path(error), error.instance, allowed)

    return convert


def _repeated_items(error: SchemaError) -> Iterator[Violation]:
    yield Violation(_path(error), error.instance, "a list without repeated items")


def _other_violation(error: SchemaError) -> Iterator[Violation]:
    yield Violation(_path(error), error.instance, error.message)


def _description_suffix(error: SchemaError) -> str:
    meaning = error.schema.get("description", "")
    return f" ({meaning})" if meaning else ""


_CONVERTERS: dict[Any, Callable[[SchemaError], Iterator[Violation]]] = {
    "additionalProperties": _unknown_fields,
    "required": _missing_fields,
    "enum": _choice,
    "const": _constant,
    "type": _type,
    "pattern": _pattern,
    "minimum": _bound("at least"),
    "exclusiveMinimum": _bound("more than"),
    "maximum": _bound("at most"),
    "exclusiveMaximum": _bound("less than"),
    "uniqueItems": _repeated_items,
}
