"""Validate documents against the JSON Schemas in the package."""

import functools
import json
from collections.abc import Iterator
from importlib import resources
from typing import Any

from ..documents import Violation, check_value, closest_match
from .upgrade import NEWEST_SCHEMA


@functools.cache
def schema_of(kind: str, version: int) -> dict[str, Any]:
    """Return the JSON Schema of a record kind in one version."""
    name = f"{kind}.v{version}.json"
    text = resources.files(__package__).joinpath("schemas", name).read_text()
    schema: dict[str, Any] = json.loads(text)
    return schema


def schema_violations(document: Any) -> Iterator[Violation]:
    """Yield the violations of a document against the schema that it declares.

    Args:
        document: Any parsed YAML or JSON value.
    """
    if not isinstance(document, dict):
        yield Violation((), document, "a mapping with kind, schema, name, spec")
        return
    kind = document.get("kind")
    if not isinstance(kind, str) or kind not in NEWEST_SCHEMA:
        yield Violation(("kind",), kind, _allowed_kinds(kind))
        return
    version = document.get("schema")
    newest = NEWEST_SCHEMA[kind]
    if type(version) is not int or version not in range(1, newest + 1):
        allowed = f"a schema from 1 to {newest} for {kind}"
        yield Violation(("schema",), version, allowed)
        return
    yield from check_value(document, schema_of(kind, version))


def _allowed_kinds(given: object) -> str:
    closest = closest_match(given, list(NEWEST_SCHEMA))
    hint = f"; did you mean {closest}?" if closest else ""
    return f"one of {', '.join(NEWEST_SCHEMA)}{hint}"
