"""Define what endpoints say of themselves beside their answers."""

from ...core import Message


class EndpointNotice(Message):
    """What one answer of an endpoint says of the endpoint itself.

    Attributes:
        endpoint: Name of the endpoint.
        born: Incarnation that was asked, a start time in Unix milliseconds.
        asked_at: Monotonic time in seconds at which the request was sent; the answer is
            no older.
        is_signed: Whether the answer is certainly the endpoint's own. A notice that
            such an answer lacks no longer holds.
        limit_per_s: Requests a second that it takes from all gateways together, None
            if it names no limit.
        pace_factor: Time that work takes there at this moment, relative to the usual
            time, None if it reports none.
        pause_s: Seconds for which it wants no request from this gateway, None if it
            does not ask for a pause.
        is_leaving: Whether the endpoint is about to leave; an answer that does not say
            so takes nothing back.
        call: What was answered: the identifier of a caller's request, or the path of a
            call of the gateway's own.
    """

    __slots__ = (
        "endpoint",
        "born",
        "asked_at",
        "is_signed",
        "limit_per_s",
        "pace_factor",
        "pause_s",
        "is_leaving",
        "call",
    )

    def __init__(
        self,
        endpoint: str,
        born: int,
        asked_at: float,
        *,
        is_signed: bool,
        limit_per_s: float | None = None,
        pace_factor: float | None = None,
        pause_s: float | None = None,
        is_leaving: bool = False,
        call: str = "",
    ) -> None:
        self.endpoint = endpoint
        self.born = born
        self.asked_at = asked_at
        self.is_signed = is_signed
        self.limit_per_s = limit_per_s
        self.pace_factor = pace_factor
        self.pause_s = pause_s
        self.is_leaving = is_leaving
        self.call = call


class LimitChanged(Message):
    """The limit that an endpoint names has changed.

    Attributes:
        endpoint: Name of the endpoint.
    """

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
