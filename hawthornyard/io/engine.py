"""Call a model engine over HTTP and read its server-sent events."""

import json
from collections.abc import Iterator
from typing import Any

import eventlet
import urllib3
from loguru import logger

from ..core import Inbox
from ..frames import Generation
from ..net import READ_BYTES, BlockSplitter, Holding, new_pool, read_body
from ..sidecar.messages import (
    Attempt,
    EndpointEnded,
    EndpointFailed,
    EndpointLoadReport,
    EndpointTokens,
)

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0
LOAD_POLL_INTERVAL_S = 0.5
TOKEN_TIMEOUT_S = 30.0
MAX_RESUMES = 2
MAX_REPORT_BYTES = 1024 * 1024
# The only error status that says that the engine did not run the generation.
_SERVICE_UNAVAILABLE = 503


class EngineClient:
    """Client that runs generations at one engine.

    A stream that breaks is resumed at most `MAX_RESUMES` times.

    Args:
        url: Base URL of the engine.
        token_timeout_s: Seconds within which each event must arrive whole.
    """

    __slots__ = ("_pool", "_timeout", "_url")

    def __init__(self, url: str, *, token_timeout_s: float = TOKEN_TIMEOUT_S) -> None:
        self._url = url.rstrip("/")
        self._pool = new_pool(maxsize=256, block=False)
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=token_timeout_s)

    def run(self, attempt: Attempt, inbox: Inbox) -> None:
        """Run a generation, resuming a broken stream; see `EndpointClient.run`."""
        try:
            resp = self._post("/v1/generate", _build_generate_body(attempt))
        except urllib3.exceptions.NewConnectionError as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, False, str(exc)))
            return
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, True, str(exc)))
            return
        if resp.status != 200:
            may_have_run = resp.status != _SERVICE_UNAVAILABLE
            detail = f"the engine answered with status {resp.status}"
            resp.release_conn()
            inbox.put(EndpointFailed(attempt.attempt_id, may_have_run, detail))
            return
        self._relay_stream(resp, attempt, inbox)

    def cancel(self, attempt_id: str) -> None:
        """Tell the engine to stop a generation; errors are ignored."""
        try:
            self._post("/v1/cancel", {"id": attempt_id}).release_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            return

    def poll_load(self, inbox: Inbox) -> None:
        """Poll the engine's load without end; see `EndpointClient.poll_load`."""
        while True:
            try:
                inbox.put(self.read_load())
            except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
                logger.bind(detail=str(exc)).debug("load_poll_failed")
            eventlet.sleep(LOAD_POLL_INTERVAL_S)

    def read_load(self) -> EndpointLoadReport:
        """Return the engine's load report.

        Raises:
            urllib3.exceptions.HTTPError: If the engine does not answer.
            OSError: If the report is too large.
            ValueError: If the response is not a load report.
        """
        resp = self._pool.request(
            "GET",
            self._url + "/v1/load",
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=LOAD_TIMEOUT_S),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        report = json.loads(read_body(resp, MAX_REPORT_BYTES))
        try:
            return EndpointLoadReport(
                int(report["n_running"]),
                int(report["n_waiting"]),
                float(report["memory_used"]),
                int(report["n_preempted"]),
            )
        except (KeyError, TypeError) as exc:
            raise ValueError("the engine's load report is malformed") from exc

    def _relay_stream(self, resp: Any, attempt: Attempt, inbox: Inbox) -> None:
        n_tokens = 0
        for _ in range(1 + MAX_RESUMES):
            # A response that has been read to its end no longer has its connection.
            conn = resp.connection
            try:
                with conn.hold() as holding:
                    for event in _iter_events(resp, holding):
                        conn.limit_time(self._timeout.read_timeout)
                        if "token" in event:
                            n_tokens += 1
                            tokens = [event["token"]]
                            inbox.put(EndpointTokens(attempt.attempt_id, tokens))
                        if event.get("finish_reason"):
                            inbox.put(_build_ended(attempt, event))
                            return
                detail = "the stream ended without a final event"
            except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
                detail = str(exc)
            finally:
                resp.close()
            resumed = self._resume(attempt.attempt_id, n_tokens)
            if resumed is None:
                break
            resp = resumed
        inbox.put(EndpointFailed(attempt.attempt_id, True, detail))

    def _resume(self, attempt_id: str, offset: int) -> Any | None:
        try:
            resp = self._pool.request(
                "GET",
                self._url + "/v1/resume",
                fields={"id": attempt_id, "offset": str(offset)},
                timeout=self._timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        if resp.status == 200:
            return resp
        resp.release_conn()
        return None

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


def _build_ended(attempt: Attempt, event: dict[str, Any]) -> EndpointEnded:
    n_prompt_tokens = event.get("n_prompt_tokens")
    if type(n_prompt_tokens) is not int or n_prompt_tokens < 0:
        n_prompt_tokens = 0
    reason = str(event["finish_reason"])
    return EndpointEnded(attempt.attempt_id, reason, n_prompt_tokens)


def _build_generate_body(attempt: Attempt) -> dict[str, Any]:
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


def _iter_events(resp: Any, holding: Holding) -> Iterator[dict[str, Any]]:
    splitter = BlockSplitter()
    while data := resp.read1(READ_BYTES, decode_content=False):
        for block in splitter.feed(data):
            if block.startswith(b"data: "):
                yield json.loads(block[6:])
        holding.resize(splitter.n_unfinished)
        holding.check()
