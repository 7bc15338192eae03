"""Steps that send requests to a deployment from end to end."""

from collections.abc import Callable

from behave import then, when
from behave.runner import Context

from hawthornyard.demo import Client

BADGES = "/v1/services/frontdesk/badges"
COMPLETIONS = "/v1/completions"


@when("a caller streams a completion of {n_tokens:d} tokens")
def stream(context: Context, n_tokens: int) -> None:
    events = context.client.stream("Minutes of the board", max_tokens=n_tokens)
    context.events = list(events)


@then("{n_tokens:d} tokens arrive, numbered from 1 without a gap")
def check_numbers(context: Context, n_tokens: int) -> None:
    numbers = [int(event.id.split(":")[2]) for event in context.events if event.id]
    assert numbers == list(range(1, n_tokens + 1)), numbers


@then("all tokens come from a single attempt")
def check_attempt(context: Context) -> None:
    attempts = {event.id.rsplit(":", 1)[0] for event in context.events if event.id}
    assert len(attempts) == 1, attempts


@then("the stream ends with a finish reason")
def check_finish(context: Context) -> None:
    final = context.events[-2].body
    assert final["choices"][0]["finish_reason"] in ("stop", "length"), final
    assert context.events[-1].body == {}


@when("a caller asks for a completion of {n_tokens:d} tokens")
def complete(context: Context, n_tokens: int) -> None:
    context.answers = [context.client.complete("Check", max_tokens=n_tokens)]


@then("the answer has status {status:d} and {n_tokens:d} tokens")
def check_completion(context: Context, status: int, n_tokens: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer.data
    assert answer.json()["usage"]["completion_tokens"] == n_tokens
    assert len(answer.json()["choices"][0]["text"].split()) == n_tokens


@when('a caller issues a badge twice with the key "{key}"')
def issue_twice(context: Context, key: str) -> None:
    headers = {"Idempotency-Key": key}
    context.answers = [
        context.client.request("POST", BADGES, {"guest": "A"}, headers=headers)
        for _ in range(2)
    ]


@then("both answers are the same")
def check_same(context: Context) -> None:
    first, second = context.answers
    assert first.status == second.status == 200, (first.data, second.data)
    assert first.data == second.data


@then("the plain services have run the call once")
def check_ran_once(context: Context) -> None:
    hosts = context.deployment.hosts.values()
    ran = [
        call for host in hosts if host.protocol == "http" for call in host.standin.ran
    ]
    assert len(ran) == 1, ran


@when("a caller sends {bad_input}")
def send_bad_input(context: Context, bad_input: str) -> None:
    context.answers = [_BAD_INPUTS[bad_input](context.client)]


@then("the error kind is {kind} with status {status:d} and ran {ran}")
def check_error(context: Context, kind: str, status: int, ran: str) -> None:
    (answer,) = context.answers
    assert answer.status == status, (answer.status, answer.data)
    assert answer.json()["error"]["type"] == kind, answer.data
    assert answer.headers["X-Error-Kind"] == kind
    assert answer.headers["X-Request-Ran"] == ran


@then("the gateway still serves")
def check_serves(context: Context) -> None:
    assert context.client.complete("Still there?", max_tokens=2).status == 200


def _completion(model: str = "scribe", prompt: str = "x") -> dict[str, object]:
    return {"model": model, "prompt": prompt, "max_tokens": 2}


def _with_wrong_key(client: Client) -> object:
    return Client(client.url, "hy.kiosk.wrong").complete("x")


_BAD_INPUTS: dict[str, Callable[[Client], object]] = {
    "malformed JSON": lambda client: client.send("POST", COMPLETIONS, b"{"),
    "an unknown model": lambda client: client.request(
        "POST", COMPLETIONS, _completion(model="nobody")
    ),
    "an unknown service": lambda client: client.request(
        "GET", "/v1/services/nobody/guests"
    ),
    "a wrong key": _with_wrong_key,
    "a bad deadline": lambda client: client.request(
        "POST", COMPLETIONS, _completion(), headers={"X-Request-Timeout": "soon"}
    ),
    "an oversized body": lambda client: client.request(
        "POST", COMPLETIONS, _completion(prompt="x" * (1 << 20))
    ),
}
