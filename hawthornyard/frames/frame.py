"""Define the frames that gateways and sidecars exchange."""

from collections.abc import Sequence

from ..core import Message
from .work import Work


class Frame(Message):
    """Base of all frames.

    Attributes:
        peer: Connection the frame came from or goes to; never encoded.
    """

    __slots__ = ("peer",)
    peer: str

    def at(self, peer: str) -> "Frame":
        """Set the connection and return the frame itself."""
        self.peer = peer
        return self

    def copy_to(self, peer: str) -> "Frame":
        """Return a copy for one of several connections."""
        return type(self)(*self.values()).at(peer)


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
        reader: True for a caller that reconnects, which must not fence the attempt.
        age_s: Seconds since the gateway dispatched the attempt.
    """

    __slots__ = ("attempt_id", "team", "offset", "reader", "age_s")

    def __init__(
        self, attempt_id: str, team: str, offset: int, reader: bool, age_s: float
    ) -> None:
        self.attempt_id = attempt_id
        self.team = team
        self.offset = offset
        self.reader = reader
        self.age_s = age_s


class Cancel(Frame):
    """Gateway to sidecar: the attempt is no longer wanted.

    Attributes:
        attempt_id: The attempt.
        now: False if the caller may still come back for the rest.
    """

    __slots__ = ("attempt_id", "now")

    def __init__(self, attempt_id: str, now: bool) -> None:
        self.attempt_id = attempt_id
        self.now = now


class Ack(Frame):
    """Gateway to sidecar: the caller was given all tokens below `offset`."""

    __slots__ = ("attempt_id", "offset")

    def __init__(self, attempt_id: str, offset: int) -> None:
        self.attempt_id = attempt_id
        self.offset = offset


class RecordEntry(Message):
    """One accepted record as it stands in the table.

    Attributes:
        kind: Record kind.
        name: Record name.
        revision: Table revision that wrote it.
        document: The record as it was accepted, as JSON text; empty if retired.
    """

    __slots__ = ("kind", "name", "revision", "document")

    def __init__(self, kind: str, name: str, revision: int, document: str) -> None:
        self.kind = kind
        self.name = name
        self.revision = revision
        self.document = document


class ConfigPush(Frame):
    """Gateway to peer: the records that changed between two revisions.

    Attributes:
        after: Revision that the receiver must hold already.
        revision: Revision that the receiver holds afterwards.
        entries: Changed records in order of revision.
    """

    __slots__ = ("after", "revision", "entries")

    def __init__(
        self, after: int, revision: int, entries: Sequence[RecordEntry]
    ) -> None:
        self.after = after
        self.revision = revision
        self.entries = entries


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
    """

    __slots__ = ("attempt_id", "n_tokens", "reason")

    def __init__(self, attempt_id: str, n_tokens: int, reason: str) -> None:
        self.attempt_id = attempt_id
        self.n_tokens = n_tokens
        self.reason = reason


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


class Heartbeat(Frame):
    """Sidecar to gateway: the state of an endpoint.

    Attributes:
        endpoint: Name of the endpoint record.
        incarnation: Identifier of the sidecar process.
        revision: Configuration revision in force.
        accepting: Whether new work is taken.
        n_running: Attempts at the endpoint.
        n_waiting: Attempts in the local queue.
        limit: Attempts the endpoint may run now.
        load: Expected share of the endpoint's memory in use, 0 to 1.
    """

    __slots__ = (
        "endpoint",
        "incarnation",
        "revision",
        "accepting",
        "n_running",
        "n_waiting",
        "limit",
        "load",
    )

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        revision: int,
        accepting: bool,
        n_running: int,
        n_waiting: int,
        limit: int,
        load: float,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.revision = revision
        self.accepting = accepting
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.limit = limit
        self.load = load


class Hello(Frame):
    """First frame of either side of a connection.

    Attributes:
        protocol: Version of the peer protocol.
        name: Name of the process.
        nonce: Random bytes that the other side must sign.
    """

    __slots__ = ("protocol", "name", "nonce")

    def __init__(self, protocol: int, name: str, nonce: bytes) -> None:
        self.protocol = protocol
        self.name = name
        self.nonce = nonce


class Proof(Frame):
    """Second frame of either side: the keyed digest of the other's nonce."""

    __slots__ = ("digest",)

    def __init__(self, digest: bytes) -> None:
        self.digest = digest


class Unknown(Frame):
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


class ConfigPull(Frame):
    """Peer to gateway: send the records that changed after a revision."""

    __slots__ = ("after",)

    def __init__(self, after: int) -> None:
        self.after = after


class GatewayBeat(Frame):
    """Gateway to gateway: the state of a gateway.

    Attributes:
        revision: Configuration revision in force.
        stopping: Whether it was asked to stop.
    """

    __slots__ = ("revision", "stopping")

    def __init__(self, revision: int, stopping: bool) -> None:
        self.revision = revision
        self.stopping = stopping


class Demand(Frame):
    """Gateway to a team's owner: what the team asks for here.

    Attributes:
        team: The team.
        requests_per_s: Requests that arrive, admitted or not.
        tokens_per_s: Tokens that they would use.
    """

    __slots__ = ("team", "requests_per_s", "tokens_per_s")

    def __init__(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        self.team = team
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s


class Portion(Frame):
    """Owner to gateway: the part of a team's limits that holds there.

    Attributes:
        team: The team.
        requests_per_s: Requests that may be admitted.
        tokens_per_s: Tokens that may be used.
    """

    __slots__ = ("team", "requests_per_s", "tokens_per_s")

    def __init__(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        self.team = team
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s


class Subscribe(Frame):
    """Gateway to sidecar: send heartbeats at this interval.

    Attributes:
        interval_s: Seconds between heartbeats when nothing changes.
    """

    __slots__ = ("interval_s",)

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
