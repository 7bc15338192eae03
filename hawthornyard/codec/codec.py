"""Interface of codecs for the peer protocol."""

from collections.abc import Iterator
from typing import Protocol

from ..frames import Frame


class Decoder(Protocol):
    """Incremental decoder of the byte stream of one connection."""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that they complete.

        Raises:
            FrameError: If the bytes are not a valid frame, or exceed the maximum
                frame size.
        """
        ...


class Codec(Protocol):
    """Encoder of frames and factory of decoders."""

    def encode(self, frame: Frame) -> bytes:
        """Return the encoded bytes of one frame.

        Raises:
            FrameError: If the frame exceeds the maximum frame size.
        """
        ...

    def decoder(self) -> Decoder:
        """Return a new decoder for one connection."""
        ...
