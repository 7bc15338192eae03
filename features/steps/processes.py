"""Steps that run the gateway and the sidecar as separate processes."""

import json
import signal

import openai
from behave import then, when
from behave.runner import Context

from features.support.processes import PEER_KEY, TEAM_KEY
from hawthornyard.demo import Client

REQUEST_ID = "kiosk-4711"


@when("the openai client streams through the processes")
def stream(context: Context) -> None:
    client = openai.OpenAI(
        base_url=context.processes.gateway_url() + "/v1",
        api_key=TEAM_KEY,
        timeout=10,
        default_headers={"X-Request-ID": REQUEST_ID},
    )
    context.chunks = list(
        client.chat.completions.create(
            model="scribe",
            messages=[{"role": "user", "content": "A visitor"}],
            max_tokens=12,
            stream=True,
        )
    )


@then("the openai client gets {n_tokens:d} tokens and a finish reason")
def check_tokens(context: Context, n_tokens: int) -> None:
    choices = [chunk.choices[0] for chunk in context.chunks]
    assert sum(bool(choice.delta.content) for choice in choices) == n_tokens
    assert choices[-1].finish_reason == "length"


@then("the gateway's log contains the route of the request")
def check_route(context: Context) -> None:
    (line,) = context.processes.gateway.log_events("route")
    assert line["request_id"] == REQUEST_ID
    assert line["candidates"] == ["scribe-1"]
    assert len(line["scores"]) == 1
    assert line["reason"] and line["endpoint"] == "scribe-1"


@then("the sidecar's log contains the admission of the request")
def check_admission(context: Context) -> None:
    (line,) = context.processes.sidecar.log_events("admit")
    assert line["request_id"] == REQUEST_ID
    assert line["reason"]


@then("every log line is JSON and none holds a secret")
def check_log(context: Context) -> None:
    for daemon in (context.processes.gateway, context.processes.sidecar):
        for line in daemon.log_text().splitlines():
            assert {"time", "level", "event"} <= set(json.loads(line)), line
            assert PEER_KEY not in line, line
            assert TEAM_KEY.rpartition(".")[2] not in line, line


@when("a second {program} is started with the settings of the first")
def start_second(context: Context, program: str) -> None:
    processes = context.processes
    context.address_port = getattr(processes, program).port()
    context.daemon = processes.start(program, f"second-{program}")


@then("it exits with code {code:d} and names the address")
def check_address(context: Context, code: int) -> None:
    assert context.daemon.wait() == code
    text = context.daemon.log_text()
    assert f"127.0.0.1:{context.address_port}" in text, text
    assert "in use" in text and "Traceback" not in text, text


@when("a gateway is started without the shared secret")
def start_without_secret(context: Context) -> None:
    context.daemon = context.processes.start("gateway", "keyless", key="")


@then("it exits with code {code:d} and names the variable")
def check_variable(context: Context, code: int) -> None:
    assert context.daemon.wait() == code
    assert "HAWTHORNYARD_PEER_KEY" in context.daemon.log_text()


@then("the first still serves")
def check_first(context: Context) -> None:
    client = Client(context.processes.gateway_url(), TEAM_KEY)
    assert client.complete("Still there?", max_tokens=3).status == 200


@when("the gateway and the sidecar are told to stop during a stream")
def stop_during_stream(context: Context) -> None:
    client = Client(context.processes.gateway_url(), TEAM_KEY)
    stream = client.stream("Draft the minutes", max_tokens=60)
    context.events = [next(stream)]
    for daemon in (context.processes.gateway, context.processes.sidecar):
        daemon.process.send_signal(signal.SIGTERM)
    context.events.extend(stream)


@then("the stream is whole")
def check_complete(context: Context) -> None:
    numbers = [int(event.id.split(":")[2]) for event in context.events if event.id]
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    final = context.events[-2].body["choices"][0]
    assert final["finish_reason"] in ("stop", "length"), final
    assert context.events[-1].body == {}


@then("both processes exit with code {code:d}")
def check_exit(context: Context, code: int) -> None:
    for daemon in (context.processes.gateway, context.processes.sidecar):
        assert daemon.wait() == code, daemon.log_text()
