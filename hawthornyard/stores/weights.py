"""Define the platform's rate-limited weight store and its client over HTTP."""

from typing import Protocol

from ..core import Message
from .http import HttpService


class WeightPart(Message):
    """Result of one read from the weight store.

    Attributes:
        n_bytes: Total size of the weights in bytes.
        n_granted: Bytes that this read returned, from its offset on.
        wait_s: Seconds to wait before the next read, 0 for none.
    """

    __slots__ = ("n_bytes", "n_granted", "wait_s")

    def __init__(self, n_bytes: int, n_granted: int, wait_s: float) -> None:
        self.n_bytes = n_bytes
        self.n_granted = n_granted
        self.wait_s = wait_s


class WeightStore(Protocol):
    """The platform's weight store; all readers share one rate limit."""

    def read(self, name: str, offset: int) -> WeightPart:
        """Read the next part of the weights, or return how long to wait for it.

        Args:
            name: Name of the weights.
            offset: Number of bytes read before.

        Raises:
            PlatformError: If there was no answer.
        """
        ...


class HttpWeightStore:
    """Client of a weight store over HTTP.

    Args:
        url: Base URL of the service.
    """

    __slots__ = ("_service",)

    def __init__(self, url: str) -> None:
        self._service = HttpService("weight store", url)

    def read(self, name: str, offset: int) -> WeightPart:
        """Read the next part of the weights; see `WeightStore.read`."""
        fields = {"name": name, "offset": str(offset)}
        response = self._service.call_json("GET", "/v1/weights", fields=fields)
        return WeightPart(
            response["n_bytes"], response["n_granted"], response["wait_s"]
        )
