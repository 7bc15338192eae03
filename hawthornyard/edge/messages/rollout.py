"""Define the messages about rollouts and about their state in the store."""

from ...core import Message
from ...rollout import RolloutOrder, RolloutState


class RolloutOrderRead(Message):
    """One row of the operators' orders.

    Attributes:
        key: Key of the row.
        order: The order, None if it was withdrawn or can't be read.
        detail: Why it can't be read, empty for none.
    """

    __slots__ = ("key", "order", "detail")

    def __init__(self, key: str, order: RolloutOrder | None, detail: str = "") -> None:
        self.key = key
        self.order = order
        self.detail = detail


class RolloutReadRequested(Message):
    """A request for the state of a service's rollout in the store."""

    __slots__ = ("service",)

    def __init__(self, service: str) -> None:
        self.service = service


class RolloutRead(Message):
    """The state of a service's rollout in the store.

    Attributes:
        service: Name of the service.
        state: The state, None if there is none or it can't be read.
        version: Version of its row, 0 if there is none.
        asked_at: Monotonic time in seconds at which it was asked for.
        now_ms: Time of the store's clock in milliseconds.
    """

    __slots__ = ("service", "state", "version", "asked_at", "now_ms")

    def __init__(
        self,
        service: str,
        state: RolloutState | None,
        version: int,
        asked_at: float,
        now_ms: float,
    ) -> None:
        self.service = service
        self.state = state
        self.version = version
        self.asked_at = asked_at
        self.now_ms = now_ms


class RolloutWriteRequested(Message):
    """A write of a rollout's state, on condition that its row has not changed.

    Attributes:
        state: The state.
        version: Version that the row must have, 0 for a row that must not exist.
        is_published: Whether the operator's row is written in the same transaction.
    """

    __slots__ = ("state", "version", "is_published")

    def __init__(
        self, state: RolloutState, version: int, *, is_published: bool
    ) -> None:
        self.state = state
        self.version = version
        self.is_published = is_published


class RolloutWritten(Message):
    """The result of a write of a rollout's state.

    Attributes:
        state: The state that was to be written.
        version: Version that its row has now; 0 if another gateway had changed it, so
            that nothing was written.
    """

    __slots__ = ("state", "version")

    def __init__(self, state: RolloutState, version: int) -> None:
        self.state = state
        self.version = version


class RolloutCallFailed(Message):
    """A call of the store about a rollout that had no valid response.

    Attributes:
        service: Name of the service.
        detail: Description of the failure.
        is_write: Whether it was a write, which may have been performed.
    """

    __slots__ = ("service", "detail", "is_write")

    def __init__(self, service: str, detail: str, *, is_write: bool) -> None:
        self.service = service
        self.detail = detail
        self.is_write = is_write


class EndpointRetired(Message):
    """An endpoint of an old version gets no new work; its streams move on.

    Attributes:
        endpoint: Name of the endpoint.
    """

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
