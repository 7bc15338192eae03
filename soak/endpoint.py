"""Run one stand-in endpoint as a process, behind a relay."""

import json
from pathlib import Path
from typing import Any

import eventlet

from hawthornyard.platform.channel import CALL_ERRORS, call_once
from hawthornyard.platform.standins.endpoint import BEHAVIOUR_PATH

from .ports import LOOPBACK, free_ports
from .process import Process
from .relay import Relay

STEP_S = {"scribe": "0.02", "desk": "0.03"}
BEHAVIOUR_TIMEOUT_S = 1.0
START_TIMEOUT_S = 10.0


class Endpoint:
    """A stand-in endpoint.

    Attributes:
        cold_until: Monotonic seconds until which it is cold.
        domain: Its failure domain.
        journal: File that tells what it ran.
        link: The link to it.
        name: Its name.
        process: The process.
        service: The service that it belongs to.
        sequence: Count of what it has written of itself.
    """

    __slots__ = (
        "_born",
        "_port",
        "cold_until",
        "domain",
        "journal",
        "link",
        "name",
        "process",
        "sequence",
        "service",
    )

    def __init__(
        self, folder: Path, name: str, service: str, domain: str, born: int
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.journal = folder / f"{name}.{born}.journal"
        self.cold_until = 0.0
        self.sequence = 0
        self._born = born
        (self._port,) = free_ports(1)
        self.link = Relay(self._port)
        self.process = Process(
            folder / f"{name}.log",
            [
                *("-m", "hawthornyard", "standin", "platform-endpoint"),
                *("--listen", f"{LOOPBACK}:{self._port}", "--name", name),
                *("--born", str(born), "--journal", str(self.journal)),
                *("--step-s", STEP_S[service]),
            ],
        )

    def entry(self, *, state: str = "ready", cold_s: float = 0.0) -> dict[str, Any]:
        """Return what it writes of itself.

        Args:
            state: "ready" or "draining".
            cold_s: Seconds until it is warm.
        """
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.link.port}",
            "zone": self.domain,
            "version": 1,
            "slots": 24,
            "state": state,
            "cold_remaining_ms": int(cold_s * 1000),
            "sequence": self.sequence,
            "born": self._born,
        }

    def wait_started(self) -> None:
        """Wait until it takes connections."""
        with eventlet.Timeout(START_TIMEOUT_S):
            while not self._is_listening():
                eventlet.sleep(0.05)

    def set_behaviour(self, **fields: Any) -> None:
        """Tell it how to behave, if it can be told."""
        address = f"{LOOPBACK}:{self._port}"
        try:
            call_once(
                "POST", address, BEHAVIOUR_PATH, json.dumps(fields), BEHAVIOUR_TIMEOUT_S
            )
        except CALL_ERRORS:
            # Killed or paused by another fault, which then is what it does.
            return

    def _is_listening(self) -> bool:
        try:
            eventlet.connect((LOOPBACK, self._port)).close()
        except OSError:
            return False
        return True
