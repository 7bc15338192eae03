"""Close the listening socket when the pipeline asks for it."""

from ..core import Consumers, StopListening
from .server import HttpServer


class ListenerSink:
    """A sink that closes a server's listening socket on `StopListening`.

    Args:
        server: The server; its open exchanges continue.
    """

    __slots__ = ("_server", "consumers")

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self.consumers: Consumers = {StopListening: self._on_stop_listening}

    def _on_stop_listening(self, msg: StopListening) -> None:
        self._server.close()
