"""Hold the closed list of error kinds, their answers and the exception tree."""

import enum


class Ran(enum.Enum):
    """Tell whether a request that ended in an error was run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Name every way in which a request, record or peer can fail."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BAD_DEADLINE = "bad_deadline"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_GENERATION = "unknown_generation"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    DRAINING = "draining"
    DOMAIN_OUT = "domain_out"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DEADLINE_AFTER_START = "deadline_after_start"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    DUPLICATE_ATTEMPT = "duplicate_attempt"
    CANCELLED = "cancelled"
    GENERATION_LOST = "generation_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENDPOINT_FAILED = "endpoint_failed"
    RECORD_INVALID = "record_invalid"
    RECORD_CONFLICT = "record_conflict"
    SETTINGS_INVALID = "settings_invalid"
    FRAME_INVALID = "frame_invalid"
    INTERNAL = "internal"


class Answer:
    """Say how one error kind is answered.

    Attributes:
        status: HTTP status code.
        ran: Whether the request was run.
        retryable: Whether the caller may send the same request again.
        retry_after_s: Seconds to wait before that, 0 for no advice.
        meaning: One sentence for callers and on-call engineers.
    """

    __slots__ = ("meaning", "ran", "retry_after_s", "retryable", "status")

    def __init__(
        self,
        status: int,
        ran: Ran,
        meaning: str,
        *,
        retryable: bool = False,
        retry_after_s: int = 0,
    ) -> None:
        self.status = status
        self.ran = ran
        self.meaning = meaning
        self.retryable = retryable
        self.retry_after_s = retry_after_s


def _not_run(status: int, meaning: str, *, retry_after_s: int | None = None) -> Answer:
    return Answer(
        status,
        Ran.NO,
        meaning,
        retryable=retry_after_s is not None,
        retry_after_s=retry_after_s or 0,
    )


_K = ErrorKind

ANSWERS: dict[ErrorKind, Answer] = {
    _K.BAD_REQUEST: _not_run(400, "The request could not be understood."),
    _K.BODY_TOO_LARGE: _not_run(413, "The body is over the size limit."),
    _K.BAD_DEADLINE: _not_run(400, "The deadline header is not a positive number."),
    _K.UNAUTHENTICATED: _not_run(401, "The team key is missing or wrong."),
    _K.FORBIDDEN: _not_run(403, "The team may not make this request."),
    _K.UNKNOWN_SERVICE: _not_run(404, "No service of this name is configured."),
    _K.UNKNOWN_ROUTE: _not_run(404, "No route matches this host and path."),
    _K.UNKNOWN_MODEL: _not_run(404, "No model of this name is configured."),
    _K.UNKNOWN_GENERATION: Answer(
        404, Ran.UNKNOWN, "The generation is not known, or is kept no longer."
    ),
    _K.KEY_IN_PROGRESS: Answer(
        409,
        Ran.UNKNOWN,
        "A request with this idempotency key is in progress.",
        retryable=True,
        retry_after_s=2,
    ),
    _K.KEY_REUSED: _not_run(422, "The idempotency key was used for another body."),
    _K.RATE_LIMITED: _not_run(429, "The team is over its limit.", retry_after_s=1),
    _K.OVERLOADED: _not_run(503, "No endpoint has room in time.", retry_after_s=2),
    _K.NO_ENDPOINT: _not_run(503, "No endpoint is in service.", retry_after_s=2),
    _K.DRAINING: _not_run(503, "The process is stopping.", retry_after_s=1),
    _K.DOMAIN_OUT: _not_run(503, "The failure domain is out.", retry_after_s=1),
    _K.DEADLINE_EXCEEDED: _not_run(504, "The deadline passed before the start."),
    _K.DEADLINE_AFTER_START: Answer(
        504, Ran.UNKNOWN, "The deadline passed after the request was sent."
    ),
    _K.PLATFORM_UNAVAILABLE: _not_run(
        503, "The platform's table service is unavailable.", retry_after_s=5
    ),
    _K.DUPLICATE_ATTEMPT: _not_run(409, "The attempt was seen before."),
    _K.CANCELLED: Answer(499, Ran.UNKNOWN, "The caller left."),
    _K.GENERATION_LOST: Answer(
        502, Ran.YES, "The generation was lost after its first token was delivered."
    ),
    _K.OUTCOME_UNKNOWN: Answer(
        502, Ran.UNKNOWN, "The request was sent; whether it ran is not known."
    ),
    _K.ENDPOINT_FAILED: Answer(502, Ran.YES, "The endpoint failed to answer."),
    _K.RECORD_INVALID: _not_run(400, "A record does not match its schema."),
    _K.RECORD_CONFLICT: _not_run(409, "Another change was accepted first."),
    _K.SETTINGS_INVALID: _not_run(400, "The settings file is not valid."),
    _K.FRAME_INVALID: _not_run(400, "A peer sent a broken frame."),
    _K.INTERNAL: Answer(500, Ran.UNKNOWN, "An internal error; see the log."),
}
"""Table from error kind to answer; every kind has one row."""


class HawthornyardError(Exception):
    """Root of all errors raised by this package.

    Args:
        detail: What was wrong, for the person who reads the answer.
        kind: The row of `ANSWERS` that applies.
    """

    kind = ErrorKind.INTERNAL

    def __init__(self, detail: str = "", *, kind: ErrorKind | None = None) -> None:
        super().__init__(detail or ANSWERS[kind or self.kind].meaning)
        self.detail = detail
        if kind is not None:
            self.kind = kind


class RequestError(HawthornyardError):
    """A caller's request that can't be understood."""

    kind = ErrorKind.BAD_REQUEST


class StreamCutError(HawthornyardError):
    """A stream that ends without its end; its caller must see a broken answer."""

    kind = ErrorKind.GENERATION_LOST


class FrameError(HawthornyardError):
    """A frame from a peer that can't be decoded."""

    kind = ErrorKind.FRAME_INVALID


class PeerError(HawthornyardError):
    """A peer that failed to authenticate."""

    kind = ErrorKind.UNAUTHENTICATED


class RecordError(HawthornyardError):
    """A record that does not match its schema."""

    kind = ErrorKind.RECORD_INVALID


class ConflictError(HawthornyardError):
    """A conditional transaction that lost to another change."""

    kind = ErrorKind.RECORD_CONFLICT


class SettingsError(HawthornyardError):
    """A settings file that is not valid."""

    kind = ErrorKind.SETTINGS_INVALID


class PlatformError(HawthornyardError):
    """A platform service that did not answer."""

    kind = ErrorKind.PLATFORM_UNAVAILABLE


class EndpointError(HawthornyardError):
    """An endpoint that failed to answer."""

    kind = ErrorKind.ENDPOINT_FAILED


if __name__ == "__main__":
    for _kind, _answer in ANSWERS.items():
        print(f"{_kind.value:22} {_answer.status} ran={_answer.ran.value}")
