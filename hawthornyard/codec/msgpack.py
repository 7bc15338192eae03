"""Codec that encodes frames as a stream of msgpack extension values."""

from collections.abc import Iterator
from typing import Any

import msgpack

from ..core import Message
from ..errors import FrameError
from ..frames import (
    Accepted,
    Ack,
    Attach,
    AttemptUnknown,
    Cancel,
    ConfigPull,
    ConfigPush,
    CrashReport,
    CrashReportsRequested,
    Dispatch,
    Ended,
    EndpointLimit,
    EndpointLoad,
    EndpointPace,
    Failed,
    Frame,
    GatewayHeartbeat,
    GatewayLoads,
    Generation,
    Heartbeat,
    Hello,
    LeavingNotice,
    LoadedReport,
    PartsSound,
    PlanEntry,
    PlanPush,
    PossibleCrashReport,
    Proof,
    RecordEntry,
    Refused,
    Replied,
    RolloutCounts,
    RolloutShare,
    RolloutTally,
    ServiceCall,
    Subscribe,
    TeamDemand,
    TeamLimitShare,
    Tokens,
)
from .fields import FieldChecker

MAX_FRAME_BYTES = 4 * 1024 * 1024

# Tags are part of the wire protocol and must never be reused for another type.
_TYPE_BY_TAG: dict[int, type[Message]] = {
    1: Hello,
    2: Proof,
    3: Dispatch,
    4: Attach,
    5: Cancel,
    6: Ack,
    7: ConfigPush,
    8: Accepted,
    9: Refused,
    10: Tokens,
    11: Ended,
    12: Replied,
    13: Failed,
    14: Heartbeat,
    15: AttemptUnknown,
    16: ConfigPull,
    17: GatewayHeartbeat,
    18: TeamDemand,
    19: TeamLimitShare,
    20: RecordEntry,
    21: Generation,
    22: ServiceCall,
    23: Subscribe,
    24: PlanPush,
    25: LoadedReport,
    26: PlanEntry,
    27: GatewayLoads,
    28: EndpointLoad,
    29: LeavingNotice,
    30: CrashReport,
    31: CrashReportsRequested,
    32: PartsSound,
    33: EndpointLimit,
    34: PossibleCrashReport,
    35: EndpointPace,
    36: RolloutCounts,
    37: RolloutShare,
    38: RolloutTally,
}
_TAG_BY_TYPE = {cls: tag for tag, cls in _TYPE_BY_TAG.items()}
_CHECKER_BY_TAG = {tag: FieldChecker(cls) for tag, cls in _TYPE_BY_TAG.items()}


class MsgpackDecoder:
    """Decoder of a stream of msgpack frames.

    Args:
        max_frame_bytes: Maximum size of an encoded frame in bytes.
    """

    __slots__ = ("_unpacker",)

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._unpacker = msgpack.Unpacker(
            ext_hook=_decode_frame, max_buffer_size=max_frame_bytes
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that they complete.

        Raises:
            FrameError: If the bytes are not a valid frame, or exceed the maximum
                frame size.
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield _require_frame(frame)
        except FrameError:
            raise
        except Exception as exc:
            raise FrameError(f"cannot decode frame: {exc}") from exc


class MsgpackCodec:
    """Codec that encodes each frame as one msgpack extension value.

    Args:
        max_frame_bytes: Maximum size of an encoded frame in bytes.
    """

    __slots__ = ("_max_frame_bytes",)

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes

    def encode(self, frame: Frame) -> bytes:
        """Return the encoded bytes of one frame.

        Raises:
            FrameError: If the frame exceeds the maximum frame size.
        """
        body = _FRAME_PACKER.pack(list(frame.values()))
        data: bytes = _FRAME_PACKER.pack_ext_type(_TAG_BY_TYPE[type(frame)], body)
        if len(data) > self._max_frame_bytes:
            raise FrameError(
                f"frame has {len(data)} bytes, the maximum is {self._max_frame_bytes}"
            )
        return data

    def decoder(self) -> MsgpackDecoder:
        """Return a new decoder for one connection."""
        return MsgpackDecoder(max_frame_bytes=self._max_frame_bytes)


def _encode_nested(value: Any) -> msgpack.ExtType:
    return msgpack.ExtType(
        _TAG_BY_TYPE[type(value)], msgpack.packb(list(value.values()))
    )


# Shared, because each new packer allocates a large buffer.
_FRAME_PACKER = msgpack.Packer(default=_encode_nested)


def _decode_frame(tag: int, data: bytes) -> Message:
    return _build_message(tag, msgpack.unpackb(data, ext_hook=_decode_nested))


def _decode_nested(tag: int, data: bytes) -> Message:
    # Each nesting level uses stack space; frames nest messages only one level deep.
    return _build_message(tag, msgpack.unpackb(data, ext_hook=_reject_nested))


def _reject_nested(tag: int, data: bytes) -> Message:
    raise FrameError("frame nests messages more than one level deep")


def _build_message(tag: int, values: Any) -> Message:
    cls = _TYPE_BY_TAG.get(tag)
    if cls is None:
        raise FrameError(f"unknown frame tag {tag}")
    _CHECKER_BY_TAG[tag].check(values)
    return cls(*values)


def _require_frame(frame: Any) -> Frame:
    if not isinstance(frame, Frame):
        raise FrameError(f"expected a frame, got {type(frame).__name__}")
    return frame
