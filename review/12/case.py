"""A runner crashes in the middle of streams that have no length."""

import os
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
REQUESTS_PER_S = 4.0
N_EVENTS = 100
"""Events of each stream, of 4 tokens each."""
TIMEOUT_MS = 39_000
START_S = 3.0
"""Time that a worker needs to load its weights."""
CRASH_AT_S = 8.0
SEND_UNTIL_S = 14.0


def play(
    folder: Path, record: Record, children: list[Any], *, has_trouble: bool
) -> int:
    """Start the deployment, send the streams, crash a runner's worker, and judge."""
    store = Store(record)
    route = stream_route(
        "visit-summary", "/sum/", timeout_ms=TIMEOUT_MS, target_ms=1800
    )
    store.put("op", "config", deployment([route]))
    runners = [
        Runner(
            folder,
            f"i-{z[-1]}0",
            store,
            zone=z,
            unframed=1,
            pre_fork=1,
            start_s=START_S,
        )
        for z in ZONES
    ]
    gateways = [Gateway(folder, f"front-{z}-1", z, store) for z in ZONES[:2]]
    children += [*runners, *gateways]
    for child in children:
        child.start()
    if not wait_until(lambda: all(gateway.is_ready() for gateway in gateways), 15):
        record.note("the gateways did not become ready", shown=True)
        return 2
    eventlet.sleep(3)
    source = random.Random(1)
    new_id = new_ids()
    began = record.now()
    answers: dict[str, Answer] = {}

    def send() -> None:
        gateway = source.choice(gateways)
        request_id = new_id()
        data = request_bytes(
            "/sum/1",
            request_id,
            prefix="5c1e07a2:79,e4402b7d:921",
            usage=f"1000,{4 * N_EVENTS}",
            deadline_ms=TIMEOUT_MS,
        )
        answer = Consumer(gateway.port).call(data, TIMEOUT_MS / 1000)
        answers[request_id] = answer
        record.note(
            f"{request_id} by {gateway.name}: {answer.status}, "
            f"{len(answer.events)} events, {answer.detail}"
        )

    crashed = False
    while record.now() - began < SEND_UNTIL_S:
        eventlet.spawn_n(send)
        eventlet.sleep(1 / REQUESTS_PER_S)
        if has_trouble and not crashed and record.now() - began > CRASH_AT_S:
            crashed = True
            starts = [
                run
                for run in read_runs(runners[0].journal)
                if run["what"] == "starts" and run["runner"] == runners[0].name
            ]
            os.kill(starts[-1]["pid"], signal.SIGKILL)
            record.note(f"the worker of {runners[0].name} crashes", shown=True)
    eventlet.sleep(8)
    return judge(record, read_runs(runners[0].journal), answers)


def judge(
    record: Record, runs: list[dict[str, Any]], answers: dict[str, Answer]
) -> int:
    """Return 1 if a stream ends as complete before its last piece, else 0."""
    ended = {run["id"] for run in runs if run["what"] == "ends"}
    n_cut = n_told = 0
    for request_id, answer in answers.items():
        wanted = list(range(1, N_EVENTS + 1))
        if answer.status != 200 or answer.events == wanted:
            continue
        n_cut += 1
        if answer.is_whole:
            n_told += 1
            record.note(
                f"{request_id}: {len(answer.events)} of {N_EVENTS} events, then the "
                f"last chunk; its run ended: {request_id in ended}",
                shown=True,
            )
    record.note(
        f"{len(answers)} streams, {n_cut} of them cut short, {n_told} of these with "
        "the end of a complete answer",
        shown=True,
    )
    return 1 if n_told else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
