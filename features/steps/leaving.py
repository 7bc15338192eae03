"""Steps for endpoints that leave while the store's answers are late or lost."""

import random
import time

from behave import given, then, when
from behave.runner import Context

from features.support.scripted import UnreachableEndpoint
from features.support.wait_recording_store import WaitRecordingStore
from hawthornyard.edge.messages import EndpointsRead, StoreAnswered, StoreFailed
from hawthornyard.errors import PlatformError
from hawthornyard.io import EventletInbox, MonotonicClock
from hawthornyard.platform.feeds import endpoint_feed
from hawthornyard.platform.store import PlatformStore

FEED = "endpoints"
NEXT_INCARNATION = 8


@given(
    "a feed of endpoints that must know of changes {seconds:g} seconds after a "
    "disturbance"
)
def add_endpoint_feed(context: Context, seconds: float) -> None:
    store = WaitRecordingStore()
    context.stores = [store]
    context.feeds = [
        endpoint_feed(
            store,
            EventletInbox(),
            MonotonicClock(),
            random.Random(1),
            contact_s=seconds,
            pause_s=lambda: 0.0,
        )
    ]


@when("a call of the endpoints feed fails after {seconds:g} seconds")
def fail_call(context: Context, seconds: float) -> None:
    sent_at = context.edge.clock.now()
    context.edge.advance(seconds)
    context.edge.push(StoreFailed(FEED, "no answer", sent_at))


@when("the endpoints feed is answered")
def answer_feed(context: Context) -> None:
    context.edge.push(StoreAnswered(FEED, context.edge.clock.now()))


@when("the store answers without the entry of {name}")
def answer_without_entry(context: Context, name: str) -> None:
    context.edge.push(EndpointsRead([], [name]))
    answer_feed(context)


@when("an older entry of {name} says that it is ready")
@when("the entry of {name} is back")
def push_ready_entry(context: Context, name: str) -> None:
    context.edge.add_endpoint(name)


@when("{name} starts again under its name")
def start_again(context: Context, name: str) -> None:
    context.edge.add_endpoint(name, born=NEXT_INCARNATION)


@then("{name} gets no new work")
def check_not_eligible(context: Context, name: str) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    assert not context.edge.state.eligibility.accepts(endpoint)


@then("each of its calls ends within {seconds:g} seconds")
def check_call_times(context: Context, seconds: float) -> None:
    longest_s = context.stores[0].longest_s
    assert max(longest_s) <= seconds, longest_s


@given("a store that accepts no connection")
def add_unreachable_store(context: Context) -> None:
    context.store = UnreachableEndpoint()
    context.add_cleanup(context.store.close)


@when("its endpoints are read")
def read_endpoints(context: Context) -> None:
    started_at = time.monotonic()
    try:
        PlatformStore(context.store.address).read("servers")
    except PlatformError:
        context.seconds = time.monotonic() - started_at


@then("the read fails within {seconds:g} seconds")
def check_read_time(context: Context, seconds: float) -> None:
    assert context.seconds <= seconds, context.seconds
