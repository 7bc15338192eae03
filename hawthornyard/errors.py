"""Define the closed list of error kinds, their HTTP answers and the exceptions."""

import enum


class Ran(enum.Enum):
    """Whether a request that ended in an error was run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """The kinds of failure of requests, records, settings and peers."""

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
    PROMPT_QUARANTINED = "prompt_quarantined"
    CANCELLED = "cancelled"
    GENERATION_LOST = "generation_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENDPOINT_FAILED = "endpoint_failed"
    RECORD_INVALID = "record_invalid"
    RECORD_CONFLICT = "record_conflict"
    SETTINGS_INVALID = "settings_invalid"
    FRAME_INVALID = "frame_invalid"
    MESSAGE_TOO_LARGE = "message_too_large"
    INTERNAL = "internal"


class Answer:
    """The HTTP answer to an error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether the request was run.
        retryable: Whether the caller may retry the request.
        retry_after_s: Seconds to wait before a retry, 0 for no advice.
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
        404, Ran.UNKNOWN, "The generation is unknown or no longer retained."
    ),
    _K.KEY_IN_PROGRESS: Answer(
        409,
        Ran.UNKNOWN,
        "A request with this idempotency key is in progress.",
        retryable=True,
        retry_after_s=2,
    ),
    _K.KEY_REUSED: _not_run(
        422, "The idempotency key was used before with another request body."
    ),
    _K.RATE_LIMITED: _not_run(
        429, "The team exceeded its rate limit.", retry_after_s=1
    ),
    _K.OVERLOADED: _not_run(
        503, "No endpoint has capacity for the request in time.", retry_after_s=2
    ),
    _K.NO_ENDPOINT: _not_run(503, "No endpoint is in service.", retry_after_s=2),
    _K.DRAINING: _not_run(503, "The process is stopping.", retry_after_s=1),
    _K.DOMAIN_OUT: _not_run(
        503, "The failure domain is out of service.", retry_after_s=1
    ),
    _K.DEADLINE_EXCEEDED: _not_run(
        504, "The deadline passed before the request was started."
    ),
    _K.DEADLINE_AFTER_START: Answer(
        504, Ran.UNKNOWN, "The deadline passed after the request was sent."
    ),
    _K.PLATFORM_UNAVAILABLE: _not_run(
        503, "The platform's table service is unavailable.", retry_after_s=5
    ),
    _K.PROMPT_QUARANTINED: _not_run(
        503,
        "The prompt has a part on which endpoints have ended.",
        retry_after_s=60,
    ),
    _K.DUPLICATE_ATTEMPT: _not_run(409, "The attempt was refused before."),
    _K.CANCELLED: Answer(
        499, Ran.UNKNOWN, "The caller cancelled the request or closed its connection."
    ),
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
    _K.FRAME_INVALID: _not_run(400, "A peer sent a frame that can't be decoded."),
    _K.MESSAGE_TOO_LARGE: Answer(
        502, Ran.UNKNOWN, "A peer sent more bytes than a message may have."
    ),
    _K.INTERNAL: Answer(500, Ran.UNKNOWN, "An internal error; see the log."),
}
"""Answer to each error kind."""


class HawthornyardError(Exception):
    """Base class of all errors raised by this package.

    Args:
        detail: Description of the error, empty for the meaning of its kind.
        kind: Error kind, by default that of the class.
    """

    kind = ErrorKind.INTERNAL

    def __init__(self, detail: str = "", *, kind: ErrorKind | None = None) -> None:
        super().__init__(detail or ANSWERS[kind or self.kind].meaning)
        self.detail = detail
        if kind is not None:
            self.kind = kind


class RequestError(HawthornyardError):
    """A request of a caller that is malformed or not allowed."""

    kind = ErrorKind.BAD_REQUEST


class TruncatedStreamError(HawthornyardError):
    """A response stream that is aborted, so that the caller sees it is incomplete."""

    kind = ErrorKind.GENERATION_LOST


class FrameError(HawthornyardError):
    """A frame from a peer that can't be decoded."""

    kind = ErrorKind.FRAME_INVALID


class OversizedMessageError(HawthornyardError, OSError):
    """A peer that sends more bytes than a message may have.

    It is an `OSError`, so that HTTP libraries handle it as a broken connection.
    """

    kind = ErrorKind.MESSAGE_TOO_LARGE


class PeerError(HawthornyardError):
    """A peer that failed to authenticate."""

    kind = ErrorKind.UNAUTHENTICATED


class RecordError(HawthornyardError):
    """A record that violates its schema, or a change that is inconsistent."""

    kind = ErrorKind.RECORD_INVALID


class ConflictError(HawthornyardError):
    """A conditional transaction that failed because of another change."""

    kind = ErrorKind.RECORD_CONFLICT


class SettingsError(HawthornyardError):
    """A settings file that is not valid."""

    kind = ErrorKind.SETTINGS_INVALID


class PlatformError(HawthornyardError):
    """A platform service that did not respond.

    Attributes:
        n_received: Bytes of the response that had arrived.
    """

    kind = ErrorKind.PLATFORM_UNAVAILABLE

    def __init__(self, detail: str = "", *, n_received: int = 0) -> None:
        super().__init__(detail)
        self.n_received = n_received


class OversizedResponseError(PlatformError):
    """A response of a platform service that is larger than its client wants."""


class EndpointError(HawthornyardError):
    """An endpoint that failed to respond."""

    kind = ErrorKind.ENDPOINT_FAILED


if __name__ == "__main__":
    for _kind, _answer in ANSWERS.items():
        print(f"{_kind.value:22} {_answer.status} ran={_answer.ran.value}")
