"""Check constraints between the fields of one record."""

from collections.abc import Callable, Iterator
from typing import Any

from ..documents.violation import Violation
from .record import Endpoint, Record, Service


def contradictions(record: Record) -> Iterator[Violation]:
    """Yield violations of constraints that JSON Schema can't express."""
    find = _FINDERS.get(type(record))
    if find is not None:
        yield from find(record)


def _in_endpoint(record: Endpoint) -> Iterator[Violation]:
    if record.initial_limit > record.max_limit:
        allowed = f"at most max_limit, which is {record.max_limit}"
        yield Violation(("spec", "initial_limit"), record.initial_limit, allowed)


def _in_service(record: Service) -> Iterator[Violation]:
    for index, hours in enumerate(record.opening_hours):
        if hours.opens == hours.closes:
            path = ("spec", "opening_hours", index, "closes")
            yield Violation(path, None, "a time other than opens")


_FINDERS: dict[type, Callable[[Any], Iterator[Violation]]] = {
    Endpoint: _in_endpoint,
    Service: _in_service,
}
