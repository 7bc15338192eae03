"""Stand in for the platform's host list, which may be out of date."""

from ..core import Clock
from ..io import MonotonicClock
from ..stores import HostEntry, HostPage
from .faults import Faults
from .web import WebAnswer, WebApp, WebRequest

MAX_HISTORY_PAGES = 1000


class HostListStandIn:
    """A host list that answers with its state of `faults.lag_s` ago.

    Args:
        clock: Source of time, by default the host's monotonic clock.
    """

    __slots__ = ("_clock", "_history", "_hosts", "app", "faults")

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or MonotonicClock()
        self._hosts: dict[str, HostEntry] = {}
        self._history: list[tuple[float, HostPage]] = []
        self.faults = Faults(self._clock)
        self.app = WebApp(
            {
                "GET /v1/hosts": self.faults.wrap_read(self._get),
                "POST /v1/hosts": self._change,
                "POST /faults": self.faults.configure,
            }
        )

    def put(self, address: str, *, leaving: bool = False) -> None:
        """Add a host to the list or change its entry."""
        self._hosts[address] = HostEntry(address, leaving)
        self._record()

    def remove(self, address: str) -> None:
        """Remove a host from the list; ignore one that is not on it."""
        self._hosts.pop(address, None)
        self._record()

    def page(self) -> HostPage:
        """Return the list of `faults.lag_s` ago, empty if no change is that old."""
        shown_at = self._clock.now() - self.faults.lag_s
        for changed_at, page in reversed(self._history):
            if changed_at <= shown_at:
                return page
        return HostPage(0, [])

    def _record(self) -> None:
        revision = self._history[-1][1].revision + 1 if self._history else 1
        page = HostPage(revision, list(self._hosts.values()))
        self._history.append((self._clock.now(), page))
        del self._history[:-MAX_HISTORY_PAGES]

    def _get(self, req: WebRequest) -> WebAnswer:
        page = self.page()
        hosts = [
            {"address": host.address, "leaving": host.leaving} for host in page.hosts
        ]
        return WebAnswer({"revision": page.revision, "hosts": hosts})

    def _change(self, req: WebRequest) -> WebAnswer:
        body = req.json()
        if body.get("removed", False):
            self.remove(body["address"])
        else:
            self.put(body["address"], leaving=bool(body.get("leaving", False)))
        return WebAnswer({})
