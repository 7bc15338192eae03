"""Steps that drive the filter chain of a gateway that calls endpoints itself."""

import random

from behave import given, when
from behave.runner import Context

from features.support.edge import EdgeDriver
from hawthornyard.edge.messages import (
    AttemptAnswered,
    AttemptBroke,
    AttemptEnded,
    AttemptRefused,
    CopyAnswered,
    CopyRequested,
    Dispatch,
    DomainsRead,
    EndpointsRead,
    GatewaysRead,
    StoreAnswered,
    StoreFailed,
)
from hawthornyard.frames import EndpointLoad, GatewayLoads
from hawthornyard.gateway.messages import CallerGone

HANDLE = "copy-1"
BORN = 1_700_000_000_000


def _split_names(text: str) -> list[str]:
    if text == "none":
        return []
    return [name.strip() for name in text.replace(" and ", ",").split(",")]


@given("the engines {names}")
@given("the plain endpoints {names}")
def add_endpoints(context: Context, names: str) -> None:
    if not context.edge.state.directory.version:
        context.edge.push_deployment()
    for index, name in enumerate(_split_names(names)):
        context.edge.add_endpoint(name, failure_domain=f"domain-{index}")


@given("an engine {name} that has just joined")
def add_new_engine(context: Context, name: str) -> None:
    context.edge.add_endpoint(name, failure_domain="domain-9")


@given("an engine {name} in the failure domain of {other}")
def add_engine_in_domain_of(context: Context, name: str, other: str) -> None:
    domain = context.edge.state.endpoints.get(other).entry.failure_domain
    context.edge.add_endpoint(name, failure_domain=domain)


@given("a cold engine {name}")
def add_cold_engine(context: Context, name: str) -> None:
    context.edge.push_deployment()
    context.edge.add_endpoint(name, cold_s=5.0)


@given("{n:d} other gateways")
def add_gateways(context: Context, n: int) -> None:
    names = {f"gateway-{index}": f"10.0.0.{index}:7200" for index in range(1, n + 2)}
    context.edge.push(GatewaysRead(names))


@given("another gateway that reports a prefill backlog of {n:d} tokens at {name}")
def add_reported_load(context: Context, n: int, name: str) -> None:
    add_gateways(context, 1)
    load = EndpointLoad(name, 2, n, n, 0.0)
    context.edge.push(GatewayLoads("gateway-2", 7, [load]))


@given("an older report of that gateway without load")
def add_outdated_report(context: Context) -> None:
    context.edge.push(GatewayLoads("gateway-2", 6, []))


@given("keys stay valid for {seconds:g} seconds without a confirmation")
def set_key_ttl(context: Context, seconds: float) -> None:
    context.edge.state.directory.key_ttl_s = seconds


@given("{n:d} gateways that know {n_engines:d} idle engines")
def add_fleet(context: Context, n: int, n_engines: int) -> None:
    names = {f"gateway-{index}": f"10.0.0.{index}:7200" for index in range(n)}
    context.fleet = []
    for seed, name in enumerate(names):
        drive = EdgeDriver(name, random_source=random.Random(seed))
        drive.push_deployment()
        for index in range(n_engines):
            drive.add_endpoint(f"engine-{index}", failure_domain=f"domain-{index % 3}")
        drive.push(GatewaysRead(names))
        context.fleet.append(drive)


@given("a summary that was sent")
def send_summary(context: Context) -> None:
    context.call_id = context.edge.call("summary")
    context.sent_at = _last_dispatch(context).endpoint


@given("a summary with shared parts whose answer began")
def begin_shared_summary(context: Context) -> None:
    context.call_id = context.edge.call("summary", prefix=["group-1", "own"])
    context.sent_at = _last_dispatch(context).endpoint
    context.edge.begin_stream(_last_dispatch(context).attempt_id)


@given("a summary that got the events {first:d} to {last:d}")
def begin_summary(context: Context, first: int, last: int) -> None:
    send_summary(context)
    attempt_id = _last_dispatch(context).attempt_id
    context.edge.begin_stream(attempt_id)
    context.edge.push_events(attempt_id, first, last)


