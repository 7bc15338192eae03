"""Steps on the final copies of streams that have neither length nor chunks."""

from pathlib import Path

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.processes import temporary_folder
from features.support.undelimited import (
    CLOSE_DELAY_S,
    LAST_CHUNK,
    N_EVENTS,
    N_STREAMS,
    UndelimitedWorld,
    n_events_in,
)


@given("a gateway process and an engine whose streams have no length")
def start_world(context: Context) -> None:
    folder = temporary_folder()
    context.add_cleanup(folder.cleanup)
    context.world = UndelimitedWorld(Path(folder.name))
    context.add_cleanup(context.world.close)


@given("{n:d} streams that have begun")
def begin_streams(context: Context, n: int) -> None:
    assert n == N_STREAMS
    context.world.begin_streams()


@given("{n:d} streams with a deadline of {seconds:g} s that have begun")
def begin_short_streams(context: Context, n: int, seconds: float) -> None:
    context.world.deadline_ms = int(seconds * 1000)
    begin_streams(context, n)


@when("the engine leaves and answers the orders of final copies {answers}")
def leave(context: Context, answers: str) -> None:
    context.world.first.answers = answers.split(", then ")
    context.world.drain_first()
    context.world.wait()


@when("the engine ends and another one answers at its address")
def restart(context: Context) -> None:
    context.world.first.restart()
    context.world.wait()


@when("the engine ends and nothing listens at its address")
def end(context: Context) -> None:
    context.world.first.restart()
    context.world.first.close()
    context.world.wait()


@when("the engine ends and goes on listening for {seconds:g} s")
def end_slowly(context: Context, seconds: float) -> None:
    context.world.first.end_runs()
    eventlet.sleep(CLOSE_DELAY_S + seconds)
    context.world.first.close()
    context.world.wait()


@when("nothing disturbs the engine")
def wait(context: Context) -> None:
    context.world.wait()


@then("no part of a stream passes for the whole")
def check_parts(context: Context) -> None:
    ends = [
        (n_events_in(answer), answer.endswith(LAST_CHUNK))
        for answer in context.world.answers
    ]
    print(ends)
    assert all(n >= 0 for n, _ in ends), ends
    assert not [n for n, is_complete in ends if is_complete and n < N_EVENTS], ends


@then("{n:d} streams are whole")
def check_whole(context: Context, n: int) -> None:
    whole = [
        answer
        for answer in context.world.answers
        if n_events_in(answer) == N_EVENTS and answer.endswith(LAST_CHUNK)
    ]
    assert len(whole) == n, len(whole)
