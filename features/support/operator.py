"""Run operator commands within the test process."""

import contextlib
import io
from pathlib import Path

import eventlet

from hawthornyard.cli import run_app
from hawthornyard.front import HttpServer
from hawthornyard.standins import MemoryTable, TableStandIn

COMMAND_TIMEOUT_S = 15.0


class Operator:
    """Runs operator commands against a stand-in table service.

    Attributes:
        folder: Folder for files of the commands.
        standin: The stand-in table service.
        table_url: URL of the table service.
        code: Exit code of the last command.
        out: Standard output of the last command.
        err: Standard error of the last command.
    """

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
        """Run one command and keep its exit code and output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.code = self._run(list(args))
        self.out, self.err = out.getvalue(), err.getvalue()

    def _run(self, args: list[str]) -> int:
        # A command that should fail could start a daemon instead and never end.
        try:
            with eventlet.Timeout(COMMAND_TIMEOUT_S):
                return run_app(args)
        except eventlet.Timeout as exc:
            raise AssertionError("the command did not end before its timeout") from exc

    def write(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return path
