"""Deployments of real processes for scenarios."""

import json
import os
import secrets
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3
import yaml

from hawthornyard.demo.deployment import LOOPBACK, wait_until
from hawthornyard.io import ReservedPort
from hawthornyard.operator import apply_documents
from hawthornyard.records import Document, hash_secret
from hawthornyard.stores import HttpTableStore

ROOT = Path(__file__).resolve().parents[2]
PEER_KEY = secrets.token_hex(16)
TEAM_KEY = "hy.kiosk.secret-of-the-kiosk"
EXIT_TIMEOUT_S = 20.0


class Daemon:
    """A process of the command line that logs to a file.

    Attributes:
        log: Path of the file that receives its standard error.
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

    def log_text(self) -> str:
        return self.log.read_text()

    def log_lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.log_text().splitlines()]

    def log_events(self, name: str) -> list[dict[str, Any]]:
        return [line for line in self.log_lines() if line["event"] == name]

    def port(self) -> int:
        """Wait until the process logs its start and return its port."""
        wait_until(lambda: "started" in self.log_text() or not self.is_running())
        (line,) = self.log_events("started")
        return int(line["port"])

    def is_running(self) -> bool:
        return self.process.poll() is None

    def wait(self) -> int:
        """Wait until the process exits and return its exit code."""
        wait_until(lambda: not self.is_running(), timeout_s=EXIT_TIMEOUT_S)
        return int(self.process.returncode)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


class Processes:
    """A table service, an engine, its sidecar and a gateway, each a process.

    `start_extended` adds a plain service, its sidecar and a second gateway.

    Attributes:
        engine: The stand-in engine.
        gateway: The gateway.
        other_gateway: The second gateway.
        service: The stand-in plain service.
        service_sidecar: The sidecar of the plain service.
        table: The stand-in table service.
        sidecar: The sidecar.
        settings: Paths of settings files by name of the program or process.
    """

    __slots__ = (
        "_daemons",
        "_folder",
        "_ports",
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
        self._ports: list[ReservedPort] = []
        self.settings: dict[str, Path] = {}

    def start_all(self, *, step_s: float = 0.02) -> None:
        """Start the basic deployment and wait until it has its configuration.

        Args:
            step_s: Duration of a step of the engine, in seconds.
        """
        self.table = self._run("table", "standin", "table", "--listen", self._address())
        self.engine = self._run(
            "engine",
            "standin",
            "engine",
            "--listen",
            self._address(),
            "--step-s",
            str(step_s),
        )
        self._table_url = f"http://{LOOPBACK}:{self.table.port()}"
        self.sidecar = self._start_sidecar(self.engine.port())
        self.gateway = self._start_gateway()
        apply_documents(HttpTableStore(self._table_url), self._documents())
        wait_until(lambda: bool(self.gateway.log_events("config_in_force")))
        wait_until(lambda: bool(self.sidecar.log_events("config_in_force")))

    def start_extended(self, *, delay_s: float = 1.0) -> None:
        """Start the deployment, a slow plain service and a second gateway.

        Args:
            delay_s: Response time of the plain service, in seconds.
        """
        self.start_all()
        self.service = self._run(
            "service",
            "standin",
            "service",
            "--listen",
            self._address(),
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
        apply_documents(HttpTableStore(self._table_url), self._extended_documents())
        for gateway in (self.gateway, self.other_gateway):
            wait_until(lambda gateway=gateway: count_accepting_endpoints(gateway) == 2)

    def gateway_url(self) -> str:
        return f"http://{LOOPBACK}:{self.gateway.port()}"

    def kill(self) -> None:
        """Kill all processes that were started and give back their ports."""
        for daemon in self._daemons:
            daemon.kill()
        for port in self._ports:
            port.close()

    def start(self, program: str, name: str, *, key: str = PEER_KEY) -> Daemon:
        """Start a program with the settings file of `name`, else of the program."""
        path = str(self.settings.get(name, self.settings[program]))
        return self._run(name, program, "--config", path, key=key)

    def _address(self) -> str:
        # Stays reserved after a process is killed: no process of another test may get
        # the calls of those that still know its address.
        self._ports.append(ReservedPort(LOOPBACK))
        return self._ports[-1].address

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
            metrics=f"{LOOPBACK}:0",
        )
        return self.start("sidecar", "sidecar")

    def _start_gateway(self) -> Daemon:
        self._write("gateway", name="gateway-1", table=self._table_url)
        return self.start("gateway", "gateway")

    def _write(self, file: str, **fields: str) -> None:
        document = {
            "program": file,
            "failure_domain": "new-kingston",
            "listen": self._address(),
            **fields,
        }
        path = self._folder / f"{file}.yaml"
        path.write_text(yaml.safe_dump(document))
        self.settings[file] = path

    def _extended_documents(self) -> list[Document]:
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
    """Return a context manager for a temporary folder."""
    return tempfile.TemporaryDirectory(prefix="hawthornyard-")


def fetch_executed(daemon: Daemon) -> list[list[str]]:
    """Return the requests that a stand-in reports as executed."""
    answer = json.loads(_get(daemon, "/ran"))
    return list(answer["ran"])


def count_accepting_endpoints(gateway: Daemon) -> int:
    """Return the number of endpoints that accept work, as a gateway reports."""
    status = json.loads(_get(gateway, "/v1/status"))
    return sum(endpoint["accepting"] for endpoint in status["endpoints"])


def _get(daemon: Daemon, path: str) -> bytes:
    url = f"http://{LOOPBACK}:{daemon.port()}{path}"
    timeout = urllib3.Timeout(connect=2.0, read=5.0)
    with urllib3.PoolManager() as pool:
        return pool.request("GET", url, retries=False, timeout=timeout).data


def _document(kind: str, name: str, *, schema: int = 1, **spec: Any) -> Document:
    return {"kind": kind, "schema": schema, "name": name, "spec": spec}
