"""Hold a plan while it is being decided."""

from collections.abc import Mapping, Sequence

from ..core import Message
from ..frames import PlanEntry
from .demand import ModelNeed
from .plan import SERVING, SPARE, Plan


class Move(Message):
    """One change of the plan.

    Attributes:
        endpoint: Endpoint that changes.
        before: Models that it held by plan.
        after: Models that it is to hold.
        reason: Why, in a few words.
    """

    __slots__ = ("endpoint", "before", "after", "reason")

    def __init__(
        self, endpoint: str, before: Sequence[str], after: Sequence[str], reason: str
    ) -> None:
        self.endpoint = endpoint
        self.before = before
        self.after = after
        self.reason = reason


class Draft:
    """The entry of each endpoint, and the moves that led from the old plan.

    Args:
        plan: The plan in force, None for none.
        needs: Models by name.
    """

    __slots__ = ("_entries", "_needs", "moves")

    def __init__(self, plan: Plan | None, needs: Mapping[str, ModelNeed]) -> None:
        self._entries: dict[str, PlanEntry] = dict(plan.entries) if plan else {}
        self._needs = needs
        self.moves: list[Move] = []

    def holds(self, endpoint: str) -> bool:
        """Return whether an endpoint is in the plan."""
        return endpoint in self._entries

    def endpoints(self) -> list[str]:
        """Return the endpoints in the plan."""
        return list(self._entries)

    def models_of(self, endpoint: str) -> Sequence[str]:
        """Return the models that an endpoint holds by plan."""
        entry = self._entries.get(endpoint)
        return entry.models if entry is not None else ()

    def is_outdated(self, endpoint: str) -> bool:
        """Return whether an endpoint holds other weights than the records name."""
        entry = self._entries[endpoint]
        return entry.versions != self._entry(entry.models).versions

    def move(self, endpoint: str, models: Sequence[str], reason: str) -> None:
        """Give an endpoint these models, in the versions that the records name."""
        before = self.models_of(endpoint)
        self._entries[endpoint] = self._entry(models)
        self.moves.append(Move(endpoint, before, models, reason))

    def drop(self, endpoint: str, reason: str) -> None:
        """Take an endpoint out of the plan."""
        entry = self._entries.pop(endpoint)
        self.moves.append(Move(endpoint, entry.models, (), reason))

    def plan(self) -> Plan:
        """Return the drafted plan, which is not written yet."""
        return Plan(0, dict(self._entries))

    def _entry(self, models: Sequence[str]) -> PlanEntry:
        versions = [self._needs[model].version for model in models]
        return PlanEntry(SERVING if models else SPARE, models, versions, ())
