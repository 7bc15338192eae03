"""Exchange single frames with other processes over UDP."""

import socket
from typing import Any

from eventlet.green import socket as green_socket
from loguru import logger

from ..codec import Codec
from ..core import Consumers, Inbox
from ..errors import FrameError
from ..frames import Frame
from .links import split_address

MAX_DATAGRAM_BYTES = 65_507


class DatagramTransport:
    """Send frames to addresses and read those that come.

    A frame that is lost is not sent again: the next one replaces it.

    Args:
        address: IP number and port to receive at.
        codec: Encodes one frame a datagram.
        inbox: Where received frames go.
        types: Frame types that are sent.
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
        self._sock: Any = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)
        self.consumers: Consumers = dict.fromkeys(types, self._send)

    def run(self) -> None:
        """Read datagrams into the inbox; never returns."""
        while True:
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # A datagram to a closed port comes back as an error of the socket.
                logger.bind(detail=str(exc)).debug("datagram_unreachable")
                continue
            self._read(data)

    def _read(self, data: bytes) -> None:
        try:
            frames = list(self._codec.decoder().feed(data))
        except FrameError as exc:
            logger.bind(detail=str(exc)).warning("datagram_refused")
            return
        for frame in frames:
            self._inbox.put(frame)

    def _send(self, frame: Frame) -> None:
        try:
            self._sock.sendto(self._codec.encode(frame), split_address(frame.peer))
        except OSError as exc:
            logger.bind(peer=frame.peer, detail=str(exc)).debug("datagram_not_sent")
