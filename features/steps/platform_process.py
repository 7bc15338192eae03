"""Steps that start and signal the process of a platform gateway."""

import signal
import time
from collections.abc import Callable
from pathlib import Path

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event

from features.support.processes import temporary_folder
from hawthornyard.front import HttpServer
from soak.deployment import DOMAINS
from soak.gateway import Gateway
from soak.loopback import LOOPBACK

START_TIMEOUT_S = 8.0
POLL_S = 0.002


def _new_gateway(context: Context) -> Gateway:
    folder = temporary_folder()
    context.add_cleanup(folder.cleanup)
    return Gateway(Path(folder.name), "gateway-1", DOMAINS[0], store_port=1)


@given("a gateway of the platform that has just been started")
def start_gateway(context: Context) -> None:
    context.gateway = _new_gateway(context)
    context.gateway.process.start()
    context.add_cleanup(context.gateway.process.kill)


@when("SIGHUP arrives before the gateway listens")
def send_sighup_early(context: Context) -> None:
    process = context.gateway.process
    _wait_until(lambda: process.has_handler(signal.SIGHUP))
    assert not _is_listening(context.gateway.port)
    process.signal(signal.SIGHUP)


@then("the gateway starts and reloads its settings")
def check_started(context: Context) -> None:
    process = context.gateway.process
    _wait_until(lambda: '"started"' in process.log_text() or not process.is_running)
    _wait_until(lambda: '"reloaded"' in process.log_text() or not process.is_running)
    assert process.is_running, process.log_text()


@given("a settings file whose port for callers is in use")
def take_port(context: Context) -> None:
    context.gateway = _new_gateway(context)
    context.listener = eventlet.listen(
        (LOOPBACK, context.gateway.port), reuse_port=False
    )


@when("a gateway of the platform is started with this file")
def start_on_taken_port(context: Context) -> None:
    context.gateway.process.start()
    context.add_cleanup(context.gateway.process.kill)
    process = context.gateway.process
    assert process.wait(START_TIMEOUT_S), process.log_text()


@then("the gateway exits with status 1 and prints one line that names the port")
def check_error_line(context: Context) -> None:
    process = context.gateway.process
    (line,) = process.log_text().splitlines()
    assert process.status == 1, process.status
    assert line.startswith("error: ") and str(context.gateway.port) in line, line


@given("a server with a call in progress")
def begin_call(context: Context) -> None:
    context.may_answer = Event()
    context.server = HttpServer((LOOPBACK, 0), _slow_app(context.may_answer))
    context.server.start()
    context.call = eventlet.connect((LOOPBACK, context.server.port))
    context.call.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    eventlet.sleep(0.05)


@when("the server stops listening and a new socket reuses the listener's descriptor")
def stop_listening(context: Context) -> None:
    context.sockets = []
    # Runs after the listener closes and before the server's green thread resumes.
    eventlet.spawn_n(_reuse_descriptors, context.sockets)
    context.server.close()
    eventlet.sleep(0.05)


@then("the call is answered and the server ends")
def check_answered(context: Context) -> None:
    context.may_answer.send()
    with eventlet.Timeout(START_TIMEOUT_S):
        assert b"200 OK" in context.call.recv(1000)
        context.server.wait()


def _reuse_descriptors(sockets: list[object]) -> None:
    sockets.extend(eventlet.listen((LOOPBACK, 0)) for _ in range(3))


def _slow_app(may_answer: Event) -> Callable[..., list[bytes]]:
    def app(environ: object, start: Callable[..., object]) -> list[bytes]:
        may_answer.wait()
        start("200 OK", [])
        return [b"done"]

    return app


def _is_listening(port: int) -> bool:
    try:
        eventlet.connect((LOOPBACK, port)).close()
    except OSError:
        return False
    return True


def _wait_until(is_true: Callable[[], bool]) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while not is_true():
        assert time.monotonic() < deadline
        eventlet.sleep(POLL_S)
