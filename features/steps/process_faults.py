"""Steps that kill, freeze and wake real processes."""

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
SUSPECT_BOUND_S = 5.0


@given("a caller that has read {n_read:d} tokens of a stream of {n_tokens:d}")
def read_some(context: Context, n_read: int, n_tokens: int) -> None:
    context.n_tokens = n_tokens
    context.events = []
    _open(context, context.processes.gateway)
    _read(context, n_read)


@given("a caller whose badge issue runs")
def begin_badge(context: Context) -> None:
    client = Client(context.processes.gateway_url(), TEAM_KEY)
    context.badge = eventlet.spawn(_try_badge, client)
    wait_until(lambda: len(fetch_executed(context.processes.service)) == 1)


@when('"{name}" is killed')
def kill(context: Context, name: str) -> None:
    _daemon(context, name).kill()


@when('"{name}" is frozen')
def freeze(context: Context, name: str) -> None:
    _daemon(context, name).process.send_signal(signal.SIGSTOP)


@when('"{name}" is woken')
def wake(context: Context, name: str) -> None:
    _daemon(context, name).process.send_signal(signal.SIGCONT)


@when('"gateway" is started again')
def restart(context: Context) -> None:
    context.processes.gateway = context.processes.start("gateway", "gateway-again")
    wait_until(lambda: bool(context.processes.gateway.log_events("config_in_force")))


@when("the gateway gives the silent connection up")
def wait_given_up(context: Context) -> None:
    gateway = context.processes.gateway
    wait_until(
        lambda: count_accepting_endpoints(gateway) == 1, timeout_s=SUSPECT_BOUND_S
    )


@when("the caller comes back at the other gateway")
def come_back(context: Context) -> None:
    _open(context, context.processes.other_gateway)
    context.events.extend(context.stream)


@when("the caller comes back at the other gateway and reads {n_read:d} tokens more")
def come_back_for(context: Context, n_read: int) -> None:
    _open(context, context.processes.other_gateway)
    _read(context, n_read)


@when("the caller comes back at the first gateway")
def come_back_first(context: Context) -> None:
    _open(context, context.processes.gateway)
    context.events.extend(context.stream)


@when("the caller reads on")
def read_on(context: Context) -> None:
    context.events.extend(context.stream)


@when("the caller sends the badge issue again at the other gateway")
def send_again(context: Context) -> None:
    port = context.processes.other_gateway.port()
    context.answer = _badge(Client(f"http://127.0.0.1:{port}", TEAM_KEY))


@then("it has every token once and in order, from one generation")
def check_whole(context: Context) -> None:
    ids = [event.id.rsplit(":", 1) for event in context.events if event.id]
    assert [int(number) for _, number in ids] == list(range(1, len(ids) + 1)), ids
    assert len({generation for generation, _ in ids}) == 1, ids
    final = context.events[-2].body["choices"][0]
    assert final["finish_reason"] in ("stop", "length"), final
    assert context.events[-1].body == {}


@then('its stream ends with the error "{kind}" and tells what it got')
def check_lost(context: Context, kind: str) -> None:
    n_got = sum(bool(event.id) for event in context.events)
    error = context.events[-1].body["error"]
    assert error["type"] == kind, error
    assert error["n_delivered"] == n_got, (error, n_got)


@then("the engine has run {n_ran:d} generation")
def check_engine(context: Context, n_ran: int) -> None:
    assert len(fetch_executed(context.processes.engine)) == n_ran


@then("the service has run {n_ran:d} calls")
@then("the service has run {n_ran:d} call")
def check_service(context: Context, n_ran: int) -> None:
    assert len(fetch_executed(context.processes.service)) == n_ran


@then('a badge issue is refused as "{kind}", not run')
def check_refused(context: Context, kind: str) -> None:
    answer = _badge(Client(context.processes.gateway_url(), TEAM_KEY))
    assert answer.headers["X-Error-Kind"] == kind, answer.data
    assert answer.headers["X-Request-Ran"] == "no"


@then('it is told "{kind}", and not that it was not run')
def check_told(context: Context, kind: str) -> None:
    _check_unknown(context.answer, kind)


@then('the caller is told "{kind}", and not that it was not run')
def check_caller_told(context: Context, kind: str) -> None:
    _check_unknown(context.badge.wait(), kind)


def _check_unknown(answer: object, kind: str) -> None:
    assert answer is not None
    assert answer.headers["X-Error-Kind"] == kind, answer.data
    assert answer.headers["X-Request-Ran"] == "unknown"


def _daemon(context: Context, name: str) -> Daemon:
    return getattr(context.processes, name)


def _open(context: Context, gateway: Daemon) -> None:
    headers = {}
    if context.events:
        headers["Last-Event-ID"] = context.events[-1].id
    client = Client(f"http://127.0.0.1:{gateway.port()}", TEAM_KEY)
    context.stream = client.stream(
        "Draft the minutes", max_tokens=context.n_tokens, headers=headers
    )


def _read(context: Context, n_read: int) -> None:
    for _ in range(n_read):
        context.events.append(next(context.stream))


def _badge(client: Client) -> object:
    return client.request("POST", BADGES, {"guest": "A"}, headers=KEY)


def _try_badge(client: Client) -> object | None:
    try:
        return _badge(client)
    except Exception:
        # Its gateway was killed; the caller got no answer at all.
        return None
