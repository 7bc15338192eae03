"""Define the answers of endpoints."""

from collections.abc import Sequence

from ...core import Message


class Event(Message):
    """One event of a stream.

    Attributes:
        number: Number of the event in its stream; the first is 1.
        data: Encoded event, with its terminator, as the caller gets it.
    """

    __slots__ = ("number", "data")

    def __init__(self, number: int, data: bytes) -> None:
        self.number = number
        self.data = data


class AttemptBegan(Message):
    """The start of a stream of events."""

    __slots__ = ("attempt_id", "status", "headers")

    def __init__(
        self, attempt_id: str, status: int, headers: Sequence[tuple[str, str]]
    ) -> None:
        self.attempt_id = attempt_id
        self.status = status
        self.headers = headers


class AttemptEvents(Message):
    """Consecutive events of a stream."""

    __slots__ = ("attempt_id", "events")

    def __init__(self, attempt_id: str, events: Sequence[Event]) -> None:
        self.attempt_id = attempt_id
        self.events = events


class AttemptEnded(Message):
    """The regular end of a stream.

    Attributes:
        attempt_id: Identifier of the attempt.
        is_delimited: Whether the stream told its end, by a length or a last chunk; else
            its connection ended after a whole event.
        born_after: Incarnation that answers at the endpoint's address after the end, 0
            if nothing listens there, None if that is not known.
    """

    __slots__ = ("attempt_id", "is_delimited", "born_after")

    def __init__(
        self,
        attempt_id: str,
        *,
        is_delimited: bool = True,
        born_after: int | None = None,
    ) -> None:
        self.attempt_id = attempt_id
        self.is_delimited = is_delimited
        self.born_after = born_after


class AttemptAnswered(Message):
    """The whole answer of an endpoint.

    Attributes:
        attempt_id: Identifier of the attempt.
        status: HTTP status.
        headers: Headers that the caller gets.
        body: Whole body.
        is_delimited: Whether the body told its end, by a length or a last chunk; else
            its connection ended.
    """

    __slots__ = ("attempt_id", "status", "headers", "body", "is_delimited")

    def __init__(
        self,
        attempt_id: str,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        *,
        is_delimited: bool = True,
    ) -> None:
        self.attempt_id = attempt_id
        self.status = status
        self.headers = headers
        self.body = body
        self.is_delimited = is_delimited


class AttemptRefused(Message):
    """A refusal of an attempt, which certainly has not run.

    Attributes:
        attempt_id: Identifier of the refused attempt.
        detail: Reason of the refusal, as text.
        is_full: Whether the endpoint said that it has no capacity left.
        is_absent: Whether nothing, or another endpoint, answers at its address.
    """

    __slots__ = ("attempt_id", "detail", "is_full", "is_absent")

    def __init__(
        self,
        attempt_id: str,
        detail: str,
        *,
        is_full: bool = False,
        is_absent: bool = False,
    ) -> None:
        self.attempt_id = attempt_id
        self.detail = detail
        self.is_full = is_full
        self.is_absent = is_absent


class AttemptBroke(Message):
    """The loss of an attempt without a whole answer; it may have run.

    Attributes:
        attempt_id: Identifier of the attempt.
        detail: Description of the failure.
        has_begun: Whether the head of the answer had arrived.
    """

    __slots__ = ("attempt_id", "detail", "has_begun")

    def __init__(
        self, attempt_id: str, detail: str, *, has_begun: bool = False
    ) -> None:
        self.attempt_id = attempt_id
        self.detail = detail
        self.has_begun = has_begun


AttemptEnd = AttemptAnswered | AttemptBroke | AttemptEnded
"""Message that ends an attempt whose answer had begun."""
