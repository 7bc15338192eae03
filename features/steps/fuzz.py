"""Steps that give drawn bytes and altered documents to the readers."""

import copy
import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from features.support.platform_world import CONFIG
from hawthornyard.codec import MsgpackCodec
from hawthornyard.errors import HawthornyardError
from hawthornyard.frames import EndpointLoad, GatewayLoads, Hello
from hawthornyard.io.claim_codec import decode_claim
from hawthornyard.platform.deployment import decode_deployment
from hawthornyard.platform.endpoint import decode_endpoint_entry, decode_report
from hawthornyard.platform.events import EventSplitter
from hawthornyard.platform.settings import load_edge_settings
from soak.deployment import gateway_settings, operator_config

N_EXAMPLES = 150
_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 5,
    "born": 1,
}
_REPORT = {"state": "ready", "leaves_ms": 5, "born": 1, "runs": [["r", 1, 2, 3]]}
_CLAIM = {
    "state": "claimed",
    "claim_id": "c",
    "digest": "d",
    "lapses_at": 5.0,
    "status": 200,
    "headers": [["a", "b"]],
    "body": "Ym9keQ==",
}
_EVENTS = b"id: 1\ndata: words\n\nid: 2\ndata: words\n\n"
_FRAMES = b"".join(
    MsgpackCodec().encode(frame)
    for frame in (
        Hello(1, "gateway-1", b"n" * 32),
        GatewayLoads("gateway-1", 7, [EndpointLoad("i-1", 2, 3, 4, 0.5)]),
    )
)
_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=9)
    | st.just("\ud800"),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@when("drawn and altered inputs are given to the reader of {name}")
def read_drawn_inputs(context: Context, name: str) -> None:
    readers: dict[str, tuple[Callable[[bytes], object], st.SearchStrategy[bytes]]] = {
        "deployments": (
            decode_deployment,
            _altered_documents(CONFIG)
            | _altered_documents(
                operator_config(3, keys={"key-of-kiosk"}, removed_kinds=set())
            ),
        ),
        "endpoint entries": (
            lambda data: decode_endpoint_entry("i-1", data),
            _altered_documents(_ENTRY),
        ),
        "reports": (
            lambda data: decode_report("i-1", data),
            _altered_documents(_REPORT),
        ),
        "claims": (
            lambda data: decode_claim(data.decode(errors="replace")),
            _altered_documents(_CLAIM),
        ),
        "streams of events": (_split, _altered_bytes(_EVENTS)),
        "frames": (_decode_frames, _altered_bytes(_FRAMES)),
        "settings": (
            _load_settings,
            _altered_documents(gateway_settings("g", "d", "a:1", "a:2", 3)),
        ),
    }
    reader, inputs = readers[name]
    context.error = None

    @settings(
        max_examples=N_EXAMPLES,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(inputs | st.binary(max_size=60))
    def read(data: bytes) -> None:
        try:
            reader(data)
        except HawthornyardError:
            return

    try:
        read()
    except Exception as exc:
        context.error = exc


@then("it raises no error outside the closed list")
def check_no_error(context: Context) -> None:
    if context.error is not None:
        raise context.error


def _altered_documents(document: dict[str, Any]) -> st.SearchStrategy[bytes]:
    return st.tuples(st.randoms(use_true_random=False), _VALUES).map(
        lambda drawn: _alter(document, *drawn)
    )


def _alter(document: dict[str, Any], random: Any, value: Any) -> bytes:
    """Return a document in which one value at any depth is replaced or removed."""
    altered = copy.deepcopy(document)
    place: Any = altered
    while True:
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        key = random.choice(keys)
        is_branch = isinstance(place[key], dict | list) and place[key]
        if not is_branch or random.random() < 0.3:
            break
        place = place[key]
    if random.random() < 0.2:
        del place[key]
    else:
        place[key] = value
    return json.dumps(altered).encode(errors="surrogatepass")


def _altered_bytes(data: bytes) -> st.SearchStrategy[bytes]:
    def alter(drawn: tuple[int, bytes, int]) -> bytes:
        start, piece, n_removed = drawn
        return data[:start] + piece + data[start + n_removed :]

    size = len(data)
    return st.tuples(
        st.integers(0, size), st.binary(max_size=8), st.integers(0, size)
    ).map(alter)


def _split(data: bytes) -> None:
    splitter = EventSplitter()
    for start in range(0, len(data), 7):
        list(splitter.feed(data[start : start + 7]))


def _decode_frames(data: bytes) -> None:
    decoder = MsgpackCodec().decoder()
    for start in range(0, len(data), 7):
        list(decoder.feed(data[start : start + 7]))


def _load_settings(data: bytes) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_bytes(data)
        load_edge_settings(path)
