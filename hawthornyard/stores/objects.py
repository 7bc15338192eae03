"""Define the platform's object store and its client over HTTP."""

from typing import Protocol

from ..errors import ErrorKind, HawthornyardError
from .http import HttpService

MAX_OBJECT_BYTES = 16 * 1024 * 1024
_NOT_FOUND = 404


class ObjectStore(Protocol):
    """The platform's object store; every operation is idempotent."""

    def put(self, key: str, data: bytes) -> None:
        """Store an object; replaces an older one of the same key.

        Raises:
            HawthornyardError: If the object is over the size limit.
            PlatformError: If there was no answer; the write may have taken effect.
        """
        ...

    def get(self, key: str) -> bytes | None:
        """Return an object, or None if there is none.

        Raises:
            PlatformError: If there was no answer.
        """
        ...

    def delete(self, key: str) -> None:
        """Remove an object; does nothing if it is absent.

        Raises:
            PlatformError: If there was no answer; the write may have taken effect.
        """
        ...


class HttpObjectStore:
    """Client of an object store over HTTP.

    Args:
        url: Base URL of the service.
        max_object_bytes: Largest object that is stored or read.
    """

    __slots__ = ("_max_object_bytes", "_service")

    def __init__(self, url: str, *, max_object_bytes: int = MAX_OBJECT_BYTES) -> None:
        self._max_object_bytes = max_object_bytes
        self._service = HttpService(
            "object store", url, max_response_bytes=max_object_bytes
        )

    def put(self, key: str, data: bytes) -> None:
        """Store an object; see `ObjectStore.put`."""
        if len(data) > self._max_object_bytes:
            raise HawthornyardError(
                f"object of {len(data)} bytes is over the limit of "
                f"{self._max_object_bytes} bytes",
                kind=ErrorKind.BODY_TOO_LARGE,
            )
        self._service.call("PUT", f"/v1/objects/{key}", data=data)

    def get(self, key: str) -> bytes | None:
        """Return an object; see `ObjectStore.get`."""
        response = self._service.call(
            "GET", f"/v1/objects/{key}", expected_statuses=frozenset({_NOT_FOUND})
        )
        return None if response.status == _NOT_FOUND else response.data

    def delete(self, key: str) -> None:
        """Remove an object; see `ObjectStore.delete`."""
        self._service.call("DELETE", f"/v1/objects/{key}")
