"""Fixtures that the scenarios share."""

import contextlib
import io
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import eventlet
from behave import fixture
from behave.runner import Context

from hawthornyard.cli import run_app
from hawthornyard.codec import MsgpackCodec
from hawthornyard.core import Message
from hawthornyard.demo import Client, Deployment
from hawthornyard.errors import PeerError
from hawthornyard.front import HttpServer
from hawthornyard.rim import Connections, PeerLinks
from hawthornyard.rim.handshake import FrameReader, authenticate
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


@fixture
def cut_off_gateway(context: Context) -> Iterator[Deployment]:
    """Two endpoints and two gateways, the second with its own way to the table."""
    deployment = Deployment()
    deployment.add_engine("scribe-1", "new-kingston", step_s=0.005)
    deployment.add_engine("scribe-2", "half-way-tree", step_s=0.005)
    context.second_table = TableStandIn(deployment.table.table)
    deployment.add_gateway("gateway-1", "new-kingston")
    deployment.add_gateway("gateway-2", "half-way-tree", table=context.second_table)
    deployment.apply(deployment.documents())
    deployment.wait_ready()
    context.deployment = deployment
    yield deployment


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
            self.code = run_app(list(args))
        self.out, self.err = out.getvalue(), err.getvalue()

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


PEER_NAME = "scribe-1"


class PeerPair:
    """A listening peer and what a link to it puts into its inbox."""

    def __init__(self) -> None:
        self.key = b"the key of the deployment"
        self.kept: list[Message] = []
        self.n_accepted = 0
        self.n_closed = 0
        self._sock = eventlet.listen(("127.0.0.1", 0))
        self.addresses = {PEER_NAME: f"127.0.0.1:{self._sock.getsockname()[1]}"}
        eventlet.spawn_n(self._accept)

    def put(self, msg: Message) -> None:
        """Keep a message, as an inbox does."""
        self.kept.append(msg)

    def links(self, key: bytes) -> PeerLinks:
        """Return links that use a key."""
        connections = Connections(self)
        return PeerLinks("gateway-1", key, MsgpackCodec(), connections, self)

    def _accept(self) -> None:
        while True:
            sock, _ = self._sock.accept()
            self.n_accepted += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        codec = MsgpackCodec()
        reader = FrameReader(sock, codec)
        with contextlib.suppress(PeerError):
            authenticate(sock, reader, codec, PEER_NAME, self.key, "server")
        with contextlib.suppress(OSError):
            while sock.recv(4096):
                pass
        self.n_closed += 1


@fixture
def peer_pair(context: Context) -> Iterator[PeerPair]:
    """A listening peer."""
    context.pair = PeerPair()
    yield context.pair
