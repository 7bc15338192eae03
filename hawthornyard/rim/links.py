"""Keep connections to all sidecars that the records name."""

import random
from collections.abc import Mapping

import eventlet
from loguru import logger

from ..codec import Codec
from ..core import Inbox
from ..errors import HawthornyardError
from .connection import Connection, Connections
from .handshake import HANDSHAKE_TIMEOUT_S, FrameReader, authenticate

SILENCE_S = 3.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 2.0


class PeerLinks:
    """Connect to peers, and again when a connection is lost or silent.

    Args:
        name: Name of this process.
        key: Shared secret of the deployment's processes.
        codec: Codec of the connections.
        connections: Where they are registered.
        inbox: Where their frames go.
        silence_s: Replace a connection that brings no frame for so long.
    """

    __slots__ = (
        "_addresses",
        "_codec",
        "_connections",
        "_inbox",
        "_key",
        "_name",
        "_silence_s",
    )

    def __init__(
        self,
        name: str,
        key: bytes,
        codec: Codec,
        connections: Connections,
        inbox: Inbox,
        *,
        silence_s: float = SILENCE_S,
    ) -> None:
        self._name = name
        self._key = key
        self._codec = codec
        self._connections = connections
        self._inbox = inbox
        self._silence_s = silence_s
        self._addresses: dict[str, str] = {}

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Hold connections to exactly these peers.

        A connection to a peer that is named no longer goes on until it is
        lost; one to a peer that moved is replaced.

        Args:
            addresses: "address:port" by peer name.
        """
        known = self._addresses
        self._addresses = dict(addresses)
        for peer, address in addresses.items():
            if peer not in known:
                eventlet.spawn_n(self._keep, peer)
            elif known[peer] != address:
                self._connections.close(peer)

    def replace(self, peer: str) -> None:
        """Close the connection to a peer, so that a new one is made."""
        self._connections.close(peer)

    def set_silence(self, seconds: float) -> None:
        """Replace connections that bring no frame for so long from now on."""
        self._silence_s = seconds
        for peer in self._addresses:
            self._connections.set_silence(peer, seconds)

    def _keep(self, peer: str) -> None:
        delay_s = RECONNECT_MIN_S
        while peer in self._addresses:
            try:
                self._connect(peer)
                delay_s = RECONNECT_MIN_S
            except (HawthornyardError, OSError) as exc:
                logger.bind(peer=peer, detail=str(exc)).debug("peer_lost")
            eventlet.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(RECONNECT_MAX_S, delay_s * 2)

    def _connect(self, peer: str) -> None:
        address = split_address(self._addresses[peer])
        with eventlet.Timeout(HANDSHAKE_TIMEOUT_S, OSError("connect timed out")):
            sock = eventlet.connect(address)
            reader = FrameReader(sock, self._codec)
            said = authenticate(
                sock, reader, self._codec, self._name, self._key, "client"
            )
        if said != peer:
            sock.close()
            raise OSError(f"expected {peer}, found {said}")
        conn = Connection(sock, peer, self._codec)
        self._connections.add(conn)
        try:
            conn.run(reader, self._inbox, silence_s=self._silence_s)
        finally:
            self._connections.remove(conn)


def split_address(text: str) -> tuple[str, int]:
    """Return address and port of "address:port"."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
