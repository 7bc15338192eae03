"""Steps on gateways that roll out a service together."""

from behave import given, then, when
from behave.runner import Context

from features.support.edge import TICK_S
from features.support.rollout_fleet import BOUNDS, SERVICE, RolloutFleet
from hawthornyard.core import Decision, Message
from hawthornyard.edge.messages import (
    CopyRequested,
    RolloutOrderRead,
    RolloutRead,
)
from hawthornyard.frames import RolloutShare
from hawthornyard.rollout import Phase, RolloutOrder, RolloutState

DURATION_S = 12.0
WARM_UP_S = 2.5


@given("a service of two versions behind {n:d} gateways")
def start(context: Context, n: int) -> None:
    context.fleet = RolloutFleet(n)


@given("the new version fails {errors:g} of its responses")
@when("the new version fails {errors:g} of its responses from now on")
def set_errors(context: Context, errors: float) -> None:
    context.fleet.errors["v2"] = errors


@when("callers send requests for {seconds:g} seconds")
def send(context: Context, seconds: float) -> None:
    context.fleet.run(seconds)


@when("the operator orders the new version")
def order_new(context: Context) -> None:
    # The gateways hear of each other before the order.
    context.fleet.run(WARM_UP_S, per_tick=0)
    context.ordered_at = context.fleet.now
    context.fleet.give_order()


@when("the operator orders {to} for {duration:g} seconds")
def order_other(context: Context, to: str, duration: float) -> None:
    context.fleet.run(WARM_UP_S, per_tick=0)
    context.ordered_at = context.fleet.now
    context.fleet.give_order(to, duration)


@when("the operator withdraws the order")
def withdraw(context: Context) -> None:
    _push_to_all(context.fleet, RolloutOrderRead(f"rollout/{SERVICE}", None))


def _push_to_all(fleet: RolloutFleet, msg: Message) -> None:
    for gateway in fleet.gateways:
        gateway.push(msg)


def _is_over(fleet: RolloutFleet) -> bool:
    state = fleet.state()
    return state is not None and state.phase.is_final


def _is_moving(fleet: RolloutFleet) -> bool:
    state = fleet.state()
    return state is not None and state.phase is Phase.MOVE


@when("callers send requests until it is over")
def send_until_over(context: Context) -> None:
    fleet = context.fleet
    fleet.run_until(lambda: _is_over(fleet), DURATION_S)


@when("callers send requests until the state is {state}")
def send_until_state(context: Context, state: str) -> None:
    fleet = context.fleet
    fleet.run_until(lambda: fleet.state().phase is Phase(state), DURATION_S)


@when("{n:d} attempts at a new endpoint break, and it {fate}")
def break_attempts(context: Context, n: int, fate: str) -> None:
    context.fleet.break_at_new(n, is_gone=fate == "is gone")


@when("callers send requests until the traffic moves")
def send_until_move(context: Context) -> None:
    fleet = context.fleet
    fleet.run_until(lambda: _is_moving(fleet), DURATION_S)


@when("requests at old endpoints go on")
def keep_old_busy(context: Context) -> None:
    context.fleet.holds_old = True


@then("it is {state} within its duration and its bounds")
def check_end(context: Context, state: str) -> None:
    fleet = context.fleet
    assert fleet.state().phase is Phase(state), fleet.state()
    assert fleet.now - context.ordered_at <= DURATION_S, fleet.now
    if state != "rolled_back":
        return
    n_all = sum(at >= context.ordered_at for at, _, _ in fleet.sent)
    n_new = fleet.n_sent("v2", context.ordered_at)
    assert n_new <= BOUNDS.share * n_all + BOUNDS.slack, (n_new, n_all)
    if len(fleet.bad_at) >= 50:
        late = fleet.bad_at[49] + BOUNDS.rollback_s
        assert not fleet.n_sent("v2", late), fleet.n_sent("v2", late)


@then("the operator saw {shown}")
def check_shown(context: Context, shown: str) -> None:
    assert context.fleet.published == shown.split(", "), context.fleet.published


@when("the holder stops for {seconds:g} seconds")
def freeze_holder(context: Context, seconds: float) -> None:
    fleet = context.fleet
    holder = fleet.holder()
    fleet.frozen = {holder}
    context.first_holder = f"gateway-{holder}"
    fleet.run_until(
        lambda: _is_over(fleet) or fleet.now > context.ordered_at + seconds,
        DURATION_S,
    )
    if seconds < DURATION_S:
        fleet.frozen = set()
        fleet.run(TICK_S)


@then("nobody but the last holder wrote after it took the lease")
def check_holders(context: Context) -> None:
    state = context.fleet.state()
    if state.holder == context.first_holder:
        # It came back before its lease was taken, or took it anew.
        return
    assert state.number >= 2, state
    for refused in context.fleet.refused:
        assert refused.number <= state.number, refused


@when("the store is silent and callers send requests for {seconds:g} seconds")
def be_silent(context: Context, seconds: float) -> None:
    fleet = context.fleet
    fleet.is_silent = True
    context.state_before = fleet.state()
    context.n_new_before = fleet.n_sent("v2")
    context.n_all_before = len(fleet.sent)
    fleet.run(seconds)


@then("the new version got no larger share than before")
def check_share(context: Context) -> None:
    fleet = context.fleet
    assert fleet.state() == context.state_before
    n_new = fleet.n_sent("v2") - context.n_new_before
    n_all = len(fleet.sent) - context.n_all_before
    # The slack may be used in any step.
    assert n_new <= BOUNDS.share * n_all + BOUNDS.slack / 2, (n_new, n_all)


