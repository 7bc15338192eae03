"""Sockets and HTTP connections that bound what a peer can send and take turns."""

from .blocks import BLOCK_END, BlockSplitter
from .byte_budget import (
    PROCESS_BUDGET,
    ByteBudget,
    Holding,
    max_held_bytes,
    total_bytes,
)
from .chunks import ChunkDecoder, ChunkError
from .fair_socket import FairSocket, connect
from .field_lines import FieldLineError, check_field_line
from .head_lines import MAX_HEAD_BYTES
from .http_connection import (
    READ_BYTES,
    BoundedConnection,
    get_connection,
    limit_body,
    new_pool,
    read_body,
)
from .retry_after import decode_retry_after
from .status_line import StatusLine, parse_status_line, read_final_status
from .turn_queue import Turn, TurnQueue, Workload
from .turns import PROCESS_TURNS, Turns

__all__ = [
    "BLOCK_END",
    "MAX_HEAD_BYTES",
    "PROCESS_BUDGET",
    "PROCESS_TURNS",
    "READ_BYTES",
    "BlockSplitter",
    "BoundedConnection",
    "ByteBudget",
    "ChunkDecoder",
    "ChunkError",
    "FairSocket",
    "FieldLineError",
    "Holding",
    "StatusLine",
    "Turn",
    "TurnQueue",
    "Turns",
    "Workload",
    "check_field_line",
    "connect",
    "decode_retry_after",
    "get_connection",
    "limit_body",
    "max_held_bytes",
    "new_pool",
    "parse_status_line",
    "read_body",
    "read_final_status",
    "total_bytes",
]
