"""Steps for the stand-in engine."""

import json
import random
from collections.abc import Iterator
from typing import Any

import eventlet
import urllib3
from behave import given, then, when
from behave.runner import Context

from hawthornyard.core import ManualClock
from hawthornyard.front import HttpServer
from hawthornyard.standins import EngineModel, EngineProfile, EngineStandIn, Sequence

MAX_STEPS = 2000
PROMPT = "Minutes of the board"
TIMEOUT = urllib3.Timeout(connect=2.0, read=10.0)


@given("an engine with {n:d} tokens of memory")
def make_engine(context: Context, n: int) -> None:
    context.clock = ManualClock()
    profile = EngineProfile(
        sequence_s=0.001, memory_tokens=n, event_loss_ratio=0.2, cache_tokens=500
    )
    context.model = EngineModel(
        profile, clock=context.clock, random_source=random.Random(3)
    )


@given("an engine that has turned cold")
def make_cold_engine(context: Context) -> None:
    profile = EngineProfile(sequence_s=0.0001, warm_up_s=10.0, max_batch=16)
    context.model = EngineModel(profile, clock=ManualClock())
    context.model.make_warm()
    context.model.make_cold()


@when("{n:d} generation runs, and then {m:d} in all")
@when("{n:d} generations run there, and then {m:d} in all")
def run_batches(context: Context, n: int, m: int) -> None:
    context.seconds = []
    for n_more in (n, m - n):
        for index in range(n_more):
            context.model.add(Sequence(f"{n_more}-{index}", 50, n_prompt=4))
        context.seconds.append(context.model.step().duration_s)


@then("the second step takes longer than the first")
def check_longer(context: Context) -> None:
    assert context.seconds[1] > context.seconds[0], context.seconds


@then("the second step takes at least five times as long as the first")
def check_five_times_longer(context: Context) -> None:
    assert context.seconds[1] >= 5 * context.seconds[0], context.seconds


@when(
    'generations "first" of priority 3, "urgent" of priority 9 and "last" of '
    "priority 3 run until one is preempted"
)
def run_until_preempted(context: Context) -> None:
    context.sequences = {
        "first": Sequence("first", 40, n_prompt=10, priority=3),
        "urgent": Sequence("urgent", 40, n_prompt=10, priority=9),
        "last": Sequence("last", 40, n_prompt=10, priority=3),
    }
    for sequence in context.sequences.values():
        context.model.add(sequence)
    for _ in range(MAX_STEPS):
        context.preempted = context.model.step().preempted
        if context.preempted:
            return


@then('"{name}" was preempted')
def check_preempted(context: Context, name: str) -> None:
    assert [sequence.id for sequence in context.preempted] == [name]


@then("all three end with all their tokens")
def check_all_end(context: Context) -> None:
    for _ in range(MAX_STEPS):
        if context.model.is_idle:
            break
        context.model.step()
    assert [seq.n_done for seq in context.sequences.values()] == [40, 40, 40]


@when("{n:d} generation begins and {seconds:g} seconds pass")
def begin_and_pass(context: Context, n: int, seconds: float) -> None:
    context.model.load()
    for index in range(n):
        context.model.add(Sequence(f"s-{index}", 200, n_prompt=4))
    _advance(context, seconds)


@when("{seconds:g} seconds pass")
def pass_time(context: Context, seconds: float) -> None:
    _advance(context, seconds)


@then("the load report shows {n:d} running")
def check_load(context: Context, n: int) -> None:
    assert context.model.load().n_running == n, context.model.load()


@when("prompts with {n:d} prefixes run")
def run_prefixes(context: Context, n: int) -> None:
    for index in range(n):
        sequence = Sequence(
            f"p-{index}", 1, n_prompt=20, prefix=f"prefix-{index}", n_prefix=16
        )
        context.model.add(sequence)
        context.model.step()


@then("no cache event is published at once")
def check_no_cache_event(context: Context) -> None:
    assert context.model.events_after(0) == []


@then("cache events are published, numbered upwards with gaps")
def check_cache_events(context: Context) -> None:
    numbers = [event.number for event in context.model.events_after(0)]
    assert numbers == sorted(set(numbers))
    assert len(numbers) < numbers[-1], numbers


@given("a stand-in engine over HTTP")
def start_http_engine(context: Context) -> None:
    standin = EngineStandIn(EngineModel(step_s=0.005))
    thread = eventlet.spawn(standin.run)
    server = HttpServer(("127.0.0.1", 0), standin.app)
    server.start()
    context.add_cleanup(thread.kill)
    context.add_cleanup(server.close)
    context.url = f"http://127.0.0.1:{server.port}"
    context.pool = urllib3.PoolManager()


@when("a stream of {n:d} tokens is cut after {m:d} and resumed from there")
def cut_and_resume(context: Context, n: int, m: int) -> None:
    first = _generate(context, n)
    events = _events(first)
    context.tokens = [next(events)["token"] for _ in range(m)]
    first.close()
    path = f"/v1/resume?id=attempt-1&offset={m}"
    rest = list(_events(_request(context, "GET", path)))
    context.tokens += [event["token"] for event in rest if "token" in event]
    context.last = rest[-1]


@then("the {n:d} tokens arrive, each once and in order")
def check_tokens(context: Context, n: int) -> None:
    whole = list(_events(_request(context, "GET", "/v1/resume?id=attempt-1&offset=0")))
    assert context.tokens == [event["token"] for event in whole if "token" in event]
    assert len(context.tokens) == n
    assert context.last["finish_reason"]


@when("a stream of {n:d} tokens is cancelled after {m:d}")
def cancel(context: Context, n: int, m: int) -> None:
    events = _events(_generate(context, n))
    context.rest = [next(events) for _ in range(m)]
    _request(context, "POST", "/v1/cancel", {"id": "attempt-1"}).read()
    context.rest += list(events)


@then("it ends without a finish reason")
def check_no_reason(context: Context) -> None:
    assert all("finish_reason" not in event for event in context.rest)
    assert len(context.rest) < 20


def _advance(context: Context, seconds: float) -> None:
    for _ in range(round(seconds / 0.1)):
        context.clock.advance(0.1)
        context.model.step()


def _generate(context: Context, n_tokens: int) -> urllib3.BaseHTTPResponse:
    body = {
        "id": "attempt-1",
        "request_id": "request-1",
        "model": "scribe",
        "prompt": PROMPT,
        "max_tokens": n_tokens,
    }
    return _request(context, "POST", "/v1/generate", body)


def _request(
    context: Context, method: str, path: str, body: dict[str, Any] | None = None
) -> urllib3.BaseHTTPResponse:
    return context.pool.request(
        method,
        context.url + path,
        body=json.dumps(body).encode() if body else None,
        timeout=TIMEOUT,
        retries=False,
        redirect=False,
        preload_content=False,
    )


def _events(resp: urllib3.BaseHTTPResponse) -> Iterator[dict[str, Any]]:
    buffer = b""
    for chunk in resp.stream(None):
        buffer += chunk
        *blocks, buffer = buffer.split(b"\n\n")
        for block in blocks:
            yield json.loads(block[6:])
