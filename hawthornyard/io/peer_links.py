"""Maintain outgoing connections to peers, with backoff and an idle timeout."""

import random
from collections.abc import Mapping
from typing import Any

import eventlet
from loguru import logger

from ..codec import Codec
from ..core import Inbox
from ..errors import HawthornyardError, PeerError
from ..net import connect
from .connection import Connection, Connections
from .handshake import HANDSHAKE_TIMEOUT_S, FrameReader, authenticate

IDLE_TIMEOUT_S = 3.0
RECONNECT_MIN_DELAY_S = 0.05
RECONNECT_MAX_DELAY_S = 2.0
MAX_PORT = 65_535


class PeerLinks:
    """Outgoing connections to peers, remade when one is lost or idle.

    Args:
        name: Name of this process.
        key: Secret that the deployment's processes share.
        codec: Codec of the connections.
        connections: Registry that open connections are added to.
        inbox: Receives `PeerUp` and the frames of all connections.
        idle_timeout_s: Seconds without data after which a connection is replaced.
    """

    __slots__ = (
        "_addresses",
        "_codec",
        "_connections",
        "_idle_timeout_s",
        "_inbox",
        "_key",
        "_maintained",
        "_name",
    )

    def __init__(
        self,
        name: str,
        key: bytes,
        codec: Codec,
        connections: Connections,
        inbox: Inbox,
        *,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._name = name
        self._key = key
        self._codec = codec
        self._connections = connections
        self._inbox = inbox
        self._idle_timeout_s = idle_timeout_s
        self._addresses: dict[str, str] = {}
        self._maintained: set[str] = set()

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Set the peers to stay connected to.

        An open connection to a peer that is no longer listed stays until it is
        lost, and is then not remade. A connection to a peer whose address changed
        is closed and remade.

        Args:
            addresses: "address:port" by peer name.
        """
        previous = self._addresses
        self._addresses = dict(addresses)
        for peer, address in addresses.items():
            if peer not in self._maintained:
                self._maintained.add(peer)
                eventlet.spawn_n(self._maintain, peer)
            elif previous.get(peer, address) != address:
                self._connections.close(peer)

    def reconnect(self, peer: str) -> None:
        """Close the connection to a peer, so that a new one replaces it."""
        self._connections.close(peer)

    def set_idle_timeout(self, seconds: float) -> None:
        """Set the idle timeout of open and future connections.

        Args:
            seconds: Seconds without data after which a connection is replaced.
        """
        self._idle_timeout_s = seconds
        for peer in self._addresses:
            self._connections.set_idle_timeout(peer, seconds)

    def _maintain(self, peer: str) -> None:
        delay_s = RECONNECT_MIN_DELAY_S
        while peer in self._addresses:
            if self._connect_once(peer):
                delay_s = RECONNECT_MIN_DELAY_S
            eventlet.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(RECONNECT_MAX_DELAY_S, delay_s * 2)
        self._maintained.discard(peer)

    def _connect_once(self, peer: str) -> bool:
        try:
            sock, reader = self._connect(peer)
        except (HawthornyardError, OSError, ValueError) as exc:
            # A malformed address is tried again, as a later one may be valid.
            logger.bind(peer=peer, detail=str(exc)).debug("peer_unreachable")
            return False
        conn = Connection(sock, peer, self._codec)
        self._connections.add(conn)
        try:
            conn.run(reader, self._inbox, idle_timeout_s=self._idle_timeout_s)
        except (HawthornyardError, OSError) as exc:
            logger.bind(peer=peer, detail=str(exc)).debug("peer_lost")
        finally:
            self._connections.remove(conn)
        return True

    def _connect(self, peer: str) -> tuple[Any, FrameReader]:
        address = split_address(self._addresses[peer])
        with eventlet.Timeout(HANDSHAKE_TIMEOUT_S, OSError("connect timed out")):
            sock = connect(address)
            try:
                return sock, self._authenticate(sock, peer)
            except BaseException:
                sock.close()
                raise

    def _authenticate(self, sock: Any, peer: str) -> FrameReader:
        reader = FrameReader(sock, self._codec)
        peer_name = authenticate(
            sock, reader, self._codec, self._name, self._key, "client"
        )
        if peer_name != peer:
            raise PeerError(f"expected peer {peer}, but {peer_name} answered")
        return reader


def split_address(text: str) -> tuple[str, int]:
    """Return the address and the port of "address:port".

    An IPv6 address is written in brackets, which the result leaves out.

    Raises:
        ValueError: If the port is missing or not a number from 0 to 65535.
    """
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"port is {port}, expected 0 to {MAX_PORT}")
    return host.strip("[]"), port
