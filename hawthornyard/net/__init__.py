"""Sockets and HTTP connections that bound what a peer can send and take turns."""

from .fair_socket import FairSocket, connect
from .http_connection import BoundedConnection, limit_body, new_pool

__all__ = [
    "BoundedConnection",
    "FairSocket",
    "connect",
    "limit_body",
    "new_pool",
]
