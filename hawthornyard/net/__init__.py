"""Sockets and HTTP connections that bound what a peer can send and take turns."""

from .fair_socket import FairSocket, connect
from .http_connection import (
    MAX_HEAD_BYTES,
    WIRE_BYTES_PER_BODY_BYTE,
    BoundedConnection,
    new_pool,
)

__all__ = [
    "MAX_HEAD_BYTES",
    "WIRE_BYTES_PER_BODY_BYTE",
    "BoundedConnection",
    "FairSocket",
    "connect",
    "new_pool",
]
