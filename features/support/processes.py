"""Real processes that scenarios start and end."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3
import yaml

from hawthornyard.demo.deployment import LOOPBACK, wait_until
from hawthornyard.operator import apply_documents
from hawthornyard.records import Document, hash_secret
from hawthornyard.stores import HttpTableStore

ROOT = Path(__file__).resolve().parents[2]
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

    With `start_wide` also a plain service, its sidecar and a second gateway.

    Attributes:
        engine: The stand-in engine.
        gateway: The gateway.
        other_gateway: The second gateway.
        service: The stand-in plain service.
        service_sidecar: The sidecar of the plain service.
        table: The stand-in table service.
        sidecar: The sidecar.
        settings: Settings file by program.
    """

    __slots__ = (
        "_daemons",
        "_folder",
        "_table_url",
        "engine",
        "gateway",
        "other_gateway",
        "service",
        "service_sidecar",
        "settings",
        "sidecar",
        "table",
    )

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._daemons: list[Daemon] = []
        self.settings: dict[str, Path] = {}

    def start_all(self, *, step_s: float = 0.02) -> None:
        self.table = self._run("table", "standin", "table", "--listen", ANY_PORT)
        self.engine = self._run(
            "engine", "standin", "engine", "--listen", ANY_PORT, "--step-s", str(step_s)
        )
        self._table_url = f"http://{LOOPBACK}:{self.table.port()}"
        self.sidecar = self._start_sidecar(self.engine.port())
        self.gateway = self._start_gateway()
        apply_documents(HttpTableStore(self._table_url), self._documents())
        wait_until(lambda: bool(self.gateway.events("config_in_force")))
        wait_until(lambda: bool(self.sidecar.events("config_in_force")))

    def start_wide(self, *, delay_s: float = 1.0) -> None:
        """Start all, a slow plain service and a second gateway."""
        self.start_all()
        self.service = self._run(
            "service",
            "standin",
            "service",
            "--listen",
            ANY_PORT,
            "--delay-s",
            str(delay_s),
        )
        self._write(
            "service-sidecar",
            program="sidecar",
            name="frontdesk-1",
            endpoint=f"http://{LOOPBACK}:{self.service.port()}",
            protocol="http",
        )
        self.service_sidecar = self.start("sidecar", "service-sidecar")
        self._write(
            "other-gateway", program="gateway", name="gateway-2", table=self._table_url
        )
        self.other_gateway = self.start("gateway", "other-gateway")
        apply_documents(HttpTableStore(self._table_url), self._wide_documents())
        for gateway in (self.gateway, self.other_gateway):
            wait_until(lambda gateway=gateway: n_accepting(gateway) == 2)

    def url(self) -> str:
        return f"http://{LOOPBACK}:{self.gateway.port()}"

    def kill(self) -> None:
        for daemon in self._daemons:
            daemon.kill()

    def start(self, program: str, name: str, *, key: str = PEER_KEY) -> Daemon:
        path = str(self.settings.get(name, self.settings[program]))
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

    def _write(self, file: str, **fields: str) -> None:
        document = {
            "program": file,
            "failure_domain": "new-kingston",
            "listen": ANY_PORT,
            **fields,
        }
        path = self._folder / f"{file}.yaml"
        path.write_text(yaml.safe_dump(document))
        self.settings[file] = path

    def _wide_documents(self) -> list[Document]:
        service = {"protocol": "http", "deadline_s": 20}
        service["operations"] = [
            {"method": "POST", "path": "/badges", "idempotent": False}
        ]
        endpoint = {"failure_domain": "new-kingston", "protocol": "http"}
        endpoint["sidecar"] = f"{LOOPBACK}:{self.service_sidecar.port()}"
        endpoint["services"] = ["frontdesk"]
        return [
            _document("service", "frontdesk", **service, schema=2),
            _document("endpoint", "frontdesk-1", **endpoint),
            self._team(["summaries", "frontdesk"]),
        ]

    def _team(self, services: list[str]) -> Document:
        return _document(
            "team",
            "kiosk",
            key_hash=hash_secret(TEAM_KEY.rpartition(".")[2]),
            services=services,
            requests_per_s=100,
            tokens_per_s=100000,
        )

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
            self._team(["summaries"]),
        ]


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder that vanishes with its scenario."""
    return tempfile.TemporaryDirectory(prefix="hawthornyard-")


def ran(daemon: Daemon) -> list[list[str]]:
    """Return what a stand-in says that it ran."""
    answer = json.loads(_get(daemon, "/ran"))
    return list(answer["ran"])


def n_accepting(gateway: Daemon) -> int:
    """Return the endpoints that a gateway hears and that take new work."""
    status = json.loads(_get(gateway, "/v1/status"))
    return sum(endpoint["accepting"] for endpoint in status["endpoints"])


def _get(daemon: Daemon, path: str) -> bytes:
    url = f"http://{LOOPBACK}:{daemon.port()}{path}"
    timeout = urllib3.Timeout(connect=2.0, read=5.0)
    with urllib3.PoolManager() as pool:
        return pool.request("GET", url, retries=False, timeout=timeout).data


def _document(kind: str, name: str, *, schema: int = 1, **spec: Any) -> Document:
    return {"kind": kind, "schema": schema, "name": name, "spec": spec}