def _last_dispatch(context: Context) -> Dispatch:
    return context.edge.dispatches(context.call_id)[-1]


@when("its engine breaks the connection")
def break_connection(context: Context) -> None:
    context.edge.push(AttemptBroke(_last_dispatch(context).attempt_id, "reset"))


@when("its engine breaks the connection and is gone")
def end_engine(context: Context) -> None:
    break_connection(context)
    request = context.edge.last_message(CopyRequested)
    context.edge.push(
        CopyAnswered(request, is_done=False, may_have_stopped=False, born=0)
    )


@when("its mirror answers with status {status:d}")
def answer_without_stream(context: Context, status: int) -> None:
    context.edge.answer_attempt(_last_dispatch(context).attempt_id, status)


@when("the events {first:d} to {last:d} follow")
def deliver_events(context: Context, first: int, last: int) -> None:
    attempt_id = _last_dispatch(context).attempt_id
    context.edge.begin_stream(attempt_id)
    context.edge.push_events(attempt_id, first, last)


@when("the endpoint refuses the attempt")
def refuse_attempt(context: Context) -> None:
    refused = AttemptRefused(
        _last_dispatch(context).attempt_id, "no copy", is_full=True
    )
    context.edge.push(refused)


@when("the stream ends")
def end_stream(context: Context) -> None:
    context.edge.push(AttemptEnded(_last_dispatch(context).attempt_id))


@when("the connection of the stream, which has no length, ends")
def end_undelimited_stream(context: Context) -> None:
    attempt_id = _last_dispatch(context).attempt_id
    context.edge.push(AttemptEnded(attempt_id, is_delimited=False))


@when("the connection of the stream, which has no length, ends and {who} answers there")
def end_and_probe(context: Context, who: str) -> None:
    born = {"nobody": 0, "another incarnation": BORN + 1, "the same": BORN}[who]
    dispatch = _last_dispatch(context)
    context.edge.state.inflight.by_attempt(dispatch.attempt_id).attempt.born = BORN
    context.edge.push(
        AttemptEnded(dispatch.attempt_id, is_delimited=False, born_after=born)
    )


@when(
    "the connection of the stream, which has no length, "
    "ends {seconds:g} s before its deadline"
)
def end_at_deadline(context: Context, seconds: float) -> None:
    request = context.edge.state.inflight.by_call(context.call_id)
    context.edge.clock.advance(request.deadline - seconds - context.edge.clock.now())
    end_undelimited_stream(context)


@when("{name} starts anew and drains")
def restart_and_drain(context: Context, name: str) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    domain = endpoint.entry.failure_domain
    context.edge.add_endpoint(
        name, is_draining=True, failure_domain=domain, born=BORN + 1
    )


@when("an engine {new} joins and {old} drains")
def replace_target(context: Context, new: str, old: str) -> None:
    add_new_engine(context, new)
    drain(context, old)


@when("its engine breaks the connection after the head")
def break_after_head(context: Context) -> None:
    context.edge.push(
        AttemptBroke(_last_dispatch(context).attempt_id, "reset", has_begun=True)
    )


@when("{name} drains")
def drain(context: Context, name: str) -> None:
    if name == "the engine that runs it":
        name = context.sent_at
    elif name == "its mirror":
        name = next(n for n in ("engine-a", "engine-b") if n != context.sent_at)
    endpoint = context.edge.state.endpoints.get(name)
    domain = endpoint.entry.failure_domain
    context.edge.add_endpoint(name, is_draining=True, failure_domain=domain)


@when("the entry of {name} is removed")
def remove_entry(context: Context, name: str) -> None:
    context.edge.push(EndpointsRead([], [name]))


@when("the entry of {name} is removed and forgotten")
def forget_entry(context: Context, name: str) -> None:
    remove_entry(context, name)
    context.edge.state.endpoints.forget(name)


