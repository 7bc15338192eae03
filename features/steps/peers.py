"""Steps that check the handshake and the frames of the peer protocol."""

import hashlib
import hmac
import socket
from collections.abc import Callable

import eventlet
import msgpack
from behave import then, when
from behave.runner import Context

from features.support.fakes import RawPeer
from hawthornyard.codec import MAX_FRAME_BYTES, MsgpackCodec
from hawthornyard.demo.deployment import PEER_KEY
from hawthornyard.errors import PeerError
from hawthornyard.frames import (
    Attach,
    Cancel,
    ConfigPush,
    Dispatch,
    Frame,
    Generation,
    Heartbeat,
    Hello,
    LoadedReport,
    Proof,
    RecordEntry,
    Replied,
    ServiceCall,
    Tokens,
)
from hawthornyard.io.handshake import (
    NONCE_BYTES,
    PROTOCOL_VERSION,
    FrameReader,
    authenticate,
)

NAME = "gateway-9"
WRONG_KEY = b"not the key of this deployment"
NONCE = b"n" * NONCE_BYTES


def _digest(key: bytes, role: str, name: str, nonce: bytes) -> bytes:
    text = role.encode() + b"\0" + name.encode() + b"\0" + nonce
    return hmac.new(key, text, hashlib.sha256).digest()


def _dispatch(work: object = None, *, remaining_s: float = 5.0) -> Dispatch:
    work = work or Generation("scribe", "x", 2)
    return Dispatch("a1", "r1", "kiosk", "summaries", work, True, remaining_s)


def _greet(peer: RawPeer, *, nonce: bytes = NONCE, name: object = NAME) -> Hello:
    peer.send(Hello(PROTOCOL_VERSION, name, nonce))
    hello = peer.reader.read_one()
    assert isinstance(hello, Hello)
    return hello


def _prove_with_wrong_key(peer: RawPeer, port: int) -> None:
    hello = _greet(peer)
    peer.send(Proof(_digest(WRONG_KEY, "client", NAME, hello.nonce)))


def _reflect(peer: RawPeer, port: int) -> None:
    # Presents the sidecar's own name and nonce as the gateway's.
    hello = peer.reader.read_one()
    assert isinstance(hello, Hello)
    peer.send(hello)
    proof = peer.reader.read_one()
    peer.send(proof)


def _replay(peer: RawPeer, port: int) -> None:
    earlier = RawPeer(port)
    hello = _greet(earlier)
    proof = Proof(_digest(PEER_KEY, "client", NAME, hello.nonce))
    earlier.send(proof)
    assert isinstance(earlier.reader.read_one(), Proof)
    earlier.sock.close()
    _greet(peer)
    peer.send(proof)


def _greet_with_other_version(peer: RawPeer, port: int) -> None:
    peer.send(Hello(PROTOCOL_VERSION + 1, NAME, NONCE))


def _send_nothing(peer: RawPeer, port: int) -> None:
    return


def _send_garbage(peer: RawPeer, port: int) -> None:
    peer.sock.sendall(b"GET / HTTP/1.1\r\n\r\n")


def _send_nested(peer: RawPeer, port: int) -> None:
    peer.sock.sendall(_nested_frames(400))


def _send_byte_by_byte(peer: RawPeer, port: int) -> None:
    # Without its last byte the greeting never completes.
    data = peer.codec.encode(Hello(PROTOCOL_VERSION, NAME, NONCE))
    eventlet.spawn_n(_send_slowly, peer.sock, data[:-1])


def _send_slowly(sock: socket.socket, data: bytes) -> None:
    try:
        for index in range(len(data)):
            sock.sendall(data[index : index + 1])
            eventlet.sleep(0.05)
    except OSError:
        return


def _send_megabyte(peer: RawPeer, port: int) -> None:
    head = b"\xc9" + (1 << 20).to_bytes(4, "big") + b"\x01"
    _send_until_closed(peer, head + bytes(1 << 20))


def _send_until_closed(peer: RawPeer, data: bytes) -> None:
    try:
        peer.sock.sendall(data)
    except OSError:
        return


def _dispatch_before_greeting(peer: RawPeer, port: int) -> None:
    peer.send(_dispatch())


def _dispatch_before_proof(peer: RawPeer, port: int) -> None:
    _greet(peer)
    peer.send(_dispatch())