@when("the store is back")
def be_back(context: Context) -> None:
    context.fleet.is_silent = False


@then("the new version gets nothing from now on for {seconds:g} seconds")
def check_stopped(context: Context, seconds: float) -> None:
    fleet = context.fleet
    fleet.run(0.2)
    since = fleet.now
    fleet.run(seconds)
    assert not fleet.n_sent("v2", since + TICK_S / 2), fleet.n_sent("v2", since)


@then("the old version gets requests again")
def check_old_back(context: Context) -> None:
    fleet = context.fleet
    since = fleet.now
    fleet.run(0.5)
    assert fleet.n_sent("v1", since) > 50, fleet.n_sent("v1", since)


@when("responses to writes are lost for {seconds:g} seconds")
def lose_responses(context: Context, seconds: float) -> None:
    fleet = context.fleet
    fleet.loses_responses = True
    fleet.run(seconds)
    fleet.loses_responses = False


@when("the store performs the late writes")
def perform_late(context: Context) -> None:
    fleet = context.fleet
    assert fleet.late, "no write was lost"
    context.late_versions = [fleet.perform(write) for write in fleet.late]


@then("all late writes were refused")
def check_late(context: Context) -> None:
    assert not any(context.late_versions), context.late_versions


@when("the store is silent and gateway {index:d} restarts, cut off from the others")
def restart_cut_off(context: Context, index: int) -> None:
    fleet = context.fleet
    fleet.is_silent = True
    fleet.cut_off = {index}
    fleet.restart(index)
    context.restarted_at = fleet.now


@when("gateway {index:d} restarts")
def restart(context: Context, index: int) -> None:
    context.fleet.restart(index)


@then("gateway {index:d} sent nothing to the new version since it restarted")
def check_restarted(context: Context, index: int) -> None:
    fleet = context.fleet
    since = context.restarted_at + TICK_S / 2
    assert fleet.n_sent("v1", since, by=index), "it sent nothing at all"
    assert not fleet.n_sent("v2", since, by=index)


@when("a gateway that does not hold the lease is cut off for {seconds:g} seconds")
def cut_off(context: Context, seconds: float) -> None:
    fleet = context.fleet
    context.index = (fleet.holder() + 1) % len(fleet.gateways)
    fleet.cut_off = {context.index}
    fleet.run(seconds)


@then("it sent nothing to the new version in the last {seconds:g} seconds")
def check_cut_off(context: Context, seconds: float) -> None:
    fleet = context.fleet
    since = fleet.now - seconds
    assert fleet.n_sent("v1", since, by=context.index)
    assert not fleet.n_sent("v2", since, by=context.index)


@when("the store keeps a copy")
def keep_copy(context: Context) -> None:
    context.copy = context.fleet.rows[SERVICE]


@when("the store comes back from {copy}")
def restore(context: Context, copy: str) -> None:
    context.fleet.restore(context.copy if copy == "that copy" else None)


@then("the store has {state} again and no gateway has left it")
def check_restored(context: Context, state: str) -> None:
    fleet = context.fleet
    assert fleet.state() is not None and fleet.state().phase is Phase(state)
    check_kept(context, state)
    if state == "rolled_back":
        check_stopped(context, 1.0)


@then("no gateway has left {state}")
def check_kept(context: Context, state: str) -> None:
    for gateway in context.fleet.gateways:
        rollout = gateway.state.rollouts.get(SERVICE)
        assert rollout.phase is Phase(state), rollout.state


@when("a frame of a later holder tells of the test phase")
def push_late_frame(context: Context) -> None:
    fleet = context.fleet
    frame = RolloutShare("gateway-1", SERVICE, "v2", fleet.order.revision, 9, "test", 2)
    for gateway in fleet.gateways:
        gateway.push(frame)


@then('the log has {name} with "{text}"')
def check_log(context: Context, name: str, text: str) -> None:
    found = [
        msg
        for gateway in context.fleet.gateways
        for msg in gateway.messages_of(Decision)
        if msg.name == name and text in msg.reason
    ]
    assert found, name


@then("{version} got no rollout after {seconds:g} seconds")
def check_no_second(context: Context, version: str, seconds: float) -> None:
    context.fleet.run(seconds)
    assert context.fleet.state().to != version


@then("the store has no rollout and both versions got requests")
def check_unchanged(context: Context) -> None:
    assert context.fleet.state() is None
    assert min(context.fleet.n_sent("v1"), context.fleet.n_sent("v2")) > 100


@then("both versions got requests and the store got no call for rollouts")
def check_mixed(context: Context) -> None:
    fleet = context.fleet
    assert min(fleet.n_sent("v1"), fleet.n_sent("v2")) > 50
    assert not fleet.n_calls


@when("the traffic of its service moves to the version of engine-c")
def move_streams(context: Context) -> None:
    edge = context.edge
    edge.state.rollouts.bounds = BOUNDS
    dispatch = edge.dispatches("call-1")[0]
    context.source = dispatch.endpoint
    edge.add_endpoint("engine-c", version="v2")
    edge.push(RolloutOrderRead("rollout/scribe", RolloutOrder("scribe", "v2", 12.0, 3)))
    state = RolloutState(
        "scribe", "v2", 3, 12.0, 0.0, number=1, holder="x", phase=Phase.MOVE
    ).replaced(until_ms=5000.0)
    edge.push(RolloutRead("scribe", state, 4, edge.clock.now(), 1000.0))
    edge.advance(0.2)


@then("a copy of its run is requested from its engine")
def check_copy(context: Context) -> None:
    copies = context.edge.messages_of(CopyRequested)
    assert copies and copies[0].source_name == context.source, copies
