"""Steps on the rows of rollouts in the platform's store."""

import contextlib
import io
import json
import tempfile
import time
from pathlib import Path

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.platform_bytes import BADGE, SIGNATURE_HEADERS
from features.support.platform_world import PlatformWorld
from features.support.scripted import ScriptedEndpoint
from hawthornyard.cli.app import run_app
from hawthornyard.codec import MsgpackCodec
from hawthornyard.edge.rollout import RolloutBounds
from hawthornyard.errors import SettingsError
from hawthornyard.frames import RolloutCounts, RolloutShare, RolloutTally
from hawthornyard.platform.rollouts import decode_order, decode_state, encode_state
from hawthornyard.platform.settings import load_edge_settings
from hawthornyard.platform.store import PlatformStore, StoredRow
from hawthornyard.rollout import Phase, RolloutState

MAX_S = 8.0
SETTINGS = {
    "node": "gateway-1",
    "zone": "domain-1",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
    "platform": {"address": "127.0.0.1:1"},
    "internal_ports": [0, 0],
}


@then("the order row {row} gives {result}")
def check_order(context: Context, row: str, result: str) -> None:
    read = decode_order(StoredRow("rollout/desk", row.encode(), 7))
    if result == "an order":
        assert read.order is not None and read.order.revision == 7, read
    else:
        assert read.order is None and result in read.detail, read


@then("each phase of a rollout survives its row")
def check_round_trip(context: Context) -> None:
    for phase in Phase:
        state = RolloutState("desk", "v2", 7, 12.0, 5.5, number=3, holder="gateway-1")
        state = state.replaced(phase=phase, step=2, reason="why", until_ms=9.0)
        assert decode_state(encode_state(state)) == state


@then("the frames about a rollout survive the codec")
def check_frames(context: Context) -> None:
    tally = RolloutTally(2, "badge", True, 3, 1, 2, -4.5, 10.25)
    frames = [
        RolloutCounts("gateway-1", "desk", 7, 1000, 40, -1, [tally]),
        RolloutShare("gateway-1", "desk", "v2", 7, 3, "move", 2),
    ]
    codec = MsgpackCodec()
    for frame in frames:
        (found,) = codec.decoder().feed(codec.encode(frame))
        assert list(found.values()) == list(frame.values()), found


@then("the bounds {bounds} give {result}")
def check_bounds(context: Context, bounds: str, result: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps({**SETTINGS, "bounds": json.loads(bounds)}))
        try:
            found = load_edge_settings(path).rollout_bounds
        except SettingsError as exc:
            assert result == "an error" and "expose_share" in str(exc), exc
            return
    shown = "none"
    if found is not None:
        shown = f"{found.share:g},{found.slack:g},{found.rollback_s:g}"
    assert shown == result, shown


@given("a gateway of the platform before old endpoints and new ones that give {status}")
def start(context: Context, status: str) -> None:
    bounds = RolloutBounds(0.1, 50.0, 5.0)
    context.world = world = PlatformWorld(rollout_bounds=bounds)
    context.add_cleanup(world.close)
    for version, code in (("v1", "200"), ("v2", status)):
        head = f"HTTP/1.1 {code} X\r\n".encode()
        answer = head + SIGNATURE_HEADERS + b"Content-Length: 4\r\n\r\nbody"
        for _ in range(2):
            endpoint = ScriptedEndpoint([answer], "close")
            world.endpoints.append(endpoint)
            name = f"i-{len(world.endpoints)}"
            world.add_entry(name, endpoint.address, version=version)
    world.wait_ready()


@when("the operator writes the order row {row}")
def write_order(context: Context, row: str) -> None:
    context.world.store.put("op", "rollout/desk", json.loads(row))
    eventlet.sleep(0.3)


def _status(world: PlatformWorld) -> dict[str, str]:
    value, _ = world.store.rows.get(("status", "rollout/desk"), (b"{}", 0))
    found: dict[str, str] = json.loads(value or b"{}")
    return found


def _send_badges(world: PlatformWorld) -> None:
    threads = [eventlet.spawn(world.send, BADGE) for _ in range(8)]
    for thread in threads:
        thread.wait()


@when("callers send badges until the operator's row says that it is over")
def send_until_over(context: Context) -> None:
    world = context.world
    end = time.monotonic() + MAX_S
    while _status(world).get("state") not in ("succeeded", "rolled_back"):
        assert time.monotonic() < end, _status(world)
        _send_badges(world)


@when("callers send badges for {seconds:g} seconds")
def send_for(context: Context, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        _send_badges(context.world)


@then("the operator's row is exactly {state} to v2")
def check_status(context: Context, state: str) -> None:
    assert _status(context.world) == {"state": state, "to": "v2"}


@then("the rollout command tells {state}")
def check_command(context: Context, state: str) -> None:
    out = io.StringIO()
    address = context.world.store_address
    with contextlib.redirect_stdout(out):
        code = run_app(["rollout", "desk", "--store", address, "--output", "json"])
    body = json.loads(out.getvalue())
    assert code == 0 and body["state"] == state, body
    assert body["reason"] and body["waits_for"] == "nothing: it is over", body


@then("the store got no call about rollouts and both versions got badges")
def check_no_call(context: Context) -> None:
    world = context.world
    tables = {table for table, _ in world.store.rows}
    assert not tables & {"status", "rollouts"}, tables
    assert "rollouts" not in world.store.tables_read, world.store.tables_read
    assert all(endpoint.requests for endpoint in world.endpoints)


@then("a conditional write is refused after another one, and in another era")
def check_conditional(context: Context) -> None:
    store = PlatformStore(context.world.store_address)
    store.read("rollouts")
    row = ("rollouts", "rollout/x", b"{}")
    first = store.write_if(("rollouts", "rollout/x", 0), [row], store.era)
    assert first > 0
    assert not store.write_if(("rollouts", "rollout/x", 0), [row], store.era)
    assert not store.write_if(("rollouts", "rollout/x", first), [row], store.era + 1)
    assert store.write_if(("rollouts", "rollout/x", first), [row], store.era) > first
