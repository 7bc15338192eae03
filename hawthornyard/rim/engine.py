"""Speak to a model engine over HTTP with server-sent events."""

import json
from collections.abc import Iterator
from typing import Any

import urllib3

from ..core import Inbox
from ..frames import Generation
from ..sidecar.messages import (
    Attempt,
    EndpointEnded,
    EndpointFailed,
    EndpointTokens,
)

CONNECT_TIMEOUT_S = 1.0
TOKEN_TIMEOUT_S = 30.0
_TOO_BUSY = 503


class EngineClient:
    """Run generations at one engine.

    Args:
        url: Base URL of the engine.
        token_timeout_s: Bound on the wait for one token.
    """

    __slots__ = ("_pool", "_timeout", "_url")

    def __init__(self, url: str, *, token_timeout_s: float = TOKEN_TIMEOUT_S) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=256, block=False)
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=token_timeout_s)

    def run(self, attempt: Attempt, inbox: Inbox) -> None:
        """Run a generation once; see `EndpointClient.run`."""
        try:
            resp = self._post("/v1/generate", _order(attempt))
        except urllib3.exceptions.NewConnectionError as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, False, str(exc)))
            return
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, True, str(exc)))
            return
        if resp.status != 200:
            ran = resp.status != _TOO_BUSY
            detail = f"the engine answered {resp.status}"
            resp.release_conn()
            inbox.put(EndpointFailed(attempt.attempt_id, ran, detail))
            return
        self._relay(resp, attempt, inbox)

    def cancel(self, attempt_id: str) -> None:
        """Tell the engine to stop a generation; a failure is ignored."""
        try:
            self._post("/v1/cancel", {"id": attempt_id}).release_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            return

    def _relay(self, resp: Any, attempt: Attempt, inbox: Inbox) -> None:
        try:
            for event in _events(resp):
                if "token" in event:
                    inbox.put(EndpointTokens(attempt.attempt_id, [event["token"]]))
                if event.get("finish_reason"):
                    reason = event["finish_reason"]
                    inbox.put(EndpointEnded(attempt.attempt_id, reason))
                    return
            detail = "the stream ended without a final event"
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            detail = str(exc)
        finally:
            resp.close()
        inbox.put(EndpointFailed(attempt.attempt_id, True, detail))

    def _post(self, path: str, body: dict[str, Any]) -> Any:
        return self._pool.request(
            "POST",
            self._url + path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            timeout=self._timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )


def _order(attempt: Attempt) -> dict[str, Any]:
    work = attempt.work
    assert isinstance(work, Generation)
    return {
        "id": attempt.attempt_id,
        "request_id": attempt.request_id,
        "model": work.model,
        "prompt": work.prompt,
        "max_tokens": work.max_tokens,
        "priority": work.priority,
    }


def _events(resp: Any) -> Iterator[dict[str, Any]]:
    buffer = b""
    for chunk in resp.stream(None):
        buffer += chunk
        *blocks, buffer = buffer.split(b"\n\n")
        for block in blocks:
            if block.startswith(b"data: "):
                yield json.loads(block[6:])
