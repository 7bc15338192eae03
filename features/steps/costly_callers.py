"""Steps on clients that cost a gateway more than ordinary ones."""

import random
from pathlib import Path

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.crowd import (
    HOLD_S,
    MAX_BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    ORDINARY,
    CrowdWorld,
)
from features.support.processes import temporary_folder
from features.support.uncontrolled import UncontrolledClients, byte_chunks
from hawthornyard.net import ChunkDecoder

N_DECODINGS = 40
NEXT_REQUEST = b"1\r\nGET / HTTP/1.1\r\n\r\n" * 3


@given("a gateway process of little memory")
def start_gateway(context: Context) -> None:
    _start_gateway(context, MAX_BODY_BYTES)


@given("a gateway process that takes bodies of {n_bytes:d} bytes")
def start_limited_gateway(context: Context, n_bytes: int) -> None:
    _start_gateway(context, n_bytes)


def _start_gateway(context: Context, max_body_bytes: int) -> None:
    folder = temporary_folder()
    context.add_cleanup(folder.cleanup)
    context.crowd = CrowdWorld(Path(folder.name), max_body_bytes=max_body_bytes)
    context.add_cleanup(context.crowd.close)
    context.clients = UncontrolledClients(*context.crowd.ports)
    context.add_cleanup(context.clients.leave)


@when("a crowd sends {kind}")
def join_crowd(context: Context, kind: str) -> None:
    context.crowd.join(kind)


@when("a client posts a badge with {n:d} header lines")
def post_lines(context: Context, n: int) -> None:
    data = ORDINARY.replace(b"Connection", b"a:\r\n" * n + b"Connection")
    context.response = context.crowd.send(data)


@when("uncontrolled clients send {kind}")
def join_clients(context: Context, kind: str) -> None:
    context.clients.join(kind)


@when("they stay until their requests have been answered")
def stay(context: Context) -> None:
    eventlet.sleep(HOLD_S)


@when("a client posts a badge in {n:d} chunks of one byte")
def post_chunks(context: Context, n: int) -> None:
    context.response = context.crowd.send(byte_chunks(n))


@given("a body in {kind} chunks")
def encode_body(context: Context, kind: str) -> None:
    context.random = random.Random(N_DECODINGS)
    context.body, context.encoded = b"", b""
    for _ in range(300):
        data = context.random.randbytes(_n_chunk_bytes(context.random, kind))
        size = context.random.choice([b"%x", b"%X"]) % len(data)
        if kind == "odd" and context.random.random() < 0.5:
            size = b"00" + size + b" ;a=b"
        context.body += data
        context.encoded += size + b"\r\n" + data + b"\r\n"
    context.encoded += b"0\r\nb: c\r\n\r\n"


@when("it is decoded in random pieces and slices of at most {n_lines:d} lines")
def decode_body(context: Context, n_lines: int) -> None:
    data = context.encoded + NEXT_REQUEST
    context.decodings = [
        _decode(context.random, data, n_lines) for _ in range(N_DECODINGS)
    ]


@then("each decoding yields the body and leaves what is behind it")
def check_decodings(context: Context) -> None:
    for decoding in context.decodings:
        assert decoding == (context.body, NEXT_REQUEST)


@then("an ordinary client is answered at its only attempt")
def check_single_attempt(context: Context) -> None:
    # The request times out after 5 s (`features.support.scripted.TIMEOUT_S`).
    response = context.crowd.send(ORDINARY)
    assert response.startswith(b"HTTP/1.1 200"), response


@then("the readiness port answers")
def check_readiness(context: Context) -> None:
    crowd = context.crowd
    assert crowd.await_answer(crowd.is_ready), "the readiness port is silent"


@then("all is answered once the clients have left")
def check_afterwards(context: Context) -> None:
    context.clients.leave()
    check_answers(context)


@then("the client gets its badge")
def check_badge(context: Context) -> None:
    assert context.response.startswith(b"HTTP/1.1 200"), context.response


@then("the gateway lives within its memory and descriptors")
def check_bounds(context: Context) -> None:
    crowd = context.crowd
    assert crowd.process.is_running, crowd.process.log_text()[-2000:]
    peak_mb = crowd.peak_mb()
    n_descriptors = crowd.n_descriptors()
    print(f"peak {peak_mb:.0f} MB, {n_descriptors} descriptors")
    assert peak_mb <= MEMORY_MB, peak_mb
    assert n_descriptors <= MAX_FDS, n_descriptors


@then("the readiness port and an ordinary client get answers")
def check_answers(context: Context) -> None:
    crowd = context.crowd
    assert crowd.await_answer(crowd.is_ready), "the readiness port is silent"
    assert crowd.await_answer(
        lambda: crowd.send(ORDINARY).startswith(b"HTTP/1.1 200")
    ), "an ordinary request is not served"


@then("the endpoint is free again")
def check_endpoint(context: Context) -> None:
    crowd = context.crowd
    assert crowd.await_answer(lambda: crowd.n_running == 0), crowd.n_running


def _n_chunk_bytes(source: random.Random, kind: str) -> int:
    if kind == "one-byte":
        return 1
    return source.choice([1, 2, 15, 16, 17, 255, 256, 257, source.randint(1, 600)])


def _decode(source: random.Random, data: bytes, n_lines: int) -> tuple[bytes, bytes]:
    decoder = ChunkDecoder()
    body, waiting, rest = b"", b"", data
    while not decoder.is_complete:
        n_bytes = source.choice([1, 2, 3, 5, 100, 1000])
        waiting, rest = waiting + rest[:n_bytes], rest[n_bytes:]
        body += decoder.feed(waiting, source.randint(1, n_lines))
        waiting = waiting[len(waiting) - decoder.n_excess :]
    return body, waiting + rest
