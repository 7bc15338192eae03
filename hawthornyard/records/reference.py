"""Find the references of a record to other records."""

from collections.abc import Callable, Iterator
from typing import Any

from ..core import Message
from .record import Endpoint, FailureDomain, Model, Record, Service, Team


class Reference(Message):
    """A reference from a field of a record to another record.

    Attributes:
        path: Keys and indexes of the field in the record's document.
        kind: Kind of the referenced record.
        name: Name of the referenced record.
    """

    __slots__ = ("path", "kind", "name")

    def __init__(self, path: tuple[str | int, ...], kind: str, name: str) -> None:
        self.path = path
        self.kind = kind
        self.name = name


def references(record: Record) -> Iterator[Reference]:
    """Yield all references of a record to other records."""
    yield from _FINDERS[type(record)](record)


def _service_references(record: Service) -> Iterator[Reference]:
    for index, name in enumerate(record.models):
        yield Reference(("spec", "models", index), "model", name)


def _endpoint_references(record: Endpoint) -> Iterator[Reference]:
    domain = record.failure_domain
    yield Reference(("spec", "failure_domain"), "failure_domain", domain)
    for index, name in enumerate(record.models):
        yield Reference(("spec", "models", index), "model", name)
    for index, name in enumerate(record.services):
        yield Reference(("spec", "services", index), "service", name)


def _team_references(record: Team) -> Iterator[Reference]:
    for index, name in enumerate(record.services):
        yield Reference(("spec", "services", index), "service", name)


def _no_references(record: Record) -> Iterator[Reference]:
    yield from ()


_FINDERS: dict[type, Callable[[Any], Iterator[Reference]]] = {
    Service: _service_references,
    Endpoint: _endpoint_references,
    Team: _team_references,
    FailureDomain: _no_references,
    Model: _no_references,
}
