"""Steps that kill, freeze and resume real processes."""

import signal

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.processes import (
    TEAM_KEY,
    Daemon,
    count_accepting_endpoints,
    fetch_executed,
)
from hawthornyard.demo import Client, wait_until

BADGES = "/v1/services/frontdesk/badges"
KEY = {"Idempotency-Key": "visit-1"}
MAX_DETECTION_S = 5.0


@given("a caller that has read {n_read:d} tokens of a stream of {n_tokens:d}")
def read_some(context: Context, n_read: int, n_tokens: int) -> None:
    context.n_tokens = n_tokens
    context.events = []
    _open_stream(context, context.processes.gateway)
    _read_tokens(context, n_read)


@given("a caller whose badge issue runs")
def begin_badge_issue(context: Context) -> None:
    client = Client(context.processes.gateway_url(), TEAM_KEY)
    context.badge_issue = eventlet.spawn(_try_issue_badge, client)
    wait_until(lambda: len(fetch_executed(context.processes.service)) == 1)


@when('"{name}" is killed')
def kill(context: Context, name: str) -> None:
    _daemon(context, name).kill()


@when('"{name}" is frozen')
def freeze(context: Context, name: str) -> None:
    _daemon(context, name).process.send_signal(signal.SIGSTOP)


@when('"{name}" is resumed')
def resume(context: Context, name: str) -> None:
    _daemon(context, name).process.send_signal(signal.SIGCONT)


@when('"gateway" is started again')
def restart(context: Context) -> None:
    context.processes.gateway = context.processes.start("gateway", "gateway-again")
    wait_until(lambda: bool(context.processes.gateway.log_events("config_in_force")))


@when("the gateway closes the silent connection")
def wait_for_close(context: Context) -> None:
    gateway = context.processes.gateway
    wait_until(
        lambda: count_accepting_endpoints(gateway) == 1, timeout_s=MAX_DETECTION_S
    )


@when("the caller reconnects at the other gateway")
def reconnect(context: Context) -> None:
    _open_stream(context, context.processes.other_gateway)
    context.events.extend(context.stream)


@when("the caller reconnects at the other gateway and reads {n_read:d} more tokens")
def reconnect_and_read(context: Context, n_read: int) -> None:
    _open_stream(context, context.processes.other_gateway)
    _read_tokens(context, n_read)


@when("the caller reconnects at the first gateway")
def reconnect_first(context: Context) -> None:
    _open_stream(context, context.processes.gateway)
    context.events.extend(context.stream)


@when("the caller reads the rest of the stream")
def read_rest(context: Context) -> None:
    context.events.extend(context.stream)


@when("the caller sends the badge issue again at the other gateway")
def send_again(context: Context) -> None:
    port = context.processes.other_gateway.port()
    context.answer = _issue_badge(Client(f"http://127.0.0.1:{port}", TEAM_KEY))


@then("the caller has every token once and in order, from one generation")
def check_complete(context: Context) -> None:
    ids = [event.id.rsplit(":", 1) for event in context.events if event.id]
    assert [int(number) for _, number in ids] == list(range(1, len(ids) + 1)), ids
    assert len({generation for generation, _ in ids}) == 1, ids
    final = context.events[-2].body["choices"][0]
    assert final["finish_reason"] in ("stop", "length"), final
    assert context.events[-1].body == {}


@then('the stream ends with the error "{kind}" and the number of tokens delivered')
def check_lost(context: Context, kind: str) -> None:
    n_received = sum(bool(event.id) for event in context.events)
    error = context.events[-1].body["error"]
    assert error["type"] == kind, error
    assert error["n_delivered"] == n_received, (error, n_received)


@then("the engine has run {n_ran:d} generation")
def check_engine(context: Context, n_ran: int) -> None:
    assert len(fetch_executed(context.processes.engine)) == n_ran


@then("the service has run {n_ran:d} calls")
@then("the service has run {n_ran:d} call")
def check_service(context: Context, n_ran: int) -> None:
    assert len(fetch_executed(context.processes.service)) == n_ran


@then('a badge issue is refused as "{kind}", not run')
def check_refused(context: Context, kind: str) -> None:
    answer = _issue_badge(Client(context.processes.gateway_url(), TEAM_KEY))
    assert answer.headers["X-Error-Kind"] == kind, answer.data
    assert answer.headers["X-Request-Ran"] == "no"


@then('the second issue is answered with "{kind}" and may have run')
def check_second_answer(context: Context, kind: str) -> None:
    _check_unknown(context.answer, kind)


@then('the badge issue is answered with "{kind}" and may have run')
def check_first_answer(context: Context, kind: str) -> None:
    _check_unknown(context.badge_issue.wait(), kind)


def _check_unknown(answer: object, kind: str) -> None:
    assert answer is not None
    assert answer.headers["X-Error-Kind"] == kind, answer.data
    assert answer.headers["X-Request-Ran"] == "unknown"


def _daemon(context: Context, name: str) -> Daemon:
    return getattr(context.processes, name)


def _open_stream(context: Context, gateway: Daemon) -> None:
    headers = {}
    if context.events:
        headers["Last-Event-ID"] = context.events[-1].id
    client = Client(f"http://127.0.0.1:{gateway.port()}", TEAM_KEY)
    context.stream = client.stream(
        "Draft the minutes", max_tokens=context.n_tokens, headers=headers
    )


def _read_tokens(context: Context, n_read: int) -> None:
    for _ in range(n_read):
        context.events.append(next(context.stream))


def _issue_badge(client: Client) -> object:
    return client.request("POST", BADGES, {"guest": "A"}, headers=KEY)


def _try_issue_badge(client: Client) -> object | None:
    try:
        return _issue_badge(client)
    except Exception:
        # The gateway was killed before it answered.
        return None
