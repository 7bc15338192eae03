"""Run the commands of operators."""

import contextlib
import io
from pathlib import Path

import eventlet

from hawthornyard.cli import run_app
from hawthornyard.front import HttpServer
from hawthornyard.standins import MemoryTable, TableStandIn

COMMAND_TIMEOUT_S = 15.0


class Operator:
    """Runs commands against a stand-in table, with a folder for files."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.standin = TableStandIn(MemoryTable())
        server = HttpServer(("127.0.0.1", 0), self.standin.app)
        server.start()
        self.table_url = f"http://127.0.0.1:{server.port}"
        self.code = 0
        self.out = ""
        self.err = ""

    def run(self, *args: str) -> None:
        """Run one command and keep its exit code and what it wrote."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.code = self._run(list(args))
        self.out, self.err = out.getvalue(), err.getvalue()

    def _run(self, args: list[str]) -> int:
        # A command that should fail but starts a daemon would never end.
        try:
            with eventlet.Timeout(COMMAND_TIMEOUT_S):
                return run_app(args)
        except eventlet.Timeout as exc:
            raise AssertionError("the command did not end") from exc

    def write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return path