def _greet_without_name(peer: RawPeer, port: int) -> None:
    hello = _greet(peer, name="")
    peer.send(Proof(_digest(PEER_KEY, "client", "", hello.nonce)))


def _greet_with_short_nonce(peer: RawPeer, port: int) -> None:
    hello = _greet(peer, nonce=b"")
    peer.send(Proof(_digest(PEER_KEY, "client", NAME, hello.nonce)))


def _greet_with_number(peer: RawPeer, port: int) -> None:
    _greet(peer, name=7)


_UNAUTHENTICATED_ACTS: dict[str, Callable[[RawPeer, int], None]] = {
    "proves with a wrong key": _prove_with_wrong_key,
    "reflects the sidecar's own proof": _reflect,
    "replays the proof of an earlier connection": _replay,
    "speaks another protocol version": _greet_with_other_version,
    "says nothing": _send_nothing,
    "sends garbage": _send_garbage,
    "sends frames nested 400 deep": _send_nested,
    "sends one byte at a time": _send_byte_by_byte,
    "sends a megabyte before its proof": _send_megabyte,
    "sends a dispatch in place of a greeting": _dispatch_before_greeting,
    "sends a dispatch in place of its proof": _dispatch_before_proof,
    "greets with an empty name": _greet_without_name,
    "greets with a short nonce": _greet_with_short_nonce,
    "greets with a name that is a number": _greet_with_number,
}
SENT_INCARNATION = "sent-the-wrong-way"


@when("an unauthenticated process connects to a sidecar and {act}")
def connect_unauthenticated(context: Context, act: str) -> None:
    port = context.deployment.hosts["scribe-1"].sidecar.port
    context.peer = RawPeer(port)
    _UNAUTHENTICATED_ACTS[act](context.peer, port)


@then("the sidecar closes the connection")
def check_closed(context: Context) -> None:
    assert context.peer.wait_until_closed()
    context.peer.sock.close()
    ran = context.deployment.hosts["scribe-1"].standin.ran
    assert "r1" not in {request_id for request_id, _ in ran}, ran


@then("the gateways are still connected to every sidecar")
def check_connections(context: Context) -> None:
    for gateway in context.deployment.gateways:
        assert len(list(gateway.fleet.views())) == len(context.deployment.hosts)


def _connect_peer(context: Context) -> RawPeer:
    peer = RawPeer(context.deployment.hosts["scribe-1"].sidecar.port)
    authenticate(peer.sock, peer.reader, peer.codec, NAME, PEER_KEY, "client")
    return peer


def _encode_ext(tag: int, fields: object) -> bytes:
    body = fields if isinstance(fields, bytes) else msgpack.packb(fields)
    data: bytes = msgpack.packb(msgpack.ExtType(tag, body))
    return data


def _nested_frames(depth: int) -> bytes:
    data = msgpack.packb([])
    for _ in range(depth):
        data = _encode_ext(3, data)
    return bytes(data)


