"""Build typed records from documents in the newest schema version."""

from collections.abc import Callable, Mapping
from typing import Any

from .record import (
    Document,
    Endpoint,
    FailureDomain,
    Model,
    OpeningHours,
    Operation,
    Record,
    Service,
    Team,
)


def build_record(document: Document) -> Record:
    """Build the typed record of a valid document.

    Args:
        document: A document that is valid against the newest schema of its kind.
    """
    return _BUILDERS[document["kind"]](document["name"], document["spec"])


def _build_service(name: str, spec: Mapping[str, Any]) -> Service:
    fields = dict(spec)
    fields["operations"] = [Operation(**item) for item in spec.get("operations", ())]
    fields["opening_hours"] = [
        OpeningHours(
            item["days"], _minute_of_day(item["opens"]), _minute_of_day(item["closes"])
        )
        for item in spec.get("opening_hours", ())
    ]
    return Service(name, **fields)


def _minute_of_day(text: str) -> int:
    hours, minutes = text.split(":")
    return int(hours) * 60 + int(minutes)


def _build_failure_domain(name: str, spec: Mapping[str, Any]) -> FailureDomain:
    return FailureDomain(name, spec["region"], spec.get("in_service", True))


def _build_endpoint(name: str, spec: Mapping[str, Any]) -> Endpoint:
    return Endpoint(name, **spec)


def _build_model(name: str, spec: Mapping[str, Any]) -> Model:
    return Model(name, **spec)


def _build_team(name: str, spec: Mapping[str, Any]) -> Team:
    return Team(name, **spec)


_BUILDERS: dict[str, Callable[[str, Mapping[str, Any]], Record]] = {
    "service": _build_service,
    "failure_domain": _build_failure_domain,
    "endpoint": _build_endpoint,
    "model": _build_model,
    "team": _build_team,
}
