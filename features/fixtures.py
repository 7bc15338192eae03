"""Fixtures that the scenarios share."""

import contextlib
import io
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import eventlet
from behave import fixture
from behave.runner import Context

from hawthornyard.cli import run_app
from hawthornyard.demo import Client, Deployment
from hawthornyard.front import HttpServer
from hawthornyard.standins import MemoryTable, TableStandIn


@fixture
def kingston(context: Context) -> Iterator[Deployment]:
    """Two engines and two plain services in two failure domains, two gateways."""
    deployment = Deployment()
    for index, domain in enumerate(("new-kingston", "half-way-tree"), start=1):
        deployment.add_engine(f"scribe-{index}", domain, step_s=0.005)
        deployment.add_service(f"frontdesk-{index}", domain)
    deployment.add_gateway("gateway-1", "new-kingston")
    deployment.add_gateway("gateway-2", "half-way-tree")
    deployment.apply(deployment.documents())
    deployment.wait_ready()
    context.deployment = deployment
    context.client = Client(deployment.url(0), deployment.key)
    context.other_client = Client(deployment.url(1), deployment.key)
    yield deployment


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


@fixture
def operator(context: Context) -> Iterator[Operator]:
    """An operator with an empty table service, named by the environment."""
    with tempfile.TemporaryDirectory() as folder:
        context.operator = Operator(Path(folder))
        os.environ["HAWTHORNYARD_TABLE"] = context.operator.table_url
        yield context.operator
        del os.environ["HAWTHORNYARD_TABLE"]
