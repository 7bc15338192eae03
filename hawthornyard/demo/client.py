"""Call a gateway over HTTP."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3

Headers = Mapping[str, str]

READ_TIMEOUT_S = 30.0


class Event:
    """One server-sent event of a stream.

    Attributes:
        id: Event id, to send as Last-Event-ID when reconnecting; empty for none.
        body: The event's JSON object, empty for [DONE].
    """

    __slots__ = ("body", "id")

    def __init__(self, id: str, body: dict[str, Any]) -> None:
        self.id = id
        self.body = body

    @property
    def text(self) -> str:
        """Return the text of the token in the event, empty for none."""
        choices = self.body.get("choices") or [{}]
        return str(choices[0].get("text") or "")


class Client:
    """An HTTP client of one gateway that authenticates with a team key.

    Args:
        url: URL of the gateway.
        key: Team key.
    """

    __slots__ = ("_key", "_pool", "url")

    def __init__(self, url: str, key: str) -> None:
        self.url = url
        self._key = key
        self._pool = urllib3.PoolManager()

    def complete(
        self, prompt: str, *, max_tokens: int = 20, headers: Headers | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer to an unstreamed completion by the model scribe."""
        body = {"model": "scribe", "prompt": prompt, "max_tokens": max_tokens}
        return self.request("POST", "/v1/completions", body, headers=headers)

    def stream(
        self, prompt: str, *, max_tokens: int = 20, headers: Headers | None = None
    ) -> Iterator[Event]:
        """Yield the events of a streamed completion by the model scribe."""
        body = {
            "model": "scribe",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        resp = self.request(
            "POST", "/v1/completions", body, preload_content=False, headers=headers
        )
        try:
            yield from _decode_events(resp)
        finally:
            resp.close()

    def request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        preload_content: bool = True,
        headers: Headers | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer to a request, which is sent once and never retried.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON object, None for no body.
            preload_content: Whether to read the whole body first; False to read it
                as it arrives.
            headers: Further request headers.
        """
        data = json.dumps(body).encode() if body is not None else None
        return self.send(
            method, path, data, preload_content=preload_content, headers=headers
        )

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        preload_content: bool = True,
        headers: Headers | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Return the answer to a request with a body of bytes; see `request`."""
        return self._pool.request(
            method,
            self.url + path,
            body=body,
            headers={"Authorization": f"Bearer {self._key}", **(headers or {})},
            timeout=urllib3.Timeout(connect=2.0, read=READ_TIMEOUT_S),
            retries=False,
            redirect=False,
            preload_content=preload_content,
        )


def _decode_events(resp: urllib3.BaseHTTPResponse) -> Iterator[Event]:
    buffer = b""
    for chunk in resp.stream(None):
        buffer += chunk
        *blocks, buffer = buffer.split(b"\n\n")
        for block in blocks:
            yield _decode_event(block.decode())
    if buffer:
        yield _decode_event(buffer.decode())


def _decode_event(block: str) -> Event:
    fields = dict(line.split(": ", 1) for line in block.splitlines() if ": " in line)
    data = fields.get("data", "[DONE]")
    body = json.loads(data) if data != "[DONE]" else {}
    return Event(fields.get("id", ""), body)
