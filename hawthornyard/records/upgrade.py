"""Upgrade documents from older schema versions to the newest."""

from collections.abc import Callable

from .record import Document

Upgrade = Callable[[Document], Document]

NEWEST_SCHEMA = {
    "service": 2,
    "failure_domain": 1,
    "endpoint": 1,
    "model": 1,
    "team": 1,
}

_PRIORITY_OF_CLASS = {"visitor": 9, "check": 6, "draft": 2}


def is_supported(document: Document) -> bool:
    """Return whether this program supports the document's kind and schema version."""
    newest = NEWEST_SCHEMA.get(document["kind"], 0)
    return 1 <= int(document["schema"]) <= newest


def upgrade(document: Document) -> Document:
    """Return the document in the newest schema version of its kind.

    Args:
        document: A document that is valid against the schema it declares.
    """
    while document["schema"] < NEWEST_SCHEMA[document["kind"]]:
        document = _UPGRADES[document["kind"], document["schema"]](document)
    return document


def _upgrade_service_1(document: Document) -> Document:
    spec = dict(document["spec"])
    spec["priority"] = _PRIORITY_OF_CLASS[spec.pop("class", "check")]
    operations = [
        {"method": "POST", "path": path, "idempotent": False}
        for path in spec.pop("non_idempotent_paths", ())
    ]
    if operations:
        spec["operations"] = operations
    return {**document, "schema": 2, "spec": spec}


_UPGRADES: dict[tuple[str, int], Upgrade] = {("service", 1): _upgrade_service_1}
