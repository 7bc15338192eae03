"""Steps for generated orders of events and for the loss of many engines."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.chaos import EVENTS, Chaos
from features.support.checker import check_all
from features.support.world import World

_EVENT = st.tuples(st.sampled_from(sorted(EVENTS)), st.integers(0, 11))


@when("{n_orders:d} generated orders of up to {n_events:d} events are run")
def run_orders(context: Context, n_orders: int, n_events: int) -> None:
    context.n_driven = 0

    @settings(max_examples=n_orders, derandomize=True, database=None, deadline=None)
    @for_all(st.lists(_EVENT, min_size=n_events // 2, max_size=n_events))
    def drive(events: list[tuple[str, int]]) -> None:
        chaos = Chaos()
        for event, index in events:
            chaos.apply(event, index)
        chaos.recover()
        check_all(chaos.world.history)
        context.n_driven += 1

    drive()


@then("every promise held in all {n_orders:d} orders")
def check_orders(context: Context, n_orders: int) -> None:
    assert context.n_driven >= n_orders, context.n_driven


@given("a gateway that has served {n_requests:d} requests a second for a minute")
def serve_for_a_minute(context: Context, n_requests: int) -> None:
    context.world = World(n_gateways=1, n_engines=3, concurrency_limit=8)
    context.rate = n_requests
    _send_for_a_minute(context)


@when("a third of the engines dies at once and callers keep sending for a minute")
def kill_third_of_engines(context: Context) -> None:
    world = context.world
    engines = [name for name in world.endpoints if name.startswith("engine")]
    for name in engines[: len(engines) // 3]:
        world.endpoints[name].kill()
        world.kill(world.sidecars[name])
    context.n_before = len(world.history.callers)
    context.n_dispatched_before = world.n_dispatched
    _send_for_a_minute(context)


@then("each request was dispatched at most {ratio:f} times on average")
def check_ratio(context: Context, ratio: float) -> None:
    world = context.world
    n_requests = len(world.history.callers) - context.n_before
    n_dispatched = world.n_dispatched - context.n_dispatched_before
    assert n_dispatched <= ratio * n_requests, (n_dispatched, n_requests)
    check_all(world.history)


def _send_for_a_minute(context: Context) -> None:
    world = context.world
    for _ in range(60):
        for _ in range(context.rate):
            world.generate("gateway-1", f"r-{len(world.history.callers)}")
        world.settle(1)
