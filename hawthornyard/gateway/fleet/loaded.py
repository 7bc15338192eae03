"""Follow what the endpoints hold."""

from collections.abc import Iterator, Sequence

from ...core import Handlers, Message, PeerDown
from ...frames import LoadedReport


class LoadedModels:
    """The models that each endpoint has ready, as its sidecar reports them.

    Of an endpoint that never had an order, or whose sidecar has not reported
    on this connection, the models of its record count as loaded.
    """

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, LoadedReport] = {}

    def take(self, report: LoadedReport) -> None:
        """Take a sidecar's report over."""
        self._reports[report.endpoint] = report

    def forget(self, endpoint: str) -> None:
        """Drop the report of an endpoint whose connection is lost."""
        self._reports.pop(endpoint, None)

    def serves(self, endpoint: str, model: str) -> bool:
        """Return whether an endpoint has a model ready; plain services have none."""
        report = self._reports.get(endpoint)
        if report is None or not report.fencing_number or not model:
            return True
        return model in report.models

    def models_of(self, endpoint: str) -> Sequence[str]:
        """Return the models that an endpoint reports, none if it did not."""
        report = self._reports.get(endpoint)
        return report.models if report is not None else ()


class TrackLoaded:
    """Keep the loaded models up to date."""

    __slots__ = ("_loaded", "handlers")

    def __init__(self, loaded: LoadedModels) -> None:
        self._loaded = loaded
        self.handlers: Handlers = {
            LoadedReport: self._on_loaded,
            PeerDown: self._on_peer_down,
        }

    def _on_loaded(self, msg: LoadedReport) -> Iterator[Message]:
        self._loaded.take(msg)
        yield from ()

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._loaded.forget(msg.peer)
        yield msg
