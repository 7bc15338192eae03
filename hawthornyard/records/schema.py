"""Check documents against the JSON Schemas that the package ships."""

import functools
import json
from collections.abc import Iterator
from importlib import resources
from typing import Any

import jsonschema

from .record import Document
from .upgrade import NEWEST_SCHEMA


class Violation:
    """One place where a document departs from its schema.

    Attributes:
        path: Keys and indexes from the document's root to the place.
        given: The value that stands there.
        allowed: What the schema allows, for people.
    """

    __slots__ = ("allowed", "given", "path")

    def __init__(self, path: tuple[str | int, ...], given: Any, allowed: str) -> None:
        self.path = path
        self.given = given
        self.allowed = allowed

    def __str__(self) -> str:
        field = ".".join(str(part) for part in self.path) or "document"
        return f"{field}: {self.allowed}"


@functools.cache
def schema_of(kind: str, version: int) -> dict[str, Any]:
    """Return the shipped JSON Schema of a kind and version."""
    name = f"{kind}.v{version}.json"
    text = resources.files(__package__).joinpath("schemas", name).read_text()
    schema: dict[str, Any] = json.loads(text)
    return schema


def violations(document: Any) -> Iterator[Violation]:
    """Yield what is wrong with a document.

    Args:
        document: Any parsed YAML or JSON value.
    """
    if not isinstance(document, dict):
        yield Violation((), document, "must be a mapping with kind, schema, name, spec")
        return
    kind = document.get("kind")
    if kind not in NEWEST_SCHEMA:
        yield Violation(("kind",), kind, f"must be one of {', '.join(NEWEST_SCHEMA)}")
        return
    version = document.get("schema")
    newest = NEWEST_SCHEMA[kind]
    if version not in range(1, newest + 1) or isinstance(version, bool):
        yield Violation(("schema",), version, f"must be from 1 to {newest} for {kind}")
        return
    yield from _schema_violations(document, schema_of(kind, version))


def _schema_violations(
    document: Document, schema: dict[str, Any]
) -> Iterator[Violation]:
    validator = jsonschema.Draft202012Validator(schema)
    for error in sorted(validator.iter_errors(document), key=str):
        yield Violation(tuple(error.absolute_path), error.instance, error.message)
