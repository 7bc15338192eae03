"""Check constraints between the fields of one record."""

from collections.abc import Callable, Iterator
from typing import Any

from ..documents.violation import Violation
from .record import Endpoint, Record, Service


def constraint_violations(record: Record) -> Iterator[Violation]:
    """Yield violations of constraints that JSON Schema can't express."""
    check = _CHECKS.get(type(record))
    if check is not None:
        yield from check(record)


def _endpoint_violations(record: Endpoint) -> Iterator[Violation]:
    if record.initial_limit > record.max_limit:
        allowed = f"at most max_limit, which is {record.max_limit}"
        yield Violation(("spec", "initial_limit"), record.initial_limit, allowed)


def _service_violations(record: Service) -> Iterator[Violation]:
    for index, hours in enumerate(record.opening_hours):
        if hours.opens == hours.closes:
            path = ("spec", "opening_hours", index, "closes")
            yield Violation(path, None, "a time other than opens")


_CHECKS: dict[type, Callable[[Any], Iterator[Violation]]] = {
    Endpoint: _endpoint_violations,
    Service: _service_violations,
}
