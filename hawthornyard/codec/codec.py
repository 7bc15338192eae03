"""Name what every codec of the peer protocol offers."""

from collections.abc import Iterator
from typing import Protocol

from ..frames import Frame


class Decoder(Protocol):
    """Turn received bytes into frames."""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that `data` completes."""
        ...


class Codec(Protocol):
    """Encode frames and make decoders."""

    def encode(self, frame: Frame) -> bytes:
        """Return the bytes of one frame."""
        ...

    def decoder(self) -> Decoder:
        """Return a decoder for one connection."""
        ...
