"""Stand in for the platform's object store."""

from ..core import Clock
from ..io import MonotonicClock
from ..stores import MAX_OBJECT_BYTES
from .faults import Faults
from .web import WebAnswer, WebApp, WebRequest

_PREFIX = "/v1/objects/"


class ObjectStoreStandIn:
    """A stand-in of the platform's object store; keeps the objects in memory.

    Args:
        clock: Source of time for the rate limits, by default the host's monotonic
            clock.

    Attributes:
        objects: Bytes of the objects by key.
    """

    __slots__ = ("app", "faults", "objects")

    def __init__(self, clock: Clock | None = None) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults = Faults(clock or MonotonicClock())
        self.app = WebApp(
            {
                "POST /faults": self.faults.configure,
                f"GET {_PREFIX}*": self.faults.wrap_read(self._get),
                f"PUT {_PREFIX}*": self.faults.wrap_write(self._put),
                f"DELETE {_PREFIX}*": self.faults.wrap_write(self._delete),
            }
        )

    def _get(self, req: WebRequest) -> WebAnswer:
        data = self.objects.get(_key(req))
        if data is None:
            return WebAnswer({"detail": "no such object"}, status=404)
        return WebAnswer(data, content_type="application/octet-stream")

    def _put(self, req: WebRequest) -> WebAnswer:
        if len(req.body) > MAX_OBJECT_BYTES:
            return WebAnswer({"detail": "too large"}, status=413)
        self.objects[_key(req)] = req.body
        return WebAnswer({})

    def _delete(self, req: WebRequest) -> WebAnswer:
        self.objects.pop(_key(req), None)
        return WebAnswer({})


def _key(req: WebRequest) -> str:
    return req.path.removeprefix(_PREFIX)
