"""Frames that concern one attempt."""

from collections.abc import Sequence

from .frame import Frame
from .work import Work


class Dispatch(Frame):
    """Gateway to sidecar: run an attempt at most once.

    Attributes:
        attempt_id: Unique identifier of the attempt.
        request_id: Request of the caller.
        team: Team that the attempt is charged to.
        service: Name of the service record.
        work: Generation or service call to run.
        idempotent: Whether the request may be attempted again.
        remaining_s: Time until the caller's deadline, in seconds.
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
    """Gateway to sidecar: send an attempt's output from an offset on.

    Attributes:
        attempt_id: Identifier of the attempt.
        team: Team of the caller; must be the team of the attempt.
        offset: Number of tokens that the caller has already received.
        is_reader: Whether the gateway only reads for a caller that reconnected. Such
            a frame must not fence the attempt, which may still be dispatched.
        age_s: Time since the gateway dispatched the attempt, in seconds.
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
    """Gateway to sidecar: the attempt is no longer needed.

    Attributes:
        attempt_id: Identifier of the attempt.
        is_immediate: Whether to cancel at once; False if the caller may still
            reconnect for the rest of the output.
    """

    __slots__ = ("attempt_id", "is_immediate")

    def __init__(self, attempt_id: str, is_immediate: bool) -> None:
        self.attempt_id = attempt_id
        self.is_immediate = is_immediate


class Ack(Frame):
    """Gateway to sidecar: the caller has received all tokens below `offset`."""

    __slots__ = ("attempt_id", "offset")

    def __init__(self, attempt_id: str, offset: int) -> None:
        self.attempt_id = attempt_id
        self.offset = offset


class Accepted(Frame):
    """Sidecar to gateway: the attempt was admitted and is sent to the endpoint."""

    __slots__ = ("attempt_id",)

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id


class Refused(Frame):
    """Sidecar to gateway: the attempt has not run and never will.

    As an answer to `Attach`, the kind `FORBIDDEN` says only that the attempt
    belongs to another team.

    Attributes:
        attempt_id: Identifier of the attempt.
        kind: Value of an `ErrorKind` whose answer says "not run".
        detail: Reason, empty if the kind says enough.
    """

    __slots__ = ("attempt_id", "kind", "detail")

    def __init__(self, attempt_id: str, kind: str, detail: str) -> None:
        self.attempt_id = attempt_id
        self.kind = kind
        self.detail = detail


class Tokens(Frame):
    """Sidecar to gateway: consecutive tokens of an attempt's output.

    Attributes:
        attempt_id: Identifier of the attempt.
        offset: Offset of the first token in the output, starting at 0.
        texts: Text of each token.
    """

    __slots__ = ("attempt_id", "offset", "texts")

    def __init__(self, attempt_id: str, offset: int, texts: Sequence[str]) -> None:
        self.attempt_id = attempt_id
        self.offset = offset
        self.texts = texts


class Ended(Frame):
    """Sidecar to gateway: the generation finished after `n_tokens` tokens.

    Attributes:
        attempt_id: Identifier of the attempt.
        n_tokens: Number of tokens in the whole output.
        reason: Finish reason of the engine ("stop", "length").
        n_prompt_tokens: Number of prompt tokens, 0 if the engine does not report
            it.
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
    """Sidecar to gateway: the complete HTTP response of a plain service."""

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
    """Sidecar to gateway: the attempt failed after it was started.

    Attributes:
        attempt_id: Identifier of the attempt.
        kind: Value of an `ErrorKind`.
        detail: Description of the error.
    """

    __slots__ = ("attempt_id", "kind", "detail")

    def __init__(self, attempt_id: str, kind: str, detail: str) -> None:
        self.attempt_id = attempt_id
        self.kind = kind
        self.detail = detail


class AttemptUnknown(Frame):
    """Sidecar to gateway: the sidecar lacks the attempt or the requested offset.

    Attributes:
        attempt_id: Identifier of the attempt.
        incarnation: Incarnation of the sidecar that replies.
        never_run: Whether this incarnation has not run the attempt and never will.
    """

    __slots__ = ("attempt_id", "incarnation", "never_run")

    def __init__(self, attempt_id: str, incarnation: str, never_run: bool) -> None:
        self.attempt_id = attempt_id
        self.incarnation = incarnation
        self.never_run = never_run
