"""Processes of the wire benchmark and their resource usage."""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
LOOPBACK = "127.0.0.1"
PEER_KEY = "benchmark-peer-key"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage:
    """Resource usage of a process.

    Attributes:
        processor_s: Processor seconds since the start of the process.
        resident_bytes: Current resident memory.
    """

    __slots__ = ("processor_s", "resident_bytes")

    def __init__(self, processor_s: float, resident_bytes: int) -> None:
        self.processor_s = processor_s
        self.resident_bytes = resident_bytes


class BenchProcess:
    """A process that reports its port in the log line "started".

    Args:
        args: Arguments of the Python interpreter.
    """

    __slots__ = ("_log", "_process", "port")

    def __init__(self, *args: str) -> None:
        self._log = tempfile.NamedTemporaryFile(suffix=".log")  # noqa: SIM115
        self._process = subprocess.Popen(
            [sys.executable, "-W", "ignore", *args],
            stderr=self._log,
            env={**os.environ, "HAWTHORNYARD_PEER_KEY": PEER_KEY},
        )
        self.port = self._wait_for_port()

    def usage(self) -> Usage:
        """Return the resource usage so far."""
        # See proc(5): `fields` begins at field 3; utime is field 14, rss field 24.
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        n_pages = int(fields[21])
        return Usage(
            (user_ticks + system_ticks) / _TICKS_PER_S,
            n_pages * os.sysconf("SC_PAGE_SIZE"),
        )

    def has_logged(self, event: str) -> bool:
        """Return whether the process wrote a log line with this event."""
        return f'"event": "{event}"' in Path(self._log.name).read_text()

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()

    def _wait_for_port(self) -> int:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self._process.poll() is None:
            for line in Path(self._log.name).read_text().splitlines():
                if '"event": "started"' in line:
                    return int(json.loads(line)["port"])
            time.sleep(POLL_INTERVAL_S)
        text = Path(self._log.name).read_text()
        self.kill()
        raise TimeoutError(
            f"the process ended or timed out before its start; log: {text}"
        )
