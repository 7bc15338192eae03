"""An endless body in small chunks takes a gateway over its memory."""

import os
import sys
from pathlib import Path

import eventlet

eventlet.monkey_patch()

from review.harness import (  # noqa: E402
    ID_HEADER,
    Client,
    Head,
    Kind,
    Runner,
    World,
    is_troubled,
    run,
)

LENGTH_S = 34.0
SUMMARY = Kind(
    "visit-summary",
    "streaming",
    "scribe",
    budget_s=39.0,
    timeout_s=39.0,
    target_s=1.8,
    n_tokens=400,
)
BADGE = Kind(
    "badge-issue",
    "non_idempotent",
    "frontdesk",
    budget_s=1.0,
    timeout_s=1.0,
    target_s=0.2,
)
SPOILED_SHARE = 0.45
"""Share of its answers that the runner in trouble spoils."""
MAX_LOST = 3
"""Requests that the rule allows to be lost."""
ABANDON_S = 7.2
"""Gap in a stream after which its client leaves, four times the target."""
TOKEN = b"4\r\nword\r\n"


class Trouble:
    """Spoils answers of one runner: bytes that are no answer come without end."""

    def __init__(self) -> None:
        self._n_seen = 0
        self.n_spoiled = 0

    def __call__(self, runner: Runner, sock: object, head: Head) -> bool:
        """Spoil the answer if its turn has come."""
        self._n_seen += 1
        if self.n_spoiled + 1 > SPOILED_SHARE * (self._n_seen + 1):
            return False
        self.n_spoiled += 1
        request_id = head.get(ID_HEADER)
        text = (
            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
            f"{ID_HEADER}: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(text.encode())  # type: ignore[attr-defined]
        while True:
            # Ends with an OSError when the gateway closes the channel.
            sock.sendall(TOKEN * 2000)  # type: ignore[attr-defined]
            eventlet.sleep(0)


def keep_asking(world: World, client: Client, kind: Kind, pause_s: float) -> None:
    """Send requests one after the other until the end of the day."""
    while world.record.now() < LENGTH_S:
        outcome = client.ask(kind, wait_s=ABANDON_S if kind.n_tokens else None)
        eventlet.sleep(pause_s if outcome.is_whole else max(pause_s, 0.25))


def play(world: World) -> bool:
    """Play the day and return whether the rule held."""
    world.configure([SUMMARY, BADGE], engine_services=frozenset({"scribe"}))
    trouble = Trouble()
    for index in range(6):
        spoil = trouble if index == 0 and is_troubled() else None
        zone = f"kgn-{'abc'[index % 3]}"
        name = f"scribe-{index}"
        Runner(world, name, "scribe", zone, work_s=0.3, spoil=spoil).publish()
    for index in range(3):
        zone = f"kgn-{'abc'[index % 3]}"
        Runner(world, f"desk-{index}", "frontdesk", zone, work_s=0.045).publish()
    world.add_gateways(2)
    eventlet.spawn_n(world.enforce_memory)
    for gateway in world.gateways:
        for index in range(8):
            client = Client(world, f"{gateway.name}-b{index}", gateway)
            eventlet.spawn_n(keep_asking, world, client, BADGE, 0.1)
        for index in range(4):
            client = Client(world, f"{gateway.name}-s{index}", gateway)
            eventlet.spawn_n(keep_asking, world, client, SUMMARY, 0.2)
    eventlet.sleep(max(0.0, LENGTH_S - world.record.now()) + 8.0)
    return judge(world, trouble)


def judge(world: World, trouble: Trouble) -> bool:
    """Return whether at most `MAX_LOST` requests were lost."""
    spoiled = {item.request_id for item in world.arrivals if item.is_spoiled}
    passed_on = {item.request_id for item in world.arrivals} - spoiled
    lost = [
        outcome
        for outcome in world.outcomes
        if outcome.is_kept
        and outcome.end == "closed"
        and not outcome.status
        and outcome.request_id in passed_on
    ]
    peaks = {gateway.name: round(gateway.peak_mb) for gateway in world.gateways}
    n_whole = sum(outcome.is_whole for outcome in world.outcomes)
    world.record.conclude(
        f"{len(lost)} requests of kept channels passed on to sound runners and closed "
        f"without an answer, {MAX_LOST} allowed; {trouble.n_spoiled} answers spoiled; "
        f"peak memory {peaks} MB; {n_whole} of {len(world.outcomes)} answered"
    )
    return len(lost) <= MAX_LOST


if __name__ == "__main__":
    status = run(Path(__file__).resolve().parent, play)
    sys.stdout.flush()
    os._exit(status)