_ENCODE = MsgpackCodec().encode
_BROKEN_FRAMES: dict[str, Callable[[], bytes]] = {
    "a frame over the size bound": lambda: (
        (b"\xc9" + (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + b"\x03")
        + bytes(MAX_FRAME_BYTES + 1)
    ),
    "garbage": lambda: b"\xc1" * 100,
    "a number in place of a frame": lambda: msgpack.packb(7),
    "an unknown tag": lambda: _encode_ext(99, []),
    "a frame with no list of fields": lambda: _encode_ext(5, {"attempt_id": "a"}),
    "a frame with too few fields": lambda: _encode_ext(5, ["a1"]),
    "a frame with too many fields": lambda: _encode_ext(5, ["a1", True, 3]),
    "text in place of a number": lambda: _encode_ext(6, ["a1", "7"]),
    "a number in place of text": lambda: _encode_ext(6, [7, 7]),
    "true in place of a number": lambda: _encode_ext(6, ["a1", True]),
    "an offset that is no number": lambda: _ENCODE(
        Attach("a1", "kiosk", 1.5, False, 0.0)
    ),
    "a list with a wrong item": lambda: _ENCODE(ConfigPush(0, 1, ["record"])),
    "work of an unknown type": lambda: _ENCODE(_dispatch("write minutes")),
    "a record in place of work": lambda: _ENCODE(
        _dispatch(RecordEntry("team", "kiosk", 1, ""))
    ),
    "a deadline that is not finite": lambda: _ENCODE(
        _dispatch(remaining_s=float("nan"))
    ),
    "frames nested 1000 deep": lambda: _nested_frames(1000),
}


@when("an authenticated peer sends a sidecar a frame for gateways")
def send_gateway_frame(context: Context) -> None:
    context.peer = _connect_peer(context)
    heartbeat = Heartbeat("scribe-1", SENT_INCARNATION, 1, True, 0, 0, 1, 0.0)
    context.peer.send(heartbeat)


@then("the peer still gets heartbeats")
def check_heartbeats(context: Context) -> None:
    frames = [context.peer.reader.read_one() for _ in range(3)]
    assert all(isinstance(frame, Heartbeat | LoadedReport) for frame in frames), frames
    # An echoed frame would carry the incarnation that the peer sent.
    incarnations = {item.incarnation for item in frames if isinstance(item, Heartbeat)}
    assert incarnations, frames
    assert SENT_INCARNATION not in incarnations, frames
    context.peer.sock.close()


@when("an authenticated peer sends a sidecar {frame}")
def send_broken(context: Context, frame: str) -> None:
    context.peer = _connect_peer(context)
    _send_until_closed(context.peer, _BROKEN_FRAMES[frame]())


@when("a dispatch without temperature and priority is decoded")
def decode_without_optional(context: Context) -> None:
    work = msgpack.ExtType(21, msgpack.packb(["scribe", "x", 2]))
    fields = ["a1", "r1", "kiosk", "summaries", work, True, 5]
    (context.frame,) = MsgpackCodec().decoder().feed(_encode_ext(3, fields))


@then("its work has the defaults")
def check_defaults(context: Context) -> None:
    assert context.frame.work == Generation("scribe", "x", 2)


def _serve_wrong_key(sock: socket.socket) -> None:
    codec = MsgpackCodec()
    reader = FrameReader(sock, codec)
    try:
        authenticate(sock, reader, codec, "scribe-1", WRONG_KEY, "server")
    except (PeerError, OSError):
        return


def _serve_reflection(sock: socket.socket) -> None:
    while data := sock.recv(65536):
        sock.sendall(data)


def _serve_nothing(sock: socket.socket) -> None:
    sock.close()


_HANDSHAKE_SERVERS: dict[str, Callable[[socket.socket], None]] = {
    "proves with a wrong key": _serve_wrong_key,
    "reflects its proof": _serve_reflection,
    "closes at once": _serve_nothing,
}


@when("a gateway starts its handshake with a server that {act}")
def start_handshake(context: Context, act: str) -> None:
    ours, theirs = socket.socketpair()
    eventlet.spawn_n(_HANDSHAKE_SERVERS[act], theirs)
    codec = MsgpackCodec()
    try:
        authenticate(ours, FrameReader(ours, codec), codec, NAME, PEER_KEY, "client")
        context.handshake_error = None
    except (PeerError, OSError) as exc:
        context.handshake_error = exc
    finally:
        ours.close()


@then("the handshake fails")
def check_handshake_failed(context: Context) -> None:
    assert isinstance(context.handshake_error, PeerError | OSError), (
        context.handshake_error
    )


_FRAMES: list[Frame] = [
    _dispatch(),
    _dispatch(ServiceCall("POST", "/badges", [["A", "b"]], b"\x00\xff")),
    Tokens("a1", 3, [" þ", " ", "\x00"]),
    Cancel("a1", False),
    Replied("a1", 200, [["ETag", "7"]], b"body"),
    ConfigPush(6, 7, [RecordEntry("team", "kiosk", 7, "{}")]),
    Heartbeat("scribe-1", "i", 1, True, 0, 0, 1, 0.25),
]


@when("frames are encoded and fed to a decoder in pieces of {n_bytes:d} bytes")
def feed_pieces(context: Context, n_bytes: int) -> None:
    codec = MsgpackCodec()
    data = b"".join(codec.encode(frame) for frame in _FRAMES)
    decoder = codec.decoder()
    context.frames = []
    for start in range(0, len(data), n_bytes):
        context.frames.extend(decoder.feed(data[start : start + n_bytes]))


@then("the decoder returns the same frames")
def check_frames(context: Context) -> None:
    assert context.frames == _FRAMES, context.frames
