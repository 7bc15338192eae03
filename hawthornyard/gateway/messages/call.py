"""Messages that carry decoded requests of callers."""

from ...core import Message
from ...frames import Work


class Call(Message):
    """A request that a caller sent.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id, or a generated one.
        bearer: Team key, empty if none was sent.
        service: Service name, empty if the model determines the service.
        work: Generation or service call to run.
        key: Idempotency key, empty for none.
        digest: Digest of the body, to detect a key reused for another request.
        timeout_s: Seconds that the caller allows, None for the service's default.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "bearer",
        "service",
        "work",
        "key",
        "digest",
        "timeout_s",
    )

    def __init__(
        self,
        call_id: str,
        request_id: str,
        bearer: str,
        service: str,
        work: Work,
        *,
        key: str = "",
        digest: str = "",
        timeout_s: float | None = None,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.bearer = bearer
        self.service = service
        self.work = work
        self.key = key
        self.digest = digest
        self.timeout_s = timeout_s


class Reconnect(Message):
    """A caller resumes a generation after losing its connection.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id.
        bearer: Team key.
        endpoint: Endpoint that runs the generation.
        attempt_id: Attempt to resume.
        offset: Number of tokens that the caller has received.
        timeout_s: Seconds that the caller allows, None for the default.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "bearer",
        "endpoint",
        "attempt_id",
        "offset",
        "timeout_s",
    )

    def __init__(
        self,
        call_id: str,
        request_id: str,
        bearer: str,
        endpoint: str,
        attempt_id: str,
        offset: int,
        *,
        timeout_s: float | None = None,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.bearer = bearer
        self.endpoint = endpoint
        self.attempt_id = attempt_id
        self.offset = offset
        self.timeout_s = timeout_s


class ModelsQuery(Message):
    """A caller queries the models that it may use."""

    __slots__ = ("call_id", "bearer")

    def __init__(self, call_id: str, bearer: str) -> None:
        self.call_id = call_id
        self.bearer = bearer


class CallerGone(Message):
    """The caller closed its connection."""

    __slots__ = ("call_id",)

    def __init__(self, call_id: str) -> None:
        self.call_id = call_id
