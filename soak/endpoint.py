"""Stand-in endpoint that runs as a process behind a relay."""

import json
from pathlib import Path
from typing import Any

import eventlet

from hawthornyard.io import ReservedPort
from hawthornyard.io.endpoint_calls import CALL_ERRORS, call_once
from hawthornyard.platform.standins.endpoint import BEHAVIOUR_PATH

from .deployment import DEADLY_PART
from .loopback import LOOPBACK
from .process import Process
from .relay import Relay

STEP_S = {"scribe": "0.02", "desk": "0.03"}
BEHAVIOUR_TIMEOUT_S = 1.0
START_TIMEOUT_S = 10.0


class Endpoint:
    """A stand-in endpoint.

    Attributes:
        cold_until: Monotonic seconds until which the endpoint is cold.
        domain: Failure domain.
        journal: File in which the endpoint records its executions.
        link: Relay through which gateways reach the endpoint.
        name: Name of the endpoint.
        process: The process.
        service: Service of the endpoint.
        sequence: Sequence number of the last entry that `entry` returned.
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
        self,
        folder: Path,
        name: str,
        service: str,
        domain: str,
        born: int,
        *,
        deadly_end: str = "close",
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.journal = folder / f"{name}.{born}.journal"
        self.cold_until = 0.0
        self.sequence = 0
        self._born = born
        self._port = ReservedPort(LOOPBACK)
        self.link = Relay(self._port.number)
        self.process = Process(
            folder / f"{name}.log",
            [
                *("-m", "hawthornyard", "standin", "platform-endpoint"),
                *("--listen", self._port.address, "--name", name),
                *("--born", str(born), "--journal", str(self.journal)),
                *("--step-s", STEP_S[service], "--deadly-part", DEADLY_PART),
                *("--deadly-end", deadly_end),
            ],
        )

    def entry(self, *, state: str = "ready", cold_s: float = 0.0) -> dict[str, Any]:
        """Return the endpoint's next entry for the store.

        Args:
            state: "ready" or "draining".
            cold_s: Seconds until the endpoint is warm.
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
        """Wait until the endpoint accepts connections."""
        with eventlet.Timeout(START_TIMEOUT_S):
            while not self._is_listening():
                eventlet.sleep(0.05)

    def set_behaviour(self, **fields: Any) -> None:
        """Set the stand-in's behaviour; do nothing if it can't be reached."""
        try:
            call_once(
                "POST",
                self._port.address,
                BEHAVIOUR_PATH,
                json.dumps(fields),
                BEHAVIOUR_TIMEOUT_S,
            )
        except CALL_ERRORS:
            # Another fault has killed or paused the process and stays in effect.
            return

    def _is_listening(self) -> bool:
        try:
            eventlet.connect((LOOPBACK, self._port.number)).close()
        except OSError:
            return False
        return True
