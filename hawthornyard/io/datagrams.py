"""Exchange single frames with other processes over UDP."""

import socket
from typing import Any

from loguru import logger

from ..codec import Codec
from ..core import Consumers, Inbox
from ..errors import FrameError
from ..frames import Frame
from ..net import FairSocket
from .peer_links import split_address
from .repeat import repeat

MAX_DATAGRAM_BYTES = 65_507


class DatagramTransport:
    """Transport of frames over UDP, one frame per datagram.

    A lost frame is not sent again: the next one of its type supersedes it.

    Args:
        address: IP address and port to receive on; port 0 picks a free one.
        codec: Codec of the frames.
        inbox: Receives the frames that arrive.
        types: Frame types that are sent to the address in their `peer`.
    """

    __slots__ = ("_codec", "_inbox", "_sock", "consumers")

    def __init__(
        self,
        address: tuple[str, int],
        codec: Codec,
        inbox: Inbox,
        *types: type[Frame],
    ) -> None:
        self._codec = codec
        self._inbox = inbox
        self._sock: Any = FairSocket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)
        self.consumers: Consumers = dict.fromkeys(types, self._send)

    @property
    def port(self) -> int:
        """Return the port that frames are received on."""
        port: int = self._sock.getsockname()[1]
        return port

    def run(self) -> None:
        """Read frames into the inbox; never returns."""
        repeat(self._receive, "datagrams")

    def _receive(self) -> None:
        try:
            data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
        except OSError as exc:
            # An ICMP error for a datagram sent to a closed port is raised here.
            logger.bind(detail=str(exc)).debug("datagram_unreachable")
            return
        self._read(data, f"{sender[0]}:{sender[1]}")

    def _read(self, data: bytes, sender: str) -> None:
        try:
            frames = list(self._codec.decoder().feed(data))
        except FrameError as exc:
            logger.bind(detail=str(exc)).warning("datagram_refused")
            return
        for frame in frames:
            self._inbox.put(frame.with_peer(sender))

    def _send(self, frame: Frame) -> None:
        try:
            self._sock.sendto(self._codec.encode(frame), split_address(frame.peer))
        except (OSError, ValueError) as exc:
            # The address comes from the peer's row, which may be malformed.
            logger.bind(peer=frame.peer, detail=str(exc)).debug("datagram_not_sent")
