"""Frames that distribute the plan to sidecars and report the result."""

from collections.abc import Sequence

from ..core import Message
from .frame import Frame


class PlanEntry(Message):
    """Desired state of one endpoint.

    Attributes:
        role: Role of the endpoint.
        models: Models to load.
        versions: Name of each model's weights, in the order of `models`.
        adapters: Adapters to load.
    """

    __slots__ = ("role", "models", "versions", "adapters")

    def __init__(
        self,
        role: str,
        models: Sequence[str],
        versions: Sequence[str],
        adapters: Sequence[str],
    ) -> None:
        self.role = role
        self.models = list(models)
        self.versions = list(versions)
        self.adapters = list(adapters)


class PlanPush(Frame):
    """Gateway to sidecar: the plan entry of the sidecar's endpoint.

    Attributes:
        fencing_number: Revision of the plan that contains the entry.
        entry: Desired state of the endpoint.
    """

    __slots__ = ("fencing_number", "entry")

    def __init__(self, fencing_number: int, entry: PlanEntry) -> None:
        self.fencing_number = fencing_number
        self.entry = entry


class LoadedReport(Frame):
    """Sidecar to gateway: the loaded state of the endpoint, sent on change.

    Attributes:
        endpoint: Name of the endpoint record.
        fencing_number: Highest fencing number that the sidecar knows, 0 before the
            first plan.
        role: Current role of the endpoint.
        models: Models that are ready to serve.
    """

    __slots__ = ("endpoint", "fencing_number", "role", "models")

    def __init__(
        self, endpoint: str, fencing_number: int, role: str, models: Sequence[str]
    ) -> None:
        self.endpoint = endpoint
        self.fencing_number = fencing_number
        self.role = role
        self.models = models
