"""Define the catalog of records that are in force in a process."""

import bisect
import json
from collections.abc import Iterable, Iterator

from ..frames import RecordEntry
from .build import build_record
from .record import Endpoint, FailureDomain, Model, Record, Service, Team
from .upgrade import is_supported, upgrade

KINDS = ("service", "failure_domain", "endpoint", "model", "team")


class Catalog:
    """The records in force, none of which reverts to an older revision.

    Attributes:
        revision: Highest configuration revision in force.
        not_understood: Records, as "kind/name", whose kind or schema version this
            program doesn't support; their last supported version stays in force.
    """

    __slots__ = ("revision", "not_understood", "_records", "_entries", "_by_revision")

    def __init__(self) -> None:
        self.revision = 0
        self.not_understood: set[str] = set()
        self._records: dict[str, dict[str, Record]] = {kind: {} for kind in KINDS}
        self._entries: dict[tuple[str, str], RecordEntry] = {}
        self._by_revision: list[RecordEntry] = []

    def would_leave_gap(self, after: int) -> bool:
        """Return whether changes that begin after revision `after` leave a gap."""
        return after > self.revision

    def apply(self, revision: int, entries: Iterable[RecordEntry]) -> bool:
        """Apply the entries that are newer than those in force, ignore the others.

        Args:
            revision: Revision up to which `entries` are complete.
            entries: Changed records, without a gap after the revision in force.

        Returns:
            Whether anything changed.
        """
        newer = [entry for entry in entries if self._is_newer(entry)]
        for entry in newer:
            self._apply_entry(entry)
        if newer:
            self._by_revision = sorted(
                filter(self._is_current, self._by_revision + newer), key=_revision_of
            )
        advanced = revision > self.revision
        self.revision = max(self.revision, revision)
        return bool(newer) or advanced

    def entries_after(
        self, revision: int, kinds: Iterable[str] = KINDS
    ) -> list[RecordEntry]:
        """Return the newest entry of each record changed after `revision`.

        Args:
            revision: Configuration revision.
            kinds: Record kinds to include.

        Returns:
            Entries sorted by revision, oldest first.
        """
        wanted = set(kinds)
        start = bisect.bisect_right(self._by_revision, revision, key=_revision_of)
        return [
            entry
            for entry in self._by_revision[start:]
            if entry.kind in wanted and self._is_current(entry)
        ]

    def service(self, name: str) -> Service | None:
        """Return a service by name, None if there is none."""
        return self._records["service"].get(name)  # type: ignore[return-value]

    def team(self, name: str) -> Team | None:
        """Return a team by name, None if there is none."""
        return self._records["team"].get(name)  # type: ignore[return-value]

    def model(self, name: str) -> Model | None:
        """Return a model by name, None if there is none."""
        return self._records["model"].get(name)  # type: ignore[return-value]

    def endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint by name, None if there is none."""
        return self._records["endpoint"].get(name)  # type: ignore[return-value]

    def failure_domain(self, name: str) -> FailureDomain | None:
        """Return a failure domain by name, None if there is none."""
        return self._records["failure_domain"].get(name)  # type: ignore[return-value]

    def services(self) -> Iterator[Service]:
        """Yield all services."""
        yield from self._records["service"].values()  # type: ignore[misc]

    def endpoints(self) -> Iterator[Endpoint]:
        """Yield all endpoints."""
        yield from self._records["endpoint"].values()  # type: ignore[misc]

    def models(self) -> Iterator[Model]:
        """Yield all models."""
        yield from self._records["model"].values()  # type: ignore[misc]

    def in_service(self, endpoint: Endpoint) -> bool:
        """Return whether the records let an endpoint accept new requests.

        They don't while it is leaving or its failure domain is out of service.
        """
        domain = self.failure_domain(endpoint.failure_domain)
        if domain is not None and not domain.in_service:
            return False
        return not endpoint.leaving

    def _is_newer(self, entry: RecordEntry) -> bool:
        current = self._entries.get((entry.kind, entry.name))
        return current is None or entry.revision > current.revision

    def _is_current(self, entry: RecordEntry) -> bool:
        return self._entries[entry.kind, entry.name] is entry

    def _apply_entry(self, entry: RecordEntry) -> None:
        self._entries[entry.kind, entry.name] = entry
        label = f"{entry.kind}/{entry.name}"
        self.not_understood.discard(label)
        document = json.loads(entry.document) if entry.document else None
        if document is None:
            self._records.get(entry.kind, {}).pop(entry.name, None)
            return
        if not is_supported(document):
            self.not_understood.add(label)
            return
        self._records[entry.kind][entry.name] = build_record(upgrade(document))


def _revision_of(entry: RecordEntry) -> int:
    return entry.revision
