"""Steps that call the stand-ins of the users' platform."""

import re

import eventlet
import urllib3
from behave import given, then, when
from behave.runner import Context

from features.support.platform_standins import STEP_S, TABLE
from hawthornyard.platform.endpoint import decode_report
from hawthornyard.platform.names import NOT_RUN_HEADER
from hawthornyard.platform.store import FIRST_ERA

_NUMBER = re.compile(rb"id: (\d+)\n")
_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, OSError)


def _names(text: str) -> list[str]:
    return text.replace(" and ", ", ").split(", ")


@given("a stand-in store with the rows {names}")
def add_rows(context: Context, names: str) -> None:
    for name in _names(names):
        context.standins.store.put(TABLE, name, b"1")


@given("a stand-in store with {n:d} rows in no order")
def add_many_rows(context: Context, n: int) -> None:
    for number in range(n):
        context.standins.store.put(TABLE, f"row-{number}", b"1")


@when("the table is read")
def read_table(context: Context) -> None:
    n_calls = context.standins.store.n_calls
    context.rows = context.standins.client.read(TABLE).rows
    context.n_calls = context.standins.store.n_calls - n_calls


@when("row {name} is removed during a long poll for changes")
def remove_while_waiting(context: Context, name: str) -> None:
    standins = context.standins
    version = standins.store.version
    eventlet.spawn_after(0.1, standins.store.remove, TABLE, name)
    context.changes = standins.client.read_changes(TABLE, version, 5.0)


@when("row {name} is removed on the condition of an earlier version")
def remove_conditionally(context: Context, name: str) -> None:
    context.standins.client.remove(TABLE, name, 1, FIRST_ERA)


@when("the store discards its history of changes")
def discard_history(context: Context) -> None:
    context.standins.store.forget_history()


@then("the rows are {names}")
def check_rows(context: Context, names: str) -> None:
    rows = context.standins.client.read(TABLE).rows
    assert [row.key for row in rows] == _names(names), rows


@then("all {n:d} rows are there in order, after {n_calls:d} calls")
def check_all_rows(context: Context, n: int, n_calls: int) -> None:
    keys = [row.key for row in context.rows]
    assert keys == sorted(set(keys)) and len(keys) == n, keys
    assert context.n_calls == n_calls, context.n_calls


@then("the changes report only the removal of {name}")
def check_changes(context: Context, name: str) -> None:
    (row,) = context.changes.rows
    assert (row.key, row.value) == (name, None), row


@then("the changes since the start are no longer available")
def check_no_changes(context: Context) -> None:
    assert context.standins.client.read_changes(TABLE, 1, 1.0) is None


@given("the stand-in engines {names}")
def add_engines(context: Context, names: str) -> None:
    for name in _names(names):
        context.standins.add_engine(name)


@when("a stream of {n:d} events is begun at {name}")
def begin_stand_in_stream(context: Context, n: int, name: str) -> None:
    context.n_events = n
    context.stream = context.standins.start_stream(name, n)


@when("a stream of {n:d} events, mirrored at {mirror}, is begun at {name}")
def begin_mirrored(context: Context, n: int, mirror: str, name: str) -> None:
    context.n_events = n
    context.mirror = mirror
    context.stream = context.standins.start_stream(name, n, mirror=mirror)


@when("its run is copied to {target} and stopped after some events")
def copy_run(context: Context, target: str) -> None:
    eventlet.sleep(8 * STEP_S)
    context.copy = context.standins.copy("engine-a", target)
    context.copied_to = target


@when("the copy is used")
def use_copy(context: Context) -> None:
    resp = _resume(context)
    assert resp.status == 200, resp.status
    resp.read()


@then("its stream is cut off before its last event")
def check_cut(context: Context) -> None:
    context.received = b""
    try:
        for data in context.stream.stream(1000):
            context.received += data
    except _CONNECTION_ERRORS:
        return
    raise AssertionError(f"the stream was not cut off: {context.received!r}")


@then("the stream resumes at {name} with the next event and runs to event {n:d}")
def check_resumed(context: Context, name: str, n: int) -> None:
    before = [int(number) for number in _NUMBER.findall(context.received)]
    after = [int(number) for number in _NUMBER.findall(_resume(context).read())]
    assert before and after, (before, after)
    assert before + after == list(range(1, n + 1)), (before, after)


@then("the copy is refused as not run")
def check_copy_refused(context: Context) -> None:
    resp = _resume(context)
    assert resp.status == 503 and resp.headers.get(NOT_RUN_HEADER), resp.status


@then("the mirror can resume the stream after event {last:d}")
def check_mirror(context: Context, last: int) -> None:
    eventlet.sleep((last + 8) * STEP_S)
    resp = context.standins.start_stream(
        context.mirror, context.n_events, handle="r-1", last_event=last
    )
    numbers = [int(number) for number in _NUMBER.findall(resp.read())]
    assert numbers == list(range(last + 1, context.n_events + 1)), numbers


@when("the mode of {name} is set to {mode}")
def set_mode(context: Context, name: str, mode: str) -> None:
    context.standins.set_behaviour(name, mode=mode)


@when("the engine {name} is told to leave")
def set_leaving(context: Context, name: str) -> None:
    context.standins.set_behaviour(name, leaves_ms=1500)
    context.leaving_engine = name


@then("a plain request to engine-a ends with {end}")
def check_plain(context: Context, end: str) -> None:
    try:
        resp = context.standins.call("POST", "engine-a", "/badge/1")
    except _CONNECTION_ERRORS:
        assert end == "no answer", end
        return
    state = f"{resp.status}{', not run' if resp.headers.get(NOT_RUN_HEADER) else ''}"
    assert state == end, state


@then("its report says that it is leaving")
def check_report(context: Context) -> None:
    report = decode_report(
        context.leaving_engine, context.standins.report(context.leaving_engine)
    )
    assert report.is_leaving


def _resume(context: Context) -> object:
    return context.standins.start_stream(
        context.copied_to,
        context.n_events,
        handle=context.copy["handle"],
        last_event=context.copy["created_rev"],
    )
