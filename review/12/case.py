"""The gateways are restarted in turn while a part of prompts crashes runners."""

import random
import signal
import sys
from pathlib import Path
from typing import Any

import eventlet
from harness_3 import (
    Answer,
    Consumer,
    Gateway,
    Record,
    Runner,
    Store,
    deployment,
    new_ids,
    read_runs,
    request_bytes,
    run_case,
    stream_route,
    wait_until,
)

ZONES = ("kgn-a", "kgn-b", "kgn-c")
RUNNERS_PER_ZONE = 2
REQUESTS_PER_S = 20.0
DEADLY = "dead0001"
DEADLY_SHARE = 0.05
DEADLY_FROM_S = 8.0
ROLL_AT_S = 16.0
END_AT_S = 60.0
"""Ahead of the first trial of an accused part, 60 s after it was accused: a crash by
the trial would begin a new time in which nothing is judged."""
CONTACT_S = 3.0
GRACE_S = 8.0
RESTART_S = 3.0
"""Time until a runner that has crashed is back."""
TIMEOUT_MS = 39_000
N_EVENTS = 30
PROBES_UNTIL_OUT = 2


class Sent:
    """A request, and what became of it."""

    def __init__(self, at: float, gateway: str, *, is_deadly: bool) -> None:
        self.at = at
        self.gateway = gateway
        self.is_deadly = is_deadly
        self.answer: Answer | None = None


class Ingress:
    """The platform's choice of a gateway for each new channel.

    It asks each gateway once a second whether it is ready; after two misses the gateway
    gets no new channels until it says so again.
    """

    def __init__(self, gateways: list[Gateway], source: random.Random) -> None:
        self._source = source
        self._in_rotation: dict[str, Gateway] = {}
        for gateway in gateways:
            eventlet.spawn_n(self._probe, gateway)

    def _probe(self, gateway: Gateway) -> None:
        eventlet.sleep(self._source.random())
        n_misses = 0
        while True:
            n_misses = 0 if gateway.is_ready() else n_misses + 1
            if not n_misses:
                self._in_rotation[gateway.name] = gateway
            elif n_misses >= PROBES_UNTIL_OUT:
                self._in_rotation.pop(gateway.name, None)
            eventlet.sleep(1)

    def choose(self) -> Gateway | None:
        """Return the gateway of a new channel, None if there is none."""
        chosen = list(self._in_rotation.values())
        return self._source.choice(chosen) if chosen else None


def keep_running(runner: Runner, record: Record) -> None:
    """Start a runner again some seconds after it has crashed."""
    while True:
        eventlet.sleep(0.1)
        if not runner.is_alive():
            record.note(f"{runner.name} has crashed", shown=True)
            eventlet.sleep(RESTART_S)
            runner.start()
            record.note(f"{runner.name} is back")


def restart_in_turn(gateways: list[Gateway], record: Record) -> None:
    """Stop and start one gateway after the other, as the platform does."""
    for gateway in gateways:
        gateway.signal(signal.SIGTERM)
        record.note(f"{gateway.name} gets SIGTERM", shown=True)
        if not wait_until(lambda gateway=gateway: not gateway.is_alive(), GRACE_S):
            gateway.signal(signal.SIGKILL)
        eventlet.sleep(0.5)
        gateway.start()
        record.note(f"{gateway.name} is started")
        wait_until(gateway.is_ready, 10)
        eventlet.sleep(2)


