"""Steps for the callers' API, their connections and the headers they get."""

import gzip
import json
from collections.abc import Callable, Iterator
from typing import Any

import openai
from behave import then, when
from behave.runner import Context

from features.support.fakes import RawCaller
from hawthornyard.demo import Client
from hawthornyard.demo.client import Event
from hawthornyard.demo.deployment import wait_until

PROMPT = "Minutes of the board"
MESSAGES: Any = [{"role": "user", "content": PROMPT}]
CANCEL_TIMEOUT_S = 14.0


def _openai_client(context: Context, **options: Any) -> Any:
    settings = {"api_key": context.deployment.key, "max_retries": 0, "timeout": 10}
    url = context.deployment.url() + "/v1"
    return openai.OpenAI(base_url=url, **{**settings, **options})


@when("the openai client streams a chat of {n_tokens:d} tokens")
def stream_chat(context: Context, n_tokens: int) -> None:
    context.chunks = list(
        _openai_client(context).chat.completions.create(
            model="scribe",
            messages=MESSAGES,
            max_tokens=n_tokens,
            stream=True,
            stream_options={"include_usage": True},
        )
    )


@then("the first chunk carries the role and no other does")
def check_role_once(context: Context) -> None:
    roles = [item.choices[0].delta.role for item in context.chunks if item.choices]
    assert roles[0] == "assistant", roles
    assert not any(roles[1:]), roles


@then("the chunks hold {n_tokens:d} tokens and a finish reason")
def check_chunks(context: Context, n_tokens: int) -> None:
    choices = [item.choices[0] for item in context.chunks if item.choices]
    assert sum(bool(choice.delta.content) for choice in choices) == n_tokens
    assert choices[-1].finish_reason in ("stop", "length")


@then("the last chunk reports a usage of {n_tokens:d} output tokens")
def check_usage(context: Context, n_tokens: int) -> None:
    assert context.chunks[-1].usage.completion_tokens == n_tokens
    assert context.chunks[-1].choices == []


@when("the openai client asks for a chat and a completion of {n_tokens:d} tokens")
def request_whole_answers(context: Context, n_tokens: int) -> None:
    client = _openai_client(context)
    context.chat = client.chat.completions.create(
        model="scribe", messages=MESSAGES, max_completion_tokens=n_tokens
    )
    context.completion = client.completions.create(
        model="scribe", prompt=f"user: {PROMPT}", max_tokens=n_tokens
    )


@then("both have {n_tokens:d} tokens, their usage and the same text")
def check_whole_answers(context: Context, n_tokens: int) -> None:
    chat, completion = context.chat, context.completion
    assert chat.usage.completion_tokens == n_tokens
    assert chat.usage.prompt_tokens == completion.usage.prompt_tokens > 1
    assert chat.usage.total_tokens == chat.usage.prompt_tokens + n_tokens
    assert completion.usage.completion_tokens == n_tokens
    assert chat.choices[0].message.role == "assistant"
    assert chat.choices[0].message.content == completion.choices[0].text
    assert len(completion.choices[0].text.split()) == n_tokens


@when("the openai client lists the models")
def list_models(context: Context) -> None:
    context.models = [model.id for model in _openai_client(context).models.list()]


@then('it gets "{name}"')
def check_models(context: Context, name: str) -> None:
    assert context.models == [name], context.models


@when('the openai client makes the mistake "{mistake}"')
def make_mistake(context: Context, mistake: str) -> None:
    try:
        _MISTAKES[mistake](context)
    except openai.APIStatusError as exc:
        context.error = exc


_MISTAKES: dict[str, Callable[[Context], Any]] = {
    "a wrong key": lambda context: _openai_client(
        context, api_key="hy.kiosk.wrong"
    ).completions.create(model="scribe", prompt=PROMPT),
    "an unknown model": lambda context: _openai_client(context).completions.create(
        model="nobody", prompt=PROMPT
    ),
    "no tokens allowed": lambda context: _openai_client(context).completions.create(
        model="scribe", prompt=PROMPT, max_tokens=0
    ),
    "a list with no key": lambda context: _openai_client(
        context, api_key="hy.nobody.nothing"
    ).models.list(),
}


@then("it raises {exception} with the kind {kind}")
def check_exception(context: Context, exception: str, kind: str) -> None:
    assert type(context.error).__name__ == exception, context.error
    assert context.error.body["code"] == kind, context.error.body


@when('the kiosk sends {method} {path} with the request id "{request_id}"')
def send_with_id(context: Context, method: str, path: str, request_id: str) -> None:
    body = {"model": "scribe", "prompt": "x", "max_tokens": 2}
    context.answer = context.client.request(
        method,
        path,
        body if method == "POST" else None,
        headers={"X-Request-ID": request_id},
    )


@then('the answer has status {status:d} and the request id "{request_id}"')
def check_request_id(context: Context, status: int, request_id: str) -> None:
    assert context.answer.status == status, context.answer.data
    assert context.answer.headers.getlist("X-Request-ID") == [request_id]


def _read_events(stream: Iterator[Event], n_events: int) -> list[Event]:
    return [next(stream) for _ in range(n_events)]


def _resume_stream(client: Client, last: Event, n_tokens: int) -> list[Event]:
    headers = {"Last-Event-ID": last.id}
    return list(client.stream(PROMPT, max_tokens=n_tokens, headers=headers))


def _client_at(context: Context, where: str) -> Client:
    is_other = where.startswith("another")
    client: Client = context.other_client if is_other else context.client
    return client


