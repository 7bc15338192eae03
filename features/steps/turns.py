"""Steps on the order in which costly work is done."""

from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from hawthornyard.net import Turn, TurnQueue, Turns, Workload


@given("a queue that grants {n_units:d} units in a pass")
def create_queue(context: Context, n_units: int) -> None:
    context.queue = TurnQueue(n_units)
    context.workloads = {}
    context.turns = {}
    context.granted = []


@given('"{name}" has caused {n_units:d} units')
def set_workload(context: Context, name: str, n_units: int) -> None:
    _workload(context, name).n_units = n_units


@when('"{name}" asks to go on after {n_units:d} units')
def ask(context: Context, name: str, n_units: int) -> None:
    turn = Turn(_workload(context, name), n_units)
    context.turns[name] = turn
    if context.queue.ask(turn):
        context.granted.append(name)


@when("a pass begins")
def begin_pass(context: Context) -> None:
    names = {workload: name for name, workload in context.workloads.items()}
    granted = context.queue.begin_pass()
    context.granted.extend(names[turn.workload] for turn in granted)


@when('"{name}" leaves')
def leave(context: Context, name: str) -> None:
    context.turns[name].is_waiting = False


@then('"{names}" have been granted')
def check_granted(context: Context, names: str) -> None:
    assert context.granted == names.split(", "), context.granted


@then("the queue is idle")
def check_idle(context: Context) -> None:
    assert context.queue.is_idle


@then("the queue is not idle")
def check_not_idle(context: Context) -> None:
    assert not context.queue.is_idle


@given("green threads that take turns of {n_units:d} units")
def create_turns(context: Context, n_units: int) -> None:
    context.turns = Turns(n_units)


@given("a thread that waits behind {n_units:d} units")
def start_waiting(context: Context, n_units: int) -> None:
    context.turns.pay(Workload(), n_units)
    context.workload = Workload()
    context.thread = eventlet.spawn(_wait, context.turns, context.workload)
    eventlet.sleep(0)
    assert context.turns.is_waiting(context.workload)


@when("it is ended by its cancellation")
def cancel(context: Context) -> None:
    context.turns.cancel(context.workload)


@when("it is ended by a timeout")
def time_out(context: Context) -> None:
    context.thread.kill(eventlet.Timeout(None))


@then("it has ended before its turn came")
def check_ended(context: Context) -> None:
    # 1,000 passes would have to make up for the work before it.
    for _ in range(3):
        eventlet.sleep(0)
    assert context.thread.dead
    assert not context.turns.is_waiting(context.workload)
    assert context.workload.n_units == 0


def _wait(turns: Turns, workload: Workload) -> None:
    try:
        turns.pay(workload, 1)
    except eventlet.Timeout:
        return


def _workload(context: Context, name: str) -> Any:
    return context.workloads.setdefault(name, Workload())
