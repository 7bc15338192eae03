"""Define the platform's rate-limited weight store and reach it over HTTP."""

from typing import Protocol

from ..core import Message
from .http import HttpService


class WeightPart(Message):
    """What the weight store gave to one question.

    Attributes:
        n_bytes: Size of the weights.
        n_granted: Bytes read after the offset of the question.
        wait_s: Seconds to wait before the next question, 0 for none.
    """

    __slots__ = ("n_bytes", "n_granted", "wait_s")

    def __init__(self, n_bytes: int, n_granted: int, wait_s: float) -> None:
        self.n_bytes = n_bytes
        self.n_granted = n_granted
        self.wait_s = wait_s


class WeightStore(Protocol):
    """The platform's weight store; all readers share its rate."""

    def read(self, name: str, offset: int) -> WeightPart:
        """Read the next part of the weights, or learn how long to wait.

        Args:
            name: Name of the weights.
            offset: Bytes that were read before.

        Raises:
            PlatformError: If there was no answer.
        """
        ...


class HttpWeights:
    """A weight store behind a URL.

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
