"""Attempts of callers and executions at endpoints."""

import json
from collections.abc import Sequence
from pathlib import Path


class Attempt:
    """One attempt of a caller to get a request served.

    Attributes:
        request_id: Id of the request.
        kind: Kind of request: "summary", "badge" or "lookup".
        gateway: Name of the gateway it was sent to.
        key: API key of the caller.
        path: Path of the request.
        sent_at: Monotonic seconds at which the request was written.
        ended_at: Monotonic seconds of the end, None while it runs.
        status: Status of the answer, None if there was none.
        outcome: "whole" for a complete answer, "cut" for a lost connection,
            "unconnected" for a failed connect, "left" if the caller disconnected,
            "unanswered" after a timeout.
        events: Numbers of the received events in order of arrival.
        prefix: Parts of its prompt, none if it has no prompt.
        problem: What is wrong with the answer, empty if nothing is.
        told_leaving_at: Monotonic seconds at which the head of an answer arrived that
            says that its endpoint leaves, None if none did.
    """

    __slots__ = (
        "ended_at",
        "events",
        "gateway",
        "key",
        "kind",
        "outcome",
        "path",
        "prefix",
        "problem",
        "request_id",
        "sent_at",
        "status",
        "told_leaving_at",
    )

    def __init__(
        self,
        request_id: str,
        kind: str,
        gateway: str,
        key: str,
        path: str,
        *,
        prefix: Sequence[str] = (),
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.gateway = gateway
        self.key = key
        self.path = path
        self.prefix = prefix
        self.sent_at = 0.0
        self.ended_at: float | None = None
        self.status: int | None = None
        self.outcome = ""
        self.events: list[int] = []
        self.problem = ""
        self.told_leaving_at: float | None = None

    def __repr__(self) -> str:
        fields = (f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"Attempt({', '.join(fields)})"


class Execution:
    """One execution of a request at an endpoint.

    Attributes:
        request_id: Id of the request.
        endpoint: Name of the endpoint.
        service: Service of the endpoint.
        team: Team that the gateway named.
        path: Path of the request.
        started_at: Monotonic seconds of the start.
        ended_at: Monotonic seconds of the end, None if the journal has no end.
        is_resumed: Whether it resumed from a copy of another endpoint's run.
        has_key: Whether the request had an `Authorization` header; it should not.
    """

    __slots__ = (
        "ended_at",
        "endpoint",
        "has_key",
        "is_resumed",
        "path",
        "request_id",
        "service",
        "started_at",
        "team",
    )

    def __init__(self, line: dict[str, object], service: str) -> None:
        self.request_id = str(line["request_id"])
        self.endpoint = str(line["endpoint"])
        self.service = service
        self.team = str(line["team"])
        self.path = str(line["path"])
        self.started_at = float(str(line["at"]))
        self.ended_at: float | None = None
        self.is_resumed = bool(line["is_resumed"])
        self.has_key = bool(line["has_key"])

    def __repr__(self) -> str:
        fields = (f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"Execution({', '.join(fields)})"


def read_executions(path: Path, service: str) -> list[Execution]:
    """Return the executions in the journal of an endpoint.

    Args:
        path: The journal; incomplete lines are skipped.
        service: Service of the endpoint.
    """
    executions: list[Execution] = []
    if not path.exists():
        return executions
    for text in path.read_text().splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            # The process was killed while it wrote this line.
            continue
        if line["event"] == "run":
            executions.append(Execution(line, service))
        elif line["event"] == "end":
            unfinished = [
                execution
                for execution in executions
                if execution.request_id == line["request_id"]
                and execution.ended_at is None
            ]
            for execution in unfinished[:1]:
                execution.ended_at = line["at"]
    return executions
