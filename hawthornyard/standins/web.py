"""Provide a small WSGI application with JSON bodies for stand-ins."""

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qsl

Environ = dict[str, Any]


class WebRequest:
    """One request to a stand-in.

    Attributes:
        method: HTTP method.
        path: Path without query.
        query: Query fields.
        headers: Request headers by lower-case name.
        body: Whole body.
    """

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, environ: Environ) -> None:
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        self.headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        self.body: bytes = environ["wsgi.input"].read()

    def json(self) -> Any:
        """Return the decoded JSON body, an empty object if there is no body."""
        return json.loads(self.body or b"{}")


class WebAnswer:
    """One answer of a stand-in.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Bytes, a value that is encoded as JSON if the content type is JSON, or
            else an iterable of bytes.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(
        self,
        body: Any = None,
        *,
        status: int = 200,
        content_type: str = "application/json",
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


Handler = Callable[[WebRequest], WebAnswer]


class WebApp:
    """A WSGI application that routes requests by method and path.

    Args:
        handlers: Handlers by "METHOD /path"; "/path/*" matches all paths below
            /path/, and with it the method ANY matches every method.
    """

    __slots__ = ("_handlers",)

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers

    def __call__(
        self, environ: Environ, start: Callable[[str, list[tuple[str, str]]], Any]
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        req = WebRequest(environ)
        handler = self._find_handler(req)
        answer = (
            handler(req) if handler else WebAnswer({"error": "no route"}, status=404)
        )
        body = answer.body
        start(f"{answer.status} -", [("Content-Type", answer.content_type)])
        if isinstance(body, bytes):
            return [body]
        if answer.content_type == "application/json":
            return [json.dumps(body).encode()]
        stream: Iterable[bytes] = body
        return stream

    def _find_handler(self, req: WebRequest) -> Handler | None:
        exact = self._handlers.get(f"{req.method} {req.path}")
        if exact is not None:
            return exact
        for pattern, handler in self._handlers.items():
            method, _, path = pattern.partition(" ")
            if path.endswith("/*") and req.path.startswith(path[:-1]):
                if method in (req.method, "ANY"):
                    return handler
        return None
