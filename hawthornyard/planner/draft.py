"""Hold the draft of a plan and its differences from the plan in force."""

from collections.abc import Mapping, Sequence

from ..core import Message
from ..frames import PlanEntry
from .plan import SERVING, SPARE, Plan
from .planner_input import ModelNeed


class Move(Message):
    """One change of the plan.

    Attributes:
        endpoint: Endpoint that changes.
        before: Models that the draft gave it before the move.
        after: Models that the draft gives it from the move on.
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
    """The draft of a plan, and the moves that lead to it from the plan in force.

    Args:
        plan: The plan in force, None before the first.
        needs: Models by name.

    Attributes:
        moves: Changes so far, oldest first.
    """

    __slots__ = ("_entries", "_needs", "moves")

    def __init__(self, plan: Plan | None, needs: Mapping[str, ModelNeed]) -> None:
        self._entries: dict[str, PlanEntry] = dict(plan.entries) if plan else {}
        self._needs = needs
        self.moves: list[Move] = []

    def holds(self, endpoint: str) -> bool:
        """Return whether an endpoint is in the draft."""
        return endpoint in self._entries

    def endpoints(self) -> list[str]:
        """Return the endpoints in the draft."""
        return list(self._entries)

    def models_of(self, endpoint: str) -> Sequence[str]:
        """Return the models that the draft gives an endpoint, empty if not in it."""
        entry = self._entries.get(endpoint)
        return entry.models if entry is not None else ()

    def is_outdated(self, endpoint: str) -> bool:
        """Return whether an endpoint's entry names other weights than the records."""
        entry = self._entries[endpoint]
        return entry.versions != self._entry(entry.models).versions

    def move(self, endpoint: str, models: Sequence[str], reason: str) -> None:
        """Give an endpoint these models, in the versions that the records name."""
        before = self.models_of(endpoint)
        self._entries[endpoint] = self._entry(models)
        self.moves.append(Move(endpoint, before, models, reason))

    def drop(self, endpoint: str, reason: str) -> None:
        """Remove an endpoint from the draft."""
        entry = self._entries.pop(endpoint)
        self.moves.append(Move(endpoint, entry.models, (), reason))

    def plan(self) -> Plan:
        """Return the draft as a plan of revision 0, which is not written yet."""
        return Plan(0, dict(self._entries))

    def _entry(self, models: Sequence[str]) -> PlanEntry:
        versions = [self._needs[model].version for model in models]
        return PlanEntry(SERVING if models else SPARE, models, versions, ())