@given("a lookup that was sent")
def send_lookup(context: Context) -> None:
    context.call_id = context.edge.call("lookup")


@when("its endpoint answers without a length {seconds:g} s before its deadline")
def answer_undelimited_late(context: Context, seconds: float) -> None:
    request = context.edge.state.inflight.by_call(context.call_id)
    context.edge.clock.advance(request.deadline - seconds - context.edge.clock.now())
    answer_undelimited(context)


@when("its engine answers without a length")
def answer_undelimited(context: Context) -> None:
    attempt_id = _last_dispatch(context).attempt_id
    context.edge.push(AttemptAnswered(attempt_id, 200, [], b"body", is_delimited=False))


@when("the failure domain of {name} is out")
def take_out(context: Context, name: str) -> None:
    domain = context.edge.state.endpoints.get(name).entry.failure_domain
    context.edge.push(DomainsRead(frozenset({domain})))


@when("the domain of the other engine is out")
def take_other_out(context: Context) -> None:
    other = next(n for n in ("engine-a", "engine-b") if n != context.sent_at)
    take_out(context, other)


@when("the domain of the copy's target is out")
def take_target_out(context: Context) -> None:
    target = context.edge.last_message(CopyRequested).target.partition(":")[0]
    take_out(context, target)


@when("the engine has stopped its run but could not copy it")
def fail_final_copy(context: Context) -> None:
    request = context.edge.last_message(CopyRequested)
    assert request.is_final
    context.edge.push(CopyAnswered(request, is_done=False, handle=HANDLE))


@when("the store fails and recovers without the entry of {name}")
def lose_store_and_entry(context: Context, name: str) -> None:
    context.edge.push(StoreFailed("endpoints", "no answer", context.edge.clock.now()))
    context.edge.push(EndpointsRead([], [name]))
    context.edge.push(StoreAnswered("endpoints", context.edge.clock.now()))


@when("the engine copies its run {n:d} times")
def complete_copies(context: Context, n: int) -> None:
    for _ in range(n):
        request = context.edge.last_message(CopyRequested)
        context.edge.push(CopyAnswered(request, is_done=True, handle=HANDLE))


@when("the engine could not copy its run")
def fail_copy(context: Context) -> None:
    request = context.edge.last_message(CopyRequested)
    context.edge.push(CopyAnswered(request, is_done=False, detail="no room"))


@when("the final copy gets no answer")
def lose_copy_answer(context: Context) -> None:
    request = context.edge.last_message(CopyRequested)
    assert request.is_final
    context.edge.push(
        CopyAnswered(request, is_done=False, is_inconclusive=True, detail="closed")
    )


@when("the gateway can't connect to the engine")
def fail_copy_connection(context: Context) -> None:
    request = context.edge.last_message(CopyRequested)
    context.edge.push(
        CopyAnswered(
            request,
            is_done=False,
            is_inconclusive=True,
            may_have_stopped=False,
            detail="timed out",
        )
    )


@when("the final copies get no answers for {seconds:g} seconds")
def lose_all_copy_answers(context: Context, seconds: float) -> None:
    n_answered = len(context.edge.messages_of(CopyRequested)) - 1
    until = context.edge.clock.now() + seconds
    while context.edge.clock.now() < until:
        for request in context.edge.messages_of(CopyRequested)[n_answered:]:
            n_answered += 1
            context.edge.push(
                CopyAnswered(request, is_done=False, is_inconclusive=True)
            )
        context.edge.advance(0.05)


@when("the engine knows no such run")
def reject_unknown_run(context: Context) -> None:
    request = context.edge.last_message(CopyRequested)
    context.edge.push(CopyAnswered(request, is_done=False, is_unknown=True))


@when("{seconds:g} seconds go by")
def pass_time(context: Context, seconds: float) -> None:
    context.edge.advance(seconds)


@when("{n:d} {kind} are sent")
def send_many(context: Context, n: int, kind: str) -> None:
    kind_of_call = {"summaries": "summary", "lookups": "lookup"}[kind]
    context.call_ids = [context.edge.call(kind_of_call) for _ in range(n)]
    context.edge.advance(0.9)


