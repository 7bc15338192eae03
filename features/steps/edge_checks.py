"""Steps that check the output of a gateway that calls endpoints itself."""

from typing import Any

from behave import then
from behave.runner import Context

from features.support.edge import ENGINE
from hawthornyard.core import Decision
from hawthornyard.edge.messages import Cancel, CopyDropped, CopyRequested, Dispatch
from hawthornyard.frames import GatewayLoads
from hawthornyard.gateway.messages import ReplyEnded, ReplyFailed, ReplyResponse

HANDLE = "copy-1"


@then(
    "{min_engines:d} engines or more run them and {min_mirrors:d} or more mirror them"
)
def check_spread(context: Context, min_engines: int, min_mirrors: int) -> None:
    sent = [drive.last_message(Dispatch) for drive in context.fleet]
    assert len({msg.endpoint for msg in sent}) >= min_engines, sent
    assert len({msg.mirror_address for msg in sent}) >= min_mirrors, sent


@then("each of {n:d} gateways was told only the loads of {names}")
def check_told_loads(context: Context, n: int, names: str) -> None:
    reports = context.edge.messages_of(GatewayLoads)
    assert len({msg.peer for msg in reports}) == len(reports) == n, reports
    for msg in reports:
        assert not msg.is_complete
        assert [load.endpoint for load in msg.loads] == names.split(" and "), msg


@then("the prefill backlog is {n:d} tokens at {name} and {m:d} at {other}")
def check_unread(context: Context, n: int, name: str, m: int, other: str) -> None:
    endpoints = context.edge.state.endpoints
    unread = [endpoints.get(name).prefill_backlog, endpoints.get(other).prefill_backlog]
    assert unread == [n, m], unread


@then("at most {n:d} attempts reach it")
def check_at_most(context: Context, n: int) -> None:
    sent = context.edge.messages_of(Dispatch)
    assert 0 < len(sent) <= n, len(sent)


@then("it continues at the other engine from a copy up to event {last:d}")
def check_resumed(context: Context, last: int) -> None:
    dispatch = context.edge.dispatches(context.call_id)[-1]
    assert dispatch.endpoint != context.sent_at, dispatch
    assert dispatch.source is not None, dispatch
    assert dispatch.source.last_event == last, dispatch.source


@then(
    "the caller has the events {first:d} to {last:d} once, when {a:d} to {b:d} follow"
)
def check_events_after(context: Context, first: int, last: int, a: int, b: int) -> None:
    attempt_id = context.edge.dispatches(context.call_id)[-1].attempt_id
    context.edge.begin_stream(attempt_id)
    context.edge.push_events(attempt_id, a, b)
    check_events(context, first, last)


@then("the caller has got the events {first:d} to {last:d} once")
def check_events(context: Context, first: int, last: int) -> None:
    expected = b"".join(b"%d;" % number for number in range(first, last + 1))
    delivered = context.edge.delivered_bytes(context.call_id)
    assert delivered == expected, delivered


@then("the summary fails as {kind}")
@then("the request ends as {kind}")
def check_outcome(context: Context, kind: str) -> None:
    replies = [
        msg
        for msg in context.edge.messages
        if isinstance(msg, ReplyFailed | ReplyResponse)
        and msg.call_id == context.call_id
    ]
    if kind == "open":
        assert not replies, replies
        return
    assert len(replies) == 1, replies
    reply = replies[0]
    outcome = reply.kind.value if isinstance(reply, ReplyFailed) else str(reply.status)
    assert outcome == kind, reply


@then("{n:d} attempts were sent for it")
def check_attempts(context: Context, n: int) -> None:
    sent = context.edge.dispatches(context.call_id)
    assert len(sent) == n, sent


@then("the attempts went to different endpoints")
def check_different_endpoints(context: Context) -> None:
    sent = [msg.endpoint for msg in context.edge.dispatches(context.call_id)]
    assert len(set(sent)) == len(sent), sent


@then("{n:d} retries were sent")
def check_retries(context: Context, n: int) -> None:
    n_sent = len(context.edge.messages_of(Dispatch)) - len(context.call_ids)
    assert n_sent == n, n_sent


@then("all of them went to {name}")
def check_all_at(context: Context, name: str) -> None:
    ids = set(context.call_ids)
    sent = [
        m.endpoint for m in context.edge.messages_of(Dispatch) if m.call.call_id in ids
    ]
    assert len(sent) == len(ids), sent
    assert set(sent) == {name}, sent


