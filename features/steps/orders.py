"""Steps that check the orders of a sidecar to its endpoint."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_by

from features.ordering import ForgetfulEngine, OrderWorld
from features.planning import plan_entry
from hawthornyard.demo.deployment import wait_until
from hawthornyard.io.plan_rows import PLAN_KEY, decode_plan, encode_plan
from hawthornyard.planner import Plan
from hawthornyard.sidecar.orders import Order, SendOrder
from hawthornyard.standins import OrderModel, WeightModel
from hawthornyard.stores import Condition, Put

MAX_DELIVERIES = 10
ENGINE_MODELS = ("scribe", "radgjafi")


@given("a sidecar beside an endpoint that {checking} the fencing number")
def make_sidecar(context: Context, checking: str) -> None:
    context.orders = OrderWorld(OrderModel(checks_fencing=checking == "checks"))


@given("a sidecar beside an endpoint that accepts orders and forgets them")
def make_forgetful_endpoint(context: Context) -> None:
    context.orders = OrderWorld(ForgetfulEngine())


@given("a sidecar beside an endpoint whose weights take {seconds:g} seconds")
def make_slow_endpoint(context: Context, seconds: float) -> None:
    world = context.orders = OrderWorld(OrderModel())
    weights = WeightModel(world.clock, bytes_per_s=1000)
    weights.sizes["v1"] = int(1000 * seconds)
    world.engine = OrderModel(weights)


@given("the endpoint has reached plan {number:d} with model {model}")
def reach_plan(context: Context, number: int, model: str) -> None:
    context.orders.push_plan(number, model)
    context.orders.settle()
    assert context.orders.engine.state().models == [model]


@when("plan {number:d} with model {model} is pushed")
def push_plan(context: Context, number: int, model: str) -> None:
    context.orders.push_plan(number, model)


def _deliver_until_order(world):
    for _ in range(MAX_DELIVERIES):
        if world.pending and isinstance(world.pending[0], SendOrder):
            return
        world.deliver()
    raise AssertionError("the sidecar sent no order among its first messages")


@when("no fault occurs")
def fault_none(context: Context) -> None:
    context.orders.deliver()


@when("the query for the state is not answered")
def fault_no_state(context: Context) -> None:
    context.orders.deliver(reaches_endpoint=False)


@when("the order never arrives")
def fault_lost_order(context: Context) -> None:
    _deliver_until_order(context.orders)
    context.orders.deliver(reaches_endpoint=False)


@when("the order takes effect and its reply is lost")
def fault_lost_reply(context: Context) -> None:
    _deliver_until_order(context.orders)
    context.orders.deliver(is_answered=False)


@when("the sidecar restarts before the order")
def fault_restart_before(context: Context) -> None:
    _deliver_until_order(context.orders)
    context.orders.start()
    context.orders.push_plan(20, "radgjafi")


@when("the sidecar restarts after the order")
def fault_restart_after(context: Context) -> None:
    _deliver_until_order(context.orders)
    context.orders.deliver(is_answered=False)
    context.orders.start()
    context.orders.push_plan(20, "radgjafi")


@when("the sidecar restarts")
def restart(context: Context) -> None:
    context.orders.start()


@when("an older plan {number:d} is pushed late")
def fault_old_push(context: Context, number: int) -> None:
    context.orders.push_plan(number, "vision")
    _deliver_until_order(context.orders)
    context.orders.push_plan(number, "vision")


@when("an order {number:d} of another sender arrives late")
def fault_other_sender(context: Context, number: int) -> None:
    context.orders.settle()
    context.accepted = context.orders.order_directly(number, "vision")


@then("the endpoint refused the order")
def check_refused(context: Context) -> None:
    assert context.accepted is False


@when("{seconds:g} seconds pass without faults")
def run_without_faults(context: Context, seconds: float) -> None:
    context.orders.settle(seconds)


@then("the endpoint holds {model} by order {number:d}")
def check_holds(context: Context, model: str, number: int) -> None:
    state = context.orders.engine.state()
    assert (state.models, state.fencing_number) == ([model], number), state


@then("the gateway was told that the endpoint holds {reported}")
def check_reported(context: Context, reported: str) -> None:
    models = [] if reported == "nothing" else [reported]
    assert context.orders.said[-1].models == models, context.orders.said


@then("no order had a lower number than one already acted on")
def check_no_lower_order(context: Context) -> None:
    assert not context.orders.violations, context.orders.violations


@then("the endpoint got {n_orders:d} order")
def check_n_orders(context: Context, n_orders: int) -> None:
    assert len(context.orders.engine.orders) == n_orders


@then("the endpoint got from {at_least:d} to {at_most:d} orders")
def check_orders_between(context: Context, at_least: int, at_most: int) -> None:
    assert at_least <= len(context.orders.engine.orders) <= at_most


@then("the endpoint's state was queried at most {at_most:d} times")
def check_n_queries(context: Context, at_most: int) -> None:
    assert context.orders.n_state_queries <= at_most, context.orders.n_state_queries


_NUMBERS = strategies.integers(1, 9)
_EVENTS = {
    "push": lambda world, number: world.push_plan(number, f"m-{number}"),
    "push late": lambda world, number: world.push_plan(number, f"m-{number}"),
    "tick": lambda world, number: world.tick(number / 4),
    "deliver": lambda world, number: world.deliver(),
    "deliver again": lambda world, number: world.deliver(),
    "lose": lambda world, number: world.deliver(reaches_endpoint=False),
    "lose reply": lambda world, number: world.deliver(is_answered=False),
    "other hand": lambda world, number: world.order_directly(number, "vision"),
    "load": lambda world, number: world.engine.advance(),
    "restart": lambda world, number: world.start(),
}


@when("{n_histories:d} seeded histories of {n_events:d} events are played to a sidecar")
def run_histories(context: Context, n_histories: int, n_events: int) -> None:
    context.failures = []
    events = strategies.tuples(strategies.sampled_from(sorted(_EVENTS)), _NUMBERS)
    histories = strategies.lists(events, min_size=n_events, max_size=n_events)

    # Hypothesis seeds its random choices from the source text of `history`.
    @settings(
        max_examples=n_histories,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_by(strategies.booleans(), histories)
    def history(checks, steps):
        world = OrderWorld(OrderModel(checks_fencing=checks))
        for name, number in steps:
            _EVENTS[name](world, number)
        world.push_plan(10, "m-10")
        world.settle(5.0)
        assert not world.violations, world.violations
        state = world.engine.state()
        assert (state.models, state.fencing_number) == (["m-10"], 10), state
        assert world.said[-1].models == ["m-10"], world.said
        _check_monotonic(world, checks)

    try:
        history()
    except AssertionError as exc:
        context.failures.append(exc)


def _check_monotonic(world, checks):
    accepted = [
        order.fencing_number
        for order, is_accepted in world.engine.orders
        if is_accepted
    ]
    assert not checks or accepted == sorted(accepted), accepted


def _engines(context):
    hosts = context.deployment.hosts.values()
    return {
        host.name: host.standin.orders
        for host in hosts
        if host.protocol == "generation"
    }


def _plan(context):
    row = context.deployment.table.table.read(PLAN_KEY)
    return decode_plan(row) if row else Plan(0, {})


def _engines_follow_plan(context):
    plan = _plan(context)
    engines = _engines(context)
    return set(plan.entries) == set(engines) and all(
        sorted(engine.model.loaded) == sorted(plan.entries[name].models)
        and engine.model.target == plan.entries[name]
        for name, engine in engines.items()
    )


def _gateways_know_models(context):
    engines = _engines(context)
    return all(
        sorted(gateway.fleet.loaded_models.models_of(name))
        == sorted(engine.model.loaded)
        for gateway in context.deployment.gateways
        for name, engine in engines.items()
    )


@then("within {seconds:g} seconds each engine holds one of the two models")
def check_each_holds(context: Context, seconds: float) -> None:
    wait_until(lambda: _engines_follow_plan(context), timeout_s=seconds)
    held = [list(engine.model.loaded) for engine in _engines(context).values()]
    assert all(len(models) == 1 for models in held), held
    assert {models[0] for models in held} == set(ENGINE_MODELS), held


@given("each engine holds one of the two models")
def wait_for_plan(context: Context) -> None:
    check_each_holds(context, 30.0)
    wait_until(lambda: _gateways_know_models(context))


@then("requests for either model are answered by an engine that holds it")
def check_requests(context: Context) -> None:
    wait_until(lambda: _gateways_know_models(context))
    for model in ENGINE_MODELS:
        engines = _engines(context)
        before = {name: _n_ran(context, name) for name in engines}
        for index in range(6):
            body = {"model": model, "prompt": f"p{index}", "max_tokens": 2}
            answer = context.client.request("POST", "/v1/completions", body)
            assert answer.status == 200, answer.data
        for name, engine in engines.items():
            if model not in engine.model.loaded:
                assert _n_ran(context, name) == before[name], (model, name)


def _n_ran(context, name):
    return len(context.deployment.hosts[name].standin.ran)


@when("the table is down for longer than the lease")
def table_down(context: Context) -> None:
    context.deployment.table.faults.is_down = True
    gateways = context.deployment.gateways
    wait_until(
        lambda: not any(gateway.planner_state.holds_lease for gateway in gateways)
    )


@when("another sender sends every engine an outdated order")
def order_by_other_sender(context: Context) -> None:
    for engine in _engines(context).values():
        engine.model.apply_order(Order(1, plan_entry("vision")))


@then(
    "within {seconds:g} seconds each engine that ignores the number"
    " follows the plan again"
)
def check_follows_again(context: Context, seconds: float) -> None:
    wait_until(lambda: _engines_follow_plan(context), timeout_s=seconds)
    context.deployment.table.faults.is_down = False


@when(
    "a new plan is written and at the engine that {checking} the number"
    " the reply to the order is lost"
)
def write_plan_lose_reply(context: Context, checking: str) -> None:
    name = context.engine_names[checking]
    _engines(context)[name].lose_replies = 1
    _swap_models(context)


@when(
    "a new plan is written and at the engine that {checking} the number"
    " the sidecar is replaced"
)
def write_plan_replace(context: Context, checking: str) -> None:
    name = context.engine_names[checking]
    _swap_models(context)
    context.replace_sidecar(name)


def _swap_models(context):
    table = context.deployment.table.table
    plan = _plan(context)
    first, second = plan.entries.values()
    context.swapped = Plan(0, dict(zip(plan.entries, (second, first), strict=True)))
    put = Put(PLAN_KEY, encode_plan(context.swapped))
    table.transact([Condition(PLAN_KEY, plan.revision)], [put])


@then("within {seconds:g} seconds every engine follows the new plan")
def check_new_plan(context: Context, seconds: float) -> None:
    assert _plan(context).entries == context.swapped.entries
    wait_until(lambda: _engines_follow_plan(context), timeout_s=seconds)


@then("no engine received an order with a lower number than the one before")
def check_order_numbers(context: Context) -> None:
    for engine in _engines(context).values():
        numbers = [order.fencing_number for order, is_accepted in engine.model.orders]
        assert numbers == sorted(numbers), numbers
