"""Stop listening for callers when the pipeline says so."""

from ..core import Consumers, StopListening
from .server import HttpServer


class ListenerSink:
    """Close a server's listening socket; open exchanges go on.

    Args:
        server: The server.
    """

    __slots__ = ("_server", "consumers")

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self.consumers: Consumers = {StopListening: self._on_stop_listening}

    def _on_stop_listening(self, msg: StopListening) -> None:
        self._server.close()
