"""Steps on requests that wait for capacity, and on errors of filters."""

from collections.abc import Iterator
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.edge import EdgeDriver
from hawthornyard.core import Handlers, ManualClock, Message, Pipeline, Tick
from hawthornyard.edge.messages import Dequeued, Dispatch
from hawthornyard.errors import HawthornyardError
from hawthornyard.frames import Generation
from hawthornyard.gateway.inflight import InFlight
from hawthornyard.gateway.messages import Request
from hawthornyard.policy import FairQueue
from hawthornyard.records import GENERATION, Service, Team

CLOCK_STEP_S = 0.001


class Number(Message):
    """A message that carries a number."""

    __slots__ = ("value",)

    def __init__(self, value: int) -> None:
        self.value = value


class Stage:
    """A filter with one handler for one type of message."""

    __slots__ = ("handlers",)

    def __init__(self, cls: type[Message], handler: Any) -> None:
        self.handlers: Handlers = {cls: handler}


class Recorder:
    """A sink that records messages of some types."""

    __slots__ = ("consumers", "messages")

    def __init__(self, *types: type[Message]) -> None:
        self.messages: list[Message] = []
        self.consumers = dict.fromkeys(types, self.messages.append)


@given("a queue of {n:d} items")
def queue_items(context: Context, n: int) -> None:
    context.queue = FairQueue[str](ManualClock())
    context.items = [f"item-{index}" for index in range(n)]
    for item in context.items:
        context.queue.push(item, "kiosk")


@when("a condition discards the first at once and the others if asked again")
def discard_items(context: Context) -> None:
    checked: list[str] = []

    def is_over(item: str) -> bool:
        checked.append(item)
        return item == context.items[0] or checked.count(item) > 1

    context.removed = context.queue.discard(is_over)


@then("each item is either removed or still queued")
def check_items(context: Context) -> None:
    assert sorted([*context.removed, *context.queue]) == context.items


@given("an engine of one slot that runs a summary")
def add_full_engine(context: Context) -> None:
    context.edge.push_deployment()
    context.edge.add_endpoint("engine-a", n_slots=1)
    context.edge.call("summary")


@given(
    "{n:d} summaries that wait for it while each reading of the clock takes {ms:g} ms"
)
def queue_summaries(context: Context, n: int, ms: float) -> None:
    for _ in range(n):
        context.edge.call("summary")
    context.edge.clock.step_s = ms / 1000


@then("each summary was sent once")
def check_sent_once(context: Context) -> None:
    sent = [msg.call.call_id for msg in context.edge.messages_of(Dispatch)]
    expected = [f"call-{index}" for index in range(1, context.edge.n_calls + 1)]
    assert sorted(sent) == sorted(expected), sent


@when("the same request is routed again")
def route_again(context: Context) -> None:
    drive: EdgeDriver = context.edge
    request = drive.state.inflight.by_call(context.call_id)
    context.first_attempt = request.attempt.attempt_id
    context.error = _error_of(lambda: drive.push(Dequeued(request)))


@then("the chain reports the first attempt")
@then("the error names the first attempt")
def check_error(context: Context) -> None:
    assert context.first_attempt in str(context.error), context.error


@given("a gateway request that has an attempt")
def begin_gateway_attempt(context: Context) -> None:
    context.request = Request(
        "c-1",
        "r-1",
        Generation("scribe", "x", 10),
        Team("kiosk", ""),
        Service("summaries", GENERATION),
        idempotent=True,
        deadline=1e9,
    )
    context.inflight = InFlight()
    context.inflight.add(context.request)
    context.first_attempt = "a-1"
    context.inflight.begin_attempt(context.request, context.first_attempt)


@when("a second attempt of it begins")
def begin_second_attempt(context: Context) -> None:
    context.error = _error_of(
        lambda: context.inflight.begin_attempt(context.request, "a-2")
    )


@given(
    "a chain of a filter that fails, one that fails after passing on, and a recorder"
)
def build_failing_chain(context: Context) -> None:
    context.recorder = Recorder(Tick)
    context.pipeline = Pipeline(
        [Stage(Tick, _fail), Stage(Tick, _pass_on_and_fail)], [context.recorder]
    )


@given("a chain of a filter that emits {n:d} numbers and one that fails at the first")
def build_chain_of_numbers(context: Context, n: int) -> None:
    context.recorder = Recorder()
    seen = context.recorder.messages

    def emit(msg: Tick) -> Iterator[Message]:
        yield from (Number(value) for value in range(n))

    def record(msg: Number) -> Iterator[Message]:
        seen.append(msg)
        if not msg.value:
            raise ValueError("the first number")
        yield from ()

    context.pipeline = Pipeline([Stage(Tick, emit), Stage(Number, record)], [])


@when("a tick enters the chain")
def push_tick(context: Context) -> None:
    context.error = _error_of(lambda: context.pipeline.push(Tick(1.0)))


@then("the recorder gets the tick once")
def check_one_tick(context: Context) -> None:
    assert context.recorder.messages == [Tick(1.0)], context.recorder.messages


@then("both errors are raised")
def check_both_errors(context: Context) -> None:
    assert isinstance(context.error, ExceptionGroup), context.error
    texts = [str(exc) for exc in context.error.exceptions]
    assert texts == ["before", "after"], texts


@then("the last filter gets all {n:d} numbers")
def check_numbers(context: Context, n: int) -> None:
    numbers = [msg.value for msg in context.recorder.messages]
    assert numbers == list(range(n)), numbers


def _error_of(action: Any) -> Exception | None:
    try:
        action()
    except (HawthornyardError, ValueError, ExceptionGroup) as exc:
        return exc
    return None


def _fail(msg: Tick) -> Iterator[Message]:
    raise ValueError("before")
    yield msg


def _pass_on_and_fail(msg: Tick) -> Iterator[Message]:
    yield msg
    raise ValueError("after")
