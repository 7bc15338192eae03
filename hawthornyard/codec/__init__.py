"""Encoding of the frames that peers exchange."""

from .codec import Codec, Decoder
from .msgpack import MAX_FRAME_BYTES, MsgpackCodec, MsgpackDecoder

__all__ = ["MAX_FRAME_BYTES", "Codec", "Decoder", "MsgpackCodec", "MsgpackDecoder"]
