"""Define the messages about copies of KV caches from which streams resume."""

from ...core import Message


class CopySource(Message):
    """The copy from which an attempt resumes.

    Attributes:
        address: "address:port" of the engine that made the copy or mirrors the run.
        handle: Handle of the copy at that engine.
        last_event: Number of the newest event that the caller has.
    """

    __slots__ = ("address", "handle", "last_event")

    def __init__(self, address: str, handle: str, last_event: int) -> None:
        self.address = address
        self.handle = handle
        self.last_event = last_event


class RunCopy(Message):
    """A copy of a run that continued, from which its stream can resume.

    Attributes:
        endpoint: Name of the engine that holds the copy.
        address: "address:port" of the engine that made it.
        handle: Handle of the copy.
    """

    __slots__ = ("endpoint", "address", "handle")

    def __init__(self, endpoint: str, address: str, handle: str) -> None:
        self.endpoint = endpoint
        self.address = address
        self.handle = handle


class CopyRequested(Message):
    """A request to an engine to copy a run to another engine.

    Attributes:
        attempt_id: Attempt whose run is copied.
        request_id: Identifier of the run at the engine.
        source: "address:port" of the engine that executes the run.
        target: "address:port" of the engine that receives the copy.
        source_name: Name of the engine that executes the run.
        source_born: Incarnation of that engine, a start time in Unix milliseconds.
        is_final: Whether the source stops the run when it makes the copy.
        timeout_s: Longest wait for the answer, in seconds.
    """

    __slots__ = (
        "attempt_id",
        "request_id",
        "source",
        "target",
        "source_name",
        "source_born",
        "is_final",
        "timeout_s",
    )

    def __init__(
        self,
        attempt_id: str,
        request_id: str,
        source: str,
        target: str,
        *,
        source_name: str = "",
        source_born: int = 0,
        is_final: bool,
        timeout_s: float,
    ) -> None:
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.source = source
        self.target = target
        self.source_name = source_name
        self.source_born = source_born
        self.is_final = is_final
        self.timeout_s = timeout_s


class CopyAnswered(Message):
    """The outcome of a requested copy.

    Attributes:
        copy_request: The request that is answered.
        is_done: Whether the target holds the copy.
        handle: Handle to resume from, empty if there is none; an engine that stopped
            the run but could not copy it also gives one.
        is_unknown: Whether the engine knows no such run.
        is_inconclusive: Whether it does not tell what became of the run: there is
            neither a handle nor a known incarnation that knows no such run.
        may_have_stopped: Whether this order may have stopped the run; not if it was not
            sent, or if the engine knows no such run.
        born: Incarnation that answers at the engine's address, 0 if nothing listens
            there, None if it was not asked.
        detail: The engine's answer, or the error.
        seconds: Duration of the copy.
    """

    __slots__ = (
        "copy_request",
        "is_done",
        "handle",
        "is_unknown",
        "is_inconclusive",
        "may_have_stopped",
        "born",
        "detail",
        "seconds",
    )

    def __init__(
        self,
        copy_request: CopyRequested,
        *,
        is_done: bool,
        handle: str = "",
        is_unknown: bool = False,
        is_inconclusive: bool = False,
        may_have_stopped: bool = True,
        born: int | None = None,
        detail: str = "",
        seconds: float = 0.0,
    ) -> None:
        self.copy_request = copy_request
        self.is_done = is_done
        self.handle = handle
        self.is_unknown = is_unknown
        self.is_inconclusive = is_inconclusive
        self.may_have_stopped = may_have_stopped
        self.born = born
        self.detail = detail
        self.seconds = seconds


class CopyDropped(Message):
    """A request to an engine to free a copy that no attempt will use.

    Attributes:
        address: "address:port" of the engine that holds the copy.
        handle: Handle of the copy at that engine.
    """

    __slots__ = ("address", "handle")

    def __init__(self, address: str, handle: str) -> None:
        self.address = address
        self.handle = handle
