"""Track the models that the endpoints have loaded."""

from collections.abc import Iterator, Sequence

from ...core import Handlers, Message, PeerDown
from ...frames import LoadedReport


class LoadedModels:
    """Models that each endpoint has loaded, as its sidecar reports them.

    All models in an endpoint's record count as loaded if its sidecar has not
    reported on this connection, or reports fencing number 0, as it does before its
    first plan.
    """

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, LoadedReport] = {}

    def update(self, report: LoadedReport) -> None:
        """Store the latest report of a sidecar."""
        self._reports[report.endpoint] = report

    def forget(self, endpoint: str) -> None:
        """Drop the report of a disconnected endpoint."""
        self._reports.pop(endpoint, None)

    def serves(self, endpoint: str, model: str) -> bool:
        """Return whether an endpoint has a model loaded.

        An empty model stands for a plain service, which needs none.
        """
        report = self._reports.get(endpoint)
        if report is None or not report.fencing_number or not model:
            return True
        return model in report.models

    def models_of(self, endpoint: str) -> Sequence[str]:
        """Return the models that an endpoint reports, empty without a report."""
        report = self._reports.get(endpoint)
        return report.models if report is not None else ()


class TrackLoadedModels:
    """Update the loaded models from each sidecar's reports.

    Args:
        loaded: The loaded models to update.
    """

    __slots__ = ("_loaded", "handlers")

    def __init__(self, loaded: LoadedModels) -> None:
        self._loaded = loaded
        self.handlers: Handlers = {
            LoadedReport: self._on_loaded_report,
            PeerDown: self._on_peer_down,
        }

    def _on_loaded_report(self, msg: LoadedReport) -> Iterator[Message]:
        self._loaded.update(msg)
        yield from ()

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._loaded.forget(msg.peer)
        yield msg