@when("that gateway reports only a prefill backlog of {n:d} tokens at {name}")
def report_partial_load(context: Context, n: int, name: str) -> None:
    load = EndpointLoad(name, 1, n, n, 0.0)
    context.edge.push(GatewayLoads("gateway-2", 8, [load], False))


@when("each of them sends a summary")
def send_summary_from_each(context: Context) -> None:
    for drive in context.fleet:
        drive.call("summary")


@when("a {kind} is sent")
def send_one(context: Context, kind: str) -> None:
    context.call_id = context.edge.call(kind)


@when("a {kind} is sent and the endpoint {outcomes}")
def send_and_answer(context: Context, kind: str, outcomes: str) -> None:
    context.call_id = context.edge.call(kind)
    for outcome in outcomes.split(", then "):
        _apply_outcome(context, outcome)


def _apply_outcome(context: Context, outcome: str) -> None:
    attempt_id = _last_dispatch(context).attempt_id
    verb, _, status = outcome.partition(" ")
    if verb == "answers":
        context.edge.answer_attempt(attempt_id, int(status))
    elif verb == "refuses":
        context.edge.push(AttemptRefused(attempt_id, "no room", is_full=True))
        context.edge.advance(0.05)
    elif verb == "waits":
        context.edge.advance(0.3)
    else:
        context.edge.push(AttemptBroke(attempt_id, "reset"))


@when("{n:d} lookups are sent and every endpoint answers 500")
def send_failing_lookups(context: Context, n: int) -> None:
    context.call_ids = []
    for _ in range(n):
        context.call_id = context.edge.call("lookup")
        context.call_ids.append(context.call_id)
        n_answered = 0
        while n_answered < len(context.edge.dispatches(context.call_id)):
            attempt = context.edge.dispatches(context.call_id)[n_answered]
            context.edge.answer_attempt(attempt.attempt_id, 500)
            n_answered += 1


@when("its address refuses connections during {seconds:d} seconds of lookups")
def refuse_connections(context: Context, seconds: int) -> None:
    for _ in range(seconds * 10):
        n_before = len(context.edge.messages_of(Dispatch))
        context.edge.call("lookup")
        context.edge.confirm_operator_feed()
        for msg in context.edge.messages_of(Dispatch)[n_before:]:
            refused = AttemptRefused(msg.attempt_id, "refused", is_absent=True)
            context.edge.push(refused)
        context.edge.advance(0.1)


@when("the mirror's address refuses the connection of another summary")
def refuse_mirror(context: Context) -> None:
    mirror = next(n for n in ("engine-a", "engine-b") if n != context.sent_at)
    # Backs off the engine that runs the stream, so that the mirror is chosen.
    context.edge.state.endpoints.back_off(context.sent_at, 0.01)
    other = context.edge.call("summary")
    dispatch = context.edge.dispatches(other)[-1]
    assert dispatch.endpoint == mirror, dispatch
    refused = AttemptRefused(dispatch.attempt_id, "refused", is_absent=True)
    context.edge.push(refused)


@when("{n:d} callers of {name} disconnect after {seconds:g} seconds without an answer")
def disconnect_unanswered(context: Context, n: int, name: str, seconds: float) -> None:
    for _ in range(n):
        call_id = context.edge.call("lookup")
        dispatch = context.edge.dispatches(call_id)[-1]
        if dispatch.endpoint == name:
            context.edge.advance(seconds)
            context.edge.confirm_operator_feed()
            context.edge.push(CallerGone(call_id))
        else:
            context.edge.answer_attempt(dispatch.attempt_id)


@when("its caller disconnects")
def disconnect(context: Context) -> None:
    context.edge.push(CallerGone(context.call_id))


@when("version {version:d} with {which} is deployed")
def deploy(context: Context, version: int, which: str) -> None:
    context.edge.push_deployment(version, [] if which == "no route" else None)
