"""Steps about ports that are chosen before a server listens on them."""

import contextlib
import io
import json
import socket
import subprocess
import sys

import eventlet
from behave import given, then, when
from behave.runner import Context

from hawthornyard.demo import Deployment
from hawthornyard.demo.deployment import LOOPBACK, wait_until
from hawthornyard.front import HttpServer

_LISTEN = """
import socket, sys
sock = socket.socket()
sock.bind((sys.argv[1], int(sys.argv[2])))
sock.listen()
"""
SETTLE_S = 0.2


@given("a deployment whose gateways have not been started")
def make_deployment(context: Context) -> None:
    context.deployment = Deployment()


@when('another process tries to listen on the address for peers of "{name}"')
def take_peer_address(context: Context, name: str) -> None:
    _listen_elsewhere(context, context.deployment.peer_address(name))


@then("that process is told that the address is in use")
def check_address_in_use(context: Context) -> None:
    assert "Address already in use" in context.stranger.stderr, context.stranger


@then('"{name}" can be started')
def check_started(context: Context, name: str) -> None:
    assert context.deployment.add_gateway(name, "half-way-tree").port


@when("its process is killed")
def kill_process(context: Context) -> None:
    context.gateway.process.kill()


@when("another process tries to listen on its address for callers")
def take_caller_address(context: Context) -> None:
    _listen_elsewhere(context, f"{LOOPBACK}:{context.gateway.port}")


@then("the gateway's process starts again")
def check_restarted(context: Context) -> None:
    process = context.gateway.process
    process.start()
    wait_until(lambda: '"started"' in process.log_text() or not process.is_running)
    assert process.is_running, process.log_text()


@given("a gateway of the platform whose port for peers is 0")
def use_any_port(context: Context) -> None:
    assert context.world.gateway.port


@then("the address that it publishes to the others is the one that it listens on")
def check_published_address(context: Context) -> None:
    rows = context.world.store.rows
    wait_until(lambda: any(table == "gateways" for table, _ in rows))
    (value,) = (row for (table, _), (row, _) in rows.items() if table == "gateways")
    host, _, port = json.loads(value)["address"].partition(":")
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
        contextlib.suppress(OSError),
    ):
        sock.bind((host, int(port)))
        raise AssertionError(f"nothing receives on {host}:{port}")


@given("a server of the HTTP stand-ins")
def start_server(context: Context) -> None:
    context.server = HttpServer((LOOPBACK, 0), lambda environ, start: [])
    context.server.start()


@when("a connection sends the bytes of a peer's greeting")
def send_greeting(context: Context) -> None:
    with contextlib.redirect_stderr(io.StringIO()) as context.stderr:
        sock = eventlet.connect((LOOPBACK, context.server.port))
        sock.sendall(b"\x00\x00\x00\x2a\x84\xa4kind\xa5hello\r\n\r\n")
        eventlet.sleep(SETTLE_S)
        sock.close()


@then("nothing is written to the standard error")
def check_stderr(context: Context) -> None:
    assert context.stderr.getvalue() == "", context.stderr.getvalue()


def _listen_elsewhere(context: Context, address: str) -> None:
    context.stranger = subprocess.run(
        [sys.executable, "-c", _LISTEN, *address.split(":")],
        capture_output=True,
        text=True,
    )