@when(
    "a caller reads {n_read:d} events of a stream of {n_tokens:d} tokens"
    " and reconnects at {where}"
)
def reconnect(context: Context, n_read: int, n_tokens: int, where: str) -> None:
    stream = context.client.stream(PROMPT, max_tokens=n_tokens)
    events = _read_events(stream, n_read)
    if not where.endswith("open"):
        stream.close()  # type: ignore[attr-defined]
    events += _resume_stream(_client_at(context, where), events[-1], n_tokens)
    context.events = events


@then("it has {n_tokens:d} tokens, numbered from 1 without a gap, from one attempt")
@then("the owner has all {n_tokens:d} tokens, numbered from 1 without a gap")
def check_all_tokens(context: Context, n_tokens: int) -> None:
    ids = [event.id.rsplit(":", 1) for event in context.events if event.id]
    assert [int(number) for _, number in ids] == list(range(1, n_tokens + 1)), ids
    assert len({attempt for attempt, _ in ids}) == 1, ids
    assert context.events[-1].body == {}, context.events[-1].body


@when("another team tries to resume a stream of {n_tokens:d} tokens at {where}")
def resume_as_other_team(context: Context, n_tokens: int, where: str) -> None:
    stream = context.client.stream(PROMPT, max_tokens=n_tokens)
    events = _read_events(stream, 3)
    other_team_client = Client(_client_at(context, where).url, context.portal_key)
    context.answer = other_team_client.request(
        "POST",
        "/v1/completions",
        {"model": "scribe", "prompt": PROMPT, "stream": True},
        headers={"Last-Event-ID": events[0].id},
    )
    context.events = events + list(stream)


@then("it gets no token and the error kind {kind}")
@then("the kiosk gets the error kind {kind}")
def check_kind(context: Context, kind: str) -> None:
    assert context.answer.headers.get("X-Error-Kind") == kind, context.answer.data
    assert b'"text"' not in context.answer.data


@when("a caller tries to resume an unknown attempt")
def resume_unknown_attempt(context: Context) -> None:
    context.answer = context.client.request(
        "POST",
        "/v1/completions",
        {"model": "scribe", "prompt": PROMPT, "stream": True},
        headers={"Last-Event-ID": "scribe-1:0123456789abcdef01234567:3"},
    )


def _raw_request(context: Context, *, stream: bool) -> bytes:
    body = json.dumps({"model": "scribe", "prompt": PROMPT, "stream": stream}).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: gateway\r\n"
        f"Authorization: Bearer {context.deployment.key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@when("a caller disconnects {moment}")
def disconnect(context: Context, moment: str) -> None:
    caller = RawCaller(context.deployment.gateways[0].port)
    caller.send(
        _raw_request(context, stream=moment != "while it waits for a whole answer")
    )
    wait_until(lambda: bool(context.engine.ran))
    if moment != "while it waits for a whole answer":
        caller.read_until(b" t1")
    if moment.startswith("after"):
        caller.send(b"GET /healthz HTTP/1.1\r\nHost: gateway\r\n\r\n")
    caller.close()


@then("the gateway forgets the request")
def check_forgotten(context: Context) -> None:
    gateway = context.deployment.gateways[0]
    wait_until(lambda: len(gateway.inflight) == 0, timeout_s=5)


@then("the engine is told to cancel within the grace period")
def check_cancelled(context: Context) -> None:
    engine = context.engine
    wait_until(lambda: engine.cancelled == engine.ran, timeout_s=CANCEL_TIMEOUT_S)


@when("a raw caller writes two requests at once")
def send_two_requests(context: Context) -> None:
    caller = RawCaller(context.deployment.gateways[0].port)
    second = b"GET /healthz HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n"
    caller.send(_raw_request(context, stream=True) + second)
    context.raw = caller.read_until(b"ok\n")
    caller.close()


@then("both are answered in order on one connection")
def check_both_answered(context: Context) -> None:
    first, second = context.raw.split(b"data: [DONE]")
    assert b"finish_reason" in first
    assert b"200 OK" in second and second.endswith(b"ok\n"), second


def _request_service(context: Context, method: str, path: str) -> Any:
    path = "/v1/services/frontdesk" + path
    return context.client.request(method, path, {} if method == "PUT" else None)


@when('the kiosk gets "{path}" from the plain service')
def get_service(context: Context, path: str) -> None:
    context.answer = _request_service(context, "GET", path)


@when('the kiosk calls the plain service with {method} "{path}"')
def call_service(context: Context, method: str, path: str) -> None:
    url = f"{context.client.url}/v1/services/frontdesk{path}"
    import urllib3

    context.answer = urllib3.PoolManager().request(
        method,
        url,
        headers={"Authorization": f"Bearer {context.deployment.key}"},
        timeout=urllib3.Timeout(connect=2.0, read=10.0),
        retries=False,
        redirect=False,
        decode_content=False,
    )


@then("it gets the service's end-to-end headers and no hop-by-hop headers")
def check_headers(context: Context) -> None:
    headers = context.answer.headers
    assert context.answer.data == b"headers"
    assert headers.getlist("Set-Cookie") == ["a=1", "b=2"], headers
    assert headers["ETag"] == '"7"'
    for name in ("X-Private", "Keep-Alive", "X-Error-Kind"):
        assert name not in headers, name
    assert headers["X-Request-ID"] != "of the service"


@then("it gets status {status:d}, length {length} and the body {body}")
def check_body(context: Context, status: int, length: str, body: str) -> None:
    answer = context.answer
    assert answer.status == status, answer.data
    assert answer.headers.get("Content-Length", "none") == length, answer.headers
    expected = {"nothing": b"", "gzip": gzip.compress(b"compressed", mtime=0)}
    assert answer.data == expected.get(body, body.encode()), answer.data


@then('the plain service was asked for "{path}"')
def check_path(context: Context, path: str) -> None:
    assert context.answer.status == 200, context.answer.data
    assert context.odd_service.paths[-1] == path, context.odd_service.paths