@then("the summary is {outcome}")
def check_summary(context: Context, outcome: str) -> None:
    replies = [
        type(msg)
        for msg in context.edge.messages
        if isinstance(msg, ReplyEnded | ReplyFailed) and msg.call_id == context.call_id
    ]
    n_attempts = {"resumed": 2}.get(outcome, 1)
    expected = {"complete": [ReplyEnded], "lost": [ReplyFailed]}.get(outcome, [])
    assert replies == expected, replies
    assert len(context.edge.dispatches(context.call_id)) == n_attempts


@then("the attempt is cancelled")
def check_cancelled(context: Context) -> None:
    cancelled = [msg.attempt_id for msg in context.edge.messages_of(Cancel)]
    assert context.edge.dispatches(context.call_id)[-1].attempt_id in cancelled, (
        cancelled
    )


@then("the last copy was final and the others were not")
def check_copies(context: Context) -> None:
    finals = [msg.is_final for msg in context.edge.messages_of(CopyRequested)]
    assert finals == [False, False, True], finals


@then("the last copy was final and {n:d} were requested")
def check_last_final(context: Context, n: int) -> None:
    asked = context.edge.messages_of(CopyRequested)
    assert len(asked) == n, asked
    assert asked[-1].is_final, asked


@then("copies of {n:d} runs were requested")
def check_copied_runs(context: Context, n: int) -> None:
    asked = context.edge.messages_of(CopyRequested)
    assert len({msg.request_id for msg in asked}) == n, asked


@then("{n:d} copies were requested")
def check_n_copies(context: Context, n: int) -> None:
    asked = context.edge.messages_of(CopyRequested)
    assert len(asked) == n, asked


@then("copies were ordered of {name} and of the engine that runs it now")
def check_copy_sources(context: Context, name: str) -> None:
    current = context.edge.dispatches(context.call_id)[-1].endpoint
    sources = [msg.source_name for msg in context.edge.messages_of(CopyRequested)]
    assert sources == [name, current], sources


@then("the last copy is ordered of the first incarnation")
def check_copy_born(context: Context) -> None:
    dispatch = context.edge.dispatches(context.call_id)[-1]
    order = context.edge.last_message(CopyRequested)
    assert order.is_final, order
    assert order.source_born == dispatch.born, order


@then("the last copy goes to {name}")
def check_last_target(context: Context, name: str) -> None:
    asked = context.edge.messages_of(CopyRequested)
    assert asked[-1].is_final, asked
    assert asked[-1].target == f"{name}:80", asked


@then("no endpoint counts as ended")
def check_none_ended(context: Context) -> None:
    events = [msg.name for msg in context.edge.messages_of(Decision)]
    assert "endpoint_crashed" not in events, events
    request = context.edge.state.inflight.by_call(context.call_id)
    assert not request.is_suspect


@then("nothing was sent to the copy's target")
def check_not_target(context: Context) -> None:
    target = context.edge.last_message(CopyRequested).target
    sent = [msg.address for msg in context.edge.messages_of(Dispatch)]
    assert target not in sent, sent


@then("a copy to {name} was requested")
def check_target(context: Context, name: str) -> None:
    targets = [msg.target for msg in context.edge.messages_of(CopyRequested)]
    assert targets == [f"{name}:80"], targets


@then("the copy is freed")
def check_copy_freed(context: Context) -> None:
    assert context.edge.last_message(CopyDropped).handle == HANDLE


@then(
    "some of them have a mirror and mirrors use at most {share:g} of an engine's memory"
)
def check_mirrors(context: Context, share: float) -> None:
    assert any(msg.mirror_address for msg in context.edge.messages_of(Dispatch))
    for endpoint in context.edge.state.endpoints:
        mirrored = endpoint.mirrored.values()
        if mirrored:
            n_tokens = sum(request.n_tokens for request in mirrored)
            assert n_tokens <= share * ENGINE.memory_tokens, (endpoint.name, n_tokens)


@then("at most {n:d} attempts reach it within a second")
def check_at_most_in_second(context: Context, n: int) -> None:
    sent = context.edge.messages_of(Dispatch)
    assert len(sent) <= n, sent


@then("no engine has more than twice the prompts of another")
def check_balanced(context: Context) -> None:
    counts: dict[str, Any] = {
        endpoint.name: 0 for endpoint in context.edge.state.endpoints
    }
    for msg in context.edge.messages_of(Dispatch):
        counts[msg.endpoint] += 1
    assert max(counts.values()) <= 2 * min(counts.values()), counts
