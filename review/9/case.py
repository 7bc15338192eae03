"""A runner leaves and says so in its answers; the store turns one machine away."""

import sys
from pathlib import Path
from typing import Any

import eventlet
from eventlet.green import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as kit

DRAIN_S = 2.0
SERVES_ON_S = 3.5
PER_S = 13.6


class LeavingRunner(kit.Runner):
    """Runner of a plain service that can leave."""

    def leave(self) -> None:
        """Report `draining`, serve on for a time, then exit."""
        self.record.write("leaves", runner=self.name)
        self.write_entry("draining")
        self.extra_headers = ["Server-Leaving: 1"]
        eventlet.sleep(SERVES_ON_S)
        self.exit()


class Traffic:
    """Consumers that send badge issues, each on a new channel."""

    def __init__(self, gateway: kit.Gateway, record: kit.Record) -> None:
        self._gateway = gateway
        self._record = record
        self.left_at: float | None = None
        self.sent_at: dict[str, float] = {}
        self.n_answered = 0
        self.n_lost = 0

    def send(self, number: int) -> None:
        """Send one request."""
        request_id = f"r{number}"
        self.sent_at[request_id] = time.monotonic()
        self._record.write("sent", id=request_id)
        answer: Any = kit.Answer()
        try:
            channel = kit.Channel(self._gateway.port)
        except OSError:
            self._record.write("not_connected", id=request_id)
            return
        answer = channel.ask(
            "POST", "/badge-issue/2f", request_id=request_id, body=b"badge"
        )
        channel.close()
        is_leaving = "server-leaving" in answer.headers
        if is_leaving and self.left_at is None:
            self.left_at = time.monotonic()
        self.n_answered += answer.status == 200
        self.n_lost += answer.status in (0, 502, 504)
        self._record.write(
            "answered", id=request_id, status=answer.status, leaving=is_leaving
        )


def play(store: kit.Store, record: kit.Record, folder: Path) -> bool | None:
    """Turn the machine away at the store, then let a runner leave."""
    leaver = LeavingRunner("i-a", "frontdesk", store, record)
    arrivals: list[tuple[str, float]] = []

    run = leaver.run

    def note_run(sock: Any, request: kit.HttpRequest, request_id: str) -> bool:
        arrivals.append((request_id, time.monotonic()))
        return run(sock, request, request_id)

    leaver.run = note_run  # type: ignore[method-assign]
    for name in ("i-b", "i-c"):
        kit.Runner(name, "frontdesk", store, record)
    address = store.open()
    gateway = kit.Gateway(address, folder)
    try:
        if not gateway.wait_ready():
            return None
        eventlet.sleep(3.5)
        traffic = Traffic(gateway, record)
        begun_at = time.monotonic()
        is_gone = False
        number = 0
        while time.monotonic() < begun_at + 14.0:
            number += 1
            eventlet.spawn_n(traffic.send, number)
            eventlet.sleep(max(0.0, begun_at + number / PER_S - time.monotonic()))
            if not is_gone and time.monotonic() > begun_at + 2.0:
                is_gone = True
                if kit.has_trouble():
                    record.write("store_turns_machine_away")
                    store.turned_away.add(address)
                eventlet.spawn_n(leaver.leave)
            if time.monotonic() > begun_at + 11.0 and store.turned_away:
                store.turned_away.clear()
                record.write("store_serves_machine")
        eventlet.sleep(2.0)
        if not traffic.n_answered or (kit.has_trouble() and traffic.left_at is None):
            return None
        late = [
            request_id
            for request_id, _ in arrivals
            if traffic.left_at is not None
            and traffic.sent_at[request_id] > traffic.left_at + DRAIN_S
        ]
        record.write(
            "count",
            answered=traffic.n_answered,
            lost=traffic.n_lost,
            late_at_leaving_runner=len(late),
        )
        return not late
    finally:
        gateway.close()


if __name__ == "__main__":
    kit.run_case(Path(__file__).resolve().parent, play)
