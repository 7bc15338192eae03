"""Define the frames about one attempt."""

from collections.abc import Sequence

from .frame import Frame
from .work import Work


class Dispatch(Frame):
    """Gateway to sidecar: run this attempt once.

    Attributes:
        attempt_id: Unique identifier of the attempt.
        request_id: The caller's request.
        team: Team that pays for it.
        service: Service record that it belongs to.
        work: What to run.
        idempotent: Whether another attempt may follow.
        remaining_s: Seconds until the caller's deadline.
    """

    __slots__ = (
        "attempt_id",
        "request_id",
        "team",
        "service",
        "work",
        "idempotent",
        "remaining_s",
    )

    def __init__(
        self,
        attempt_id: str,
        request_id: str,
        team: str,
        service: str,
        work: Work,
        idempotent: bool,
        remaining_s: float,
    ) -> None:
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.team = team
        self.service = service
        self.work = work
        self.idempotent = idempotent
        self.remaining_s = remaining_s


class Attach(Frame):
    """Gateway to sidecar: send the attempt's output from an offset on.

    Attributes:
        attempt_id: The attempt.
        team: Team of the caller; must be the attempt's own.
        offset: Number of tokens that the caller has already got.
        is_reader: True for a caller that reconnects, which must not fence the attempt.
        age_s: Seconds since the gateway dispatched the attempt.
    """

    __slots__ = ("attempt_id", "team", "offset", "is_reader", "age_s")

    def __init__(
        self, attempt_id: str, team: str, offset: int, is_reader: bool, age_s: float
    ) -> None:
        self.attempt_id = attempt_id
        self.team = team
        self.offset = offset
        self.is_reader = is_reader
        self.age_s = age_s


class Cancel(Frame):
    """Gateway to sidecar: the attempt is no longer wanted.

    Attributes:
        attempt_id: The attempt.
        is_immediate: False if the caller may still come back for the rest.
    """

    __slots__ = ("attempt_id", "is_immediate")

    def __init__(self, attempt_id: str, is_immediate: bool) -> None:
        self.attempt_id = attempt_id
        self.is_immediate = is_immediate


class Ack(Frame):
    """Gateway to sidecar: the caller was given all tokens below `offset`."""

    __slots__ = ("attempt_id", "offset")

    def __init__(self, attempt_id: str, offset: int) -> None:
        self.attempt_id = attempt_id
        self.offset = offset


class Accepted(Frame):
    """Sidecar to gateway: the attempt was admitted and will be run."""

    __slots__ = ("attempt_id",)

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id


class Refused(Frame):
    """Sidecar to gateway: the attempt was not run and never will be.

    Attributes:
        attempt_id: The attempt.
        kind: Value of an `ErrorKind` whose answer says "not run".
        detail: What happened.
    """

    __slots__ = ("attempt_id", "kind", "detail")

    def __init__(self, attempt_id: str, kind: str, detail: str) -> None:
        self.attempt_id = attempt_id
        self.kind = kind
        self.detail = detail


class Tokens(Frame):
    """Sidecar to gateway: consecutive tokens of an attempt.

    Attributes:
        attempt_id: The attempt.
        offset: Number of the first token.
        texts: One text a token.
    """

    __slots__ = ("attempt_id", "offset", "texts")

    def __init__(self, attempt_id: str, offset: int, texts: Sequence[str]) -> None:
        self.attempt_id = attempt_id
        self.offset = offset
        self.texts = texts


class Ended(Frame):
    """Sidecar to gateway: the attempt ended after `n_tokens` tokens.

    Attributes:
        attempt_id: The attempt.
        n_tokens: Tokens in the whole output.
        reason: Finish reason of the engine ("stop", "length").
        n_prompt_tokens: Tokens in the prompt, 0 if the engine does not tell.
    """

    __slots__ = ("attempt_id", "n_tokens", "reason", "n_prompt_tokens")

    def __init__(
        self, attempt_id: str, n_tokens: int, reason: str, n_prompt_tokens: int = 0
    ) -> None:
        self.attempt_id = attempt_id
        self.n_tokens = n_tokens
        self.reason = reason
        self.n_prompt_tokens = n_prompt_tokens


class Replied(Frame):
    """Sidecar to gateway: the whole answer of a plain service."""

    __slots__ = ("attempt_id", "status", "headers", "body")

    def __init__(
        self,
        attempt_id: str,
        status: int,
        headers: Sequence[Sequence[str]],
        body: bytes,
    ) -> None:
        self.attempt_id = attempt_id
        self.status = status
        self.headers = headers
        self.body = body


class Failed(Frame):
    """Sidecar to gateway: the attempt was begun and failed.

    Attributes:
        attempt_id: The attempt.
        kind: Value of an `ErrorKind`.
        detail: What happened.
    """

    __slots__ = ("attempt_id", "kind", "detail")

    def __init__(self, attempt_id: str, kind: str, detail: str) -> None:
        self.attempt_id = attempt_id
        self.kind = kind
        self.detail = detail


class AttemptUnknown(Frame):
    """Sidecar to gateway: the attempt is not held.

    Attributes:
        attempt_id: The attempt.
        incarnation: Incarnation of the sidecar that says so.
        never_run: Whether this incarnation never ran it and never will.
    """

    __slots__ = ("attempt_id", "incarnation", "never_run")

    def __init__(self, attempt_id: str, incarnation: str, never_run: bool) -> None:
        self.attempt_id = attempt_id
        self.incarnation = incarnation
        self.never_run = never_run
