"""Child processes that can be signalled, killed and restarted."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import eventlet

ROOT = Path(__file__).resolve().parent.parent
POLL_INTERVAL_S = 0.02


class Process:
    """A Python child process that can be paused, killed and restarted.

    Args:
        log: File for the standard output and error, opened for appending.
        args: Arguments of the Python interpreter.
        env: Environment variables in addition to those of this process.
    """

    __slots__ = ("_args", "_env", "_log", "_popen")

    def __init__(
        self, log: Path, args: list[str], env: Mapping[str, str] | None = None
    ) -> None:
        self._log = log
        self._args = args
        self._env = {**os.environ, **(env or {})}
        self._popen: Any = None

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id."""
        pid: int = self._popen.pid
        return pid

    @property
    def status(self) -> int | None:
        """Return the exit status, None while the process is running."""
        status: int | None = self._popen.poll()
        return status

    def has_handler(self, signal_number: int) -> bool:
        """Return whether the process has installed a handler for a signal."""
        text = Path(f"/proc/{self._popen.pid}/status").read_text()
        (line,) = (line for line in text.splitlines() if line.startswith("SigCgt"))
        return bool(int(line.split()[1], 16) >> (signal_number - 1) & 1)

    def log_text(self) -> str:
        """Return the content of the log, empty if there is none."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def start(self) -> None:
        """Start the process, appending to the log."""
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *self._args],
                cwd=ROOT,
                env=self._env,
                stdout=log,
                stderr=log,
            )

    def signal(self, signal_number: int) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process, also while it is paused, and wait up to 5 s for its end."""
        self.signal(signal.SIGKILL)
        self.wait(5.0)

    def wait(self, timeout_s: float) -> bool:
        """Wait, letting other green threads run; return whether the process ended."""
        with eventlet.Timeout(timeout_s, False):
            while self.is_running:
                eventlet.sleep(POLL_INTERVAL_S)
        return not self.is_running
