"""Evidence that gateways exchange about prompts that end endpoints."""

from collections.abc import Sequence

from .frame import Frame


class CrashReport(Frame):
    """Gateway to gateway: an endpoint ended as it began the answer to a prompt.

    Attributes:
        endpoint: Name of the endpoint.
        age_s: Seconds since it ended.
        prefix: Parts of the prompt that others may share, in order.
    """

    __slots__ = ("endpoint", "age_s", "prefix")

    def __init__(self, endpoint: str, age_s: float, prefix: Sequence[str]) -> None:
        self.endpoint = endpoint
        self.age_s = age_s
        self.prefix = prefix


class PossibleCrashReport(Frame):
    """Gateway to gateway: an endpoint ended before the answer to a prompt arrived.

    Attributes:
        endpoint: Name of the endpoint.
        age_s: Seconds since it ended.
        prefix: Parts of the prompt that others may share, in order.
    """

    __slots__ = ("endpoint", "age_s", "prefix")

    def __init__(self, endpoint: str, age_s: float, prefix: Sequence[str]) -> None:
        self.endpoint = endpoint
        self.age_s = age_s
        self.prefix = prefix


class CrashReportsRequested(Frame):
    """Gateway to gateway: a request for a report of each crash that is known."""

    __slots__ = ()


class PartsSound(Frame):
    """Gateway to gateway: an answer to a prompt with suspected parts went on.

    Attributes:
        parts: The suspected parts.
    """

    __slots__ = ("parts",)

    def __init__(self, parts: Sequence[str]) -> None:
        self.parts = parts