def play(
    folder: Path, record: Record, children: list[Any], *, has_trouble: bool
) -> int:
    """Start the deployment, send the traffic, restart the gateways, and judge."""
    store = Store(record)
    route = stream_route(
        "visit-summary", "/sum/", timeout_ms=TIMEOUT_MS, target_ms=1800
    )
    store.put("op", "config", deployment([route]))
    runners = [
        Runner(folder, f"i-{z[-1]}{i}", store, zone=z, deadly=DEADLY)
        for z in ZONES
        for i in range(RUNNERS_PER_ZONE)
    ]
    gateways = [Gateway(folder, f"front-{z}-1", z, store) for z in ZONES]
    children += [*runners, *gateways]
    for child in children:
        child.start()
    if not wait_until(lambda: all(gateway.is_ready() for gateway in gateways), 15):
        record.note("the gateways did not become ready", shown=True)
        return 2
    source = random.Random()
    ingress = Ingress(gateways, source)
    eventlet.sleep(3)
    for runner in runners:
        eventlet.spawn_n(keep_running, runner, record)
    new_id = new_ids()
    began = record.now()
    sent: dict[str, Sent] = {}

    def send(*, is_deadly: bool) -> None:
        gateway = ingress.choose()
        if gateway is None:
            return
        request_id = new_id()
        document = DEADLY if is_deadly else f"{source.getrandbits(32):08x}"
        data = request_bytes(
            "/sum/1",
            request_id,
            prefix=f"5c1e07a2:79,{document}:2000,91bd3f06:500,{request_id[:8]}:500",
            usage=f"3079,{4 * N_EVENTS}",
            deadline_ms=TIMEOUT_MS,
        )
        item = sent[request_id] = Sent(
            record.now() - began, gateway.name, is_deadly=is_deadly
        )
        item.answer = answer = Consumer(gateway.port).call(data, TIMEOUT_MS / 1000)
        kind = "deadly" if is_deadly else "sound"
        record.note(
            f"{request_id} {kind} by {gateway.name}: {answer.status} {answer.detail} "
            f"{answer.body[:90] if answer.status != 200 else ''!r}"
        )

    is_rolled = not has_trouble
    while (now := record.now() - began) < END_AT_S:
        if not is_rolled and now >= ROLL_AT_S:
            is_rolled = True
            eventlet.spawn_n(restart_in_turn, gateways, record)
        is_deadly = now > DEADLY_FROM_S and source.random() < DEADLY_SHARE
        eventlet.spawn_n(send, is_deadly=is_deadly)
        eventlet.sleep(source.expovariate(REQUESTS_PER_S))
    eventlet.sleep(4)
    for gateway in gateways:
        for line in (folder / f"{gateway.name}.log").read_text().splitlines():
            if '"part_' in line:
                record.note(f"log of {gateway.name}: {line}")
    return judge(record, read_runs(runners[0].journal), sent)


def judge(record: Record, runs: list[dict[str, Any]], sent: dict[str, Sent]) -> int:
    """Return 1 if sound requests begin less than half as often as before, else 0."""
    has_begun = {run["id"] for run in runs if run["what"] == "runs"}
    crashes = [run["id"] for run in runs if run["what"] == "crashes"]
    if not crashes:
        return 2
    # After the last restart, gateways are in touch again; see claim.txt.
    since = max(sent[crashes[min(4, len(crashes) - 1)]].at + 2 * CONTACT_S, 42.0)
    record.note(f"{len(crashes)} crashes, judged from {since:.1f} s on", shown=True)

    def share(names: set[str], begin: float, end: float) -> tuple[int, int]:
        chosen = [
            request_id
            for request_id, item in sent.items()
            if not item.is_deadly and item.gateway in names and begin <= item.at < end
        ]
        return sum(request_id in has_begun for request_id in chosen), len(chosen)

    names = {item.gateway for item in sent.values()}
    for name in sorted(names):
        calm, later = share({name}, 0, DEADLY_FROM_S), share({name}, since, END_AT_S)
        record.note(
            f"{name}: {calm[0]} of {calm[1]} sound requests begin before, "
            f"{later[0]} of {later[1]} later",
            shown=True,
        )
    n_calm, of_calm = share(names, 0, DEADLY_FROM_S)
    n_later, of_later = share(names, since, END_AT_S)
    record.note(
        f"all: {n_calm} of {of_calm} before, {n_later} of {of_later} later", shown=True
    )
    if of_calm < 20 or of_later < 20:
        return 2
    return 1 if n_later / of_later < 0.5 * n_calm / of_calm else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
