"""Real processes that scenarios start and end."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import yaml

from hawthornyard.demo.deployment import LOOPBACK, wait_until
from hawthornyard.operator import apply_documents
from hawthornyard.platform import HttpTable
from hawthornyard.records import Document, hash_secret

ROOT = Path(__file__).resolve().parent.parent
PEER_KEY = "a-secret-of-the-processes"
TEAM_KEY = "hy.kiosk.secret-of-the-kiosk"
ANY_PORT = f"{LOOPBACK}:0"
EXIT_TIMEOUT_S = 20.0


class Daemon:
    """One process of the command line, its log in a file.

    Attributes:
        log: File that holds its stderr.
        process: The process.
    """

    __slots__ = ("log", "process")

    def __init__(self, folder: Path, name: str, *args: str, key: str = PEER_KEY):
        self.log = folder / f"{name}.log"
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hawthornyard", *args],
            cwd=ROOT,
            env={**os.environ, "HAWTHORNYARD_PEER_KEY": key},
            stderr=self.log.open("wb"),
        )

    def text(self) -> str:
        return self.log.read_text()

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.text().splitlines()]

    def events(self, name: str) -> list[dict[str, Any]]:
        return [line for line in self.lines() if line["event"] == name]

    def port(self) -> int:
        """Return the port, once the process says that it has started."""
        wait_until(lambda: "started" in self.text() or not self.is_running())
        (line,) = self.events("started")
        return int(line["port"])

    def is_running(self) -> bool:
        return self.process.poll() is None

    def wait(self) -> int:
        wait_until(lambda: not self.is_running(), timeout_s=EXIT_TIMEOUT_S)
        return int(self.process.returncode)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


class Processes:
    """A table, an engine, its sidecar and a gateway, each a process.

    Attributes:
        gateway: The gateway.
        sidecar: The sidecar.
        settings: Settings file by program.
    """

    __slots__ = ("_daemons", "_folder", "_table_url", "gateway", "settings", "sidecar")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._daemons: list[Daemon] = []
        self.settings: dict[str, Path] = {}

    def start_all(self, *, step_s: float = 0.02) -> None:
        table = self._run("table", "standin", "table", "--listen", ANY_PORT)
        engine = self._run(
            "engine", "standin", "engine", "--listen", ANY_PORT, "--step-s", str(step_s)
        )
        self._table_url = f"http://{LOOPBACK}:{table.port()}"
        self.sidecar = self._start_sidecar(engine.port())
        self.gateway = self._start_gateway()
        apply_documents(HttpTable(self._table_url), self._documents())
        wait_until(lambda: bool(self.gateway.events("config_in_force")))
        wait_until(lambda: bool(self.sidecar.events("config_in_force")))

    def url(self) -> str:
        return f"http://{LOOPBACK}:{self.gateway.port()}"

    def kill(self) -> None:
        for daemon in self._daemons:
            daemon.kill()

    def start(self, program: str, name: str, *, key: str = PEER_KEY) -> Daemon:
        path = str(self.settings[program])
        return self._run(name, program, "--config", path, key=key)

    def fix_port(self, program: str, port: int) -> None:
        """Put the port that a process found into its settings file."""
        path = self.settings[program]
        document = yaml.safe_load(path.read_text())
        document["listen"] = f"{LOOPBACK}:{port}"
        path.write_text(yaml.safe_dump(document))

    def _run(self, name: str, *args: str, key: str = PEER_KEY) -> Daemon:
        daemon = Daemon(self._folder, name, *args, key=key)
        self._daemons.append(daemon)
        return daemon

    def _start_sidecar(self, engine_port: int) -> Daemon:
        self._write(
            "sidecar",
            name="scribe-1",
            endpoint=f"http://{LOOPBACK}:{engine_port}",
            protocol="generation",
            metrics=ANY_PORT,
        )
        return self.start("sidecar", "sidecar")

    def _start_gateway(self) -> Daemon:
        self._write("gateway", name="gateway-1", table=self._table_url)
        return self.start("gateway", "gateway")

    def _write(self, program: str, **fields: str) -> None:
        document = {
            "program": program,
            "failure_domain": "new-kingston",
            "listen": ANY_PORT,
            **fields,
        }
        path = self._folder / f"{program}.yaml"
        path.write_text(yaml.safe_dump(document))
        self.settings[program] = path

    def _documents(self) -> list[Document]:
        address = f"{LOOPBACK}:{self.sidecar.port()}"
        return [
            _document("failure_domain", "new-kingston", region="kingston"),
            _document("model", "scribe", context_tokens=8192),
            _document(
                "service",
                "summaries",
                protocol="generation",
                models=["scribe"],
                **{"class": "visitor"},
            ),
            _document(
                "endpoint",
                "scribe-1",
                failure_domain="new-kingston",
                sidecar=address,
                protocol="generation",
                models=["scribe"],
            ),
            _document(
                "team",
                "kiosk",
                key_hash=hash_secret(TEAM_KEY.rpartition(".")[2]),
                services=["summaries"],
                requests_per_s=100,
                tokens_per_s=100000,
            ),
        ]


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder that vanishes with its scenario."""
    return tempfile.TemporaryDirectory(prefix="hawthornyard-")


def _document(kind: str, name: str, **spec: Any) -> Document:
    return {"kind": kind, "schema": 1, "name": name, "spec": spec}
