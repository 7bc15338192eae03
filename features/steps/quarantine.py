"""Steps for parts of prompts that end endpoints."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.edge import EdgeDriver
from features.support.platform_bytes import BODY, CLOSE, HOST
from features.support.platform_world import KEY
from hawthornyard.edge.messages import (
    AttemptBroke,
    AttemptEnded,
    AttemptRefused,
    Cancel,
    CopyRequested,
    Dispatch,
    EndpointsRead,
    GatewaysRead,
    ReportFailed,
    ReportRead,
)
from hawthornyard.frames import (
    CrashReport,
    CrashReportsRequested,
    GatewayLoads,
    PartsSound,
    PossibleCrashReport,
)
from hawthornyard.front.exchange import Exchange
from hawthornyard.gateway.messages import ReplyFailed
from hawthornyard.platform.decode import decode_call

ASKING_GATEWAY = "10.0.0.9:7200"
# Reports of one endpoint within a second are about the same crash.
NEXT_CRASH_S = 1.2


def _send(context: Context, prefix: str) -> Dispatch | None:
    context.call_id = context.edge.call("summary", prefix=prefix.split(","))
    sent: list[Dispatch] = context.edge.dispatches(context.call_id)
    return sent[-1] if sent else None


def _break(context: Context, prefix: str, state: str, *, is_whole: bool = True) -> None:
    # An engine that ends breaks all its answers, one that breaks an answer does not.
    edge: EdgeDriver = context.edge
    dispatch = _send(context, prefix)
    assert dispatch is not None, edge.messages_of(ReplyFailed)
    has_begun = state != "before it begins"
    if has_begun:
        edge.begin_stream(dispatch.attempt_id)
    if state == "while it writes":
        edge.push_events(dispatch.attempt_id, 1, 3)
        edge.advance(0.3)
    edge.push(AttemptBroke(dispatch.attempt_id, "cut", has_begun=has_begun))
    if state == "as it begins" and is_whole:
        endpoint = edge.state.endpoints.get(dispatch.endpoint)
        for attempt_id in list(endpoint.requests):
            edge.push(AttemptBroke(attempt_id, "cut", has_begun=True))
    edge.advance(NEXT_CRASH_S)


@given('{n:d} gateways that know one another and {n_crashes:d} crashes on "{prefix}"')
def add_gateways(context: Context, n: int, n_crashes: int, prefix: str) -> None:
    names = [f"gateway-{index}" for index in range(n)]
    addresses = {name: f"10.0.0.{index}:7200" for index, name in enumerate(names)}
    context.fleet = [EdgeDriver(name) for name in names]
    for drive in context.fleet:
        drive.push_deployment()
        drive.add_endpoint("engine-a")
        drive.push(GatewaysRead(addresses))
        for index in range(n_crashes):
            drive.push(CrashReport(f"engine-{index}", 0.0, prefix.split(",")))


@when('{seconds:g} seconds later each of them gets "{prefix}"')
def send_to_each(context: Context, seconds: float, prefix: str) -> None:
    for drive in context.fleet:
        drive.advance(seconds)
        for other in context.fleet:
            drive.push(GatewayLoads(other.state.name, 10**9, []))
        drive.call("summary", prefix=prefix.split(","))


@then("{n:d} attempts were sent by all of them")
def check_n_sent(context: Context, n: int) -> None:
    sent = [msg for drive in context.fleet for msg in drive.messages_of(Dispatch)]
    assert len(sent) == n, sent


@when('an engine ends {state} a summary of "{prefix}"')
def end_engine(context: Context, state: str, prefix: str) -> None:
    _break(context, prefix, state)


@when('an engine ends {state} the answer to a draft of "{prefix}"')
def end_draft(context: Context, state: str, prefix: str) -> None:
    context.call_id = context.edge.call("draft", prefix=prefix.split(","))
    attempt_id = context.edge.dispatches(context.call_id)[-1].attempt_id
    has_begun = state == "as it begins"
    context.edge.push(AttemptBroke(attempt_id, "cut", has_begun=has_begun))


@when('an answer breaks as it begins a summary of "{prefix}"')
def break_at_once(context: Context, prefix: str) -> None:
    context.first_attempt_id = context.edge.dispatches(context.call_id)[-1].attempt_id
    dispatch = _send(context, prefix)
    assert dispatch is not None, context.edge.messages_of(ReplyFailed)
    context.edge.begin_stream(dispatch.attempt_id)
    context.edge.push(AttemptBroke(dispatch.attempt_id, "cut", has_begun=True))


@when("the engine breaks the answer that it was writing")
def break_first(context: Context) -> None:
    context.edge.push(AttemptBroke(context.first_attempt_id, "cut", has_begun=True))


@when("the engine refuses, a moment later, the answer that it was writing")
def refuse_first(context: Context) -> None:
    context.edge.push(AttemptRefused(context.first_attempt_id, "gone", is_absent=True))
    context.edge.advance(0.05)


@when('an engine breaks an answer as it begins a summary of "{prefix}"')
def break_answer(context: Context, prefix: str) -> None:
    _break(context, prefix, "as it begins", is_whole=False)


@when('{n:d} endpoints end as they begin summaries of "{shared}"')
def end_engines(context: Context, n: int, shared: str) -> None:
    for index in range(n):
        _break(context, f"{shared},crash-{index}", "as it begins")


@when('{n:d} engines end before a summary of "{shared}" begins, which shows as {sign}')
def end_before_answers(context: Context, n: int, shared: str, sign: str) -> None:
    for index in range(n):
        dispatch = _send(context, f"{shared},own-{index}")
        assert dispatch is not None, context.edge.messages_of(ReplyFailed)
        context.edge.push(AttemptBroke(dispatch.attempt_id, "reset"))
        _show_end(context.edge, dispatch, sign)
        context.edge.advance(NEXT_CRASH_S)


@when(
    '{n:d} engines end before a summary of "{shared}" begins, and later break one of '
    '"{other}"'
)
def break_after_end(context: Context, n: int, shared: str, other: str) -> None:
    edge: EdgeDriver = context.edge
    for index in range(n):
        first = _send(context, f"{shared},own-{index}")
        assert first is not None, edge.messages_of(ReplyFailed)
        edge.push(AttemptBroke(first.attempt_id, "reset"))
        edge.advance(0.4)
        later = _send(context, f"{other},own-{index}")
        assert later is not None, edge.messages_of(ReplyFailed)
        edge.push(AttemptBroke(later.attempt_id, "reset"))
        _show_end(edge, first, "a refused connection")
        _show_end(edge, later, "nothing")
        edge.advance(NEXT_CRASH_S)


@when(
    "other gateways report {n:d} crashes with {n_suspects:d} possible suspects, one of "
    'them with "{part}"'
)
def report_many_suspects(context: Context, n: int, n_suspects: int, part: str) -> None:
    for crash in range(n):
        for index in range(n_suspects - 1):
            prefix = [f"group-{index % 4}", f"place-{crash}-{index}"]
            context.edge.push(PossibleCrashReport(f"engine-{crash}", 0.0, prefix))
        prefix = ["group-0", f"place-{crash}", part]
        context.edge.push(PossibleCrashReport(f"engine-{crash}", 0.0, prefix))


@when('{n:d} engines lose the answer to a summary of "{shared}" and go on')
def lose_answers(context: Context, n: int, shared: str) -> None:
    for index in range(n):
        dispatch = _send(context, f"{shared},own-{index}")
        assert dispatch is not None, context.edge.messages_of(ReplyFailed)
        context.edge.push(AttemptBroke(dispatch.attempt_id, "reset"))
        context.edge.push(
            ReportRead(dispatch.endpoint, dispatch.born, is_leaving=False)
        )
        # Its entry goes later for another reason.
        context.edge.push(EndpointsRead([], [dispatch.endpoint]))
        context.edge.add_endpoint(dispatch.endpoint)
        context.edge.advance(NEXT_CRASH_S)


@when(
    "{n:d} engines end {seconds:g} seconds after the first event of a summary of "
    '"{shared}"'
)
def end_after_event(context: Context, n: int, seconds: float, shared: str) -> None:
    for index in range(n):
        dispatch = _send(context, f"{shared},own-{index}")
        assert dispatch is not None, context.edge.messages_of(ReplyFailed)
        context.edge.begin_stream(dispatch.attempt_id)
        context.edge.push_events(dispatch.attempt_id, 1, 1)
        context.edge.advance(seconds)
        context.edge.push(AttemptBroke(dispatch.attempt_id, "cut", has_begun=True))
        _show_end(context.edge, dispatch, "a refused connection")
        context.edge.advance(NEXT_CRASH_S)


def _show_end(edge: EdgeDriver, dispatch: Dispatch, sign: str) -> None:
    name = dispatch.endpoint
    if sign == "a refused connection":
        edge.push(ReportFailed(name, dispatch.born, is_refused=True))
    elif sign == "a removed entry":
        edge.push(EndpointsRead([], [name]))
        edge.advance(0.1)
        edge.add_endpoint(name)
    elif sign == "a new incarnation":
        edge.push(ReportRead(name, dispatch.born + 1, is_leaving=False))
    else:
        edge.push(ReportFailed(name, dispatch.born, is_refused=False))


@when('a caller sends "{prefix}" and gets events for {seconds:g} seconds')
def begin_long_stream(context: Context, prefix: str, seconds: float) -> None:
    dispatch = _send(context, prefix)
    assert dispatch is not None, context.edge.messages_of(ReplyFailed)
    context.edge.begin_stream(dispatch.attempt_id)
    context.edge.push_events(dispatch.attempt_id, 1, 3)
    context.edge.advance(seconds)


@when('other gateways report {n:d} crashes on "{part}"')
def report_crashes_on_part(context: Context, n: int, part: str) -> None:
    for index in range(n):
        context.edge.push(CrashReport(f"engine-{index}", 0.0, [part]))


@when("its engine {ends}")
def end_its_engine(context: Context, ends: str) -> None:
    edge: EdgeDriver = context.edge
    dispatch = edge.dispatches(context.call_id)[-1]
    if ends == "breaks":
        edge.push(AttemptBroke(dispatch.attempt_id, "cut", has_begun=True))
        return
    # Without a mirror a stream is copied.
    edge.state.endpoints.get(dispatch.endpoint).requests[
        dispatch.attempt_id
    ].attempt.mirror = ""
    edge.add_endpoint(dispatch.endpoint, is_draining=True)


@then("{n:d} copies of it were requested")
def check_copies(context: Context, n: int) -> None:
    copies = context.edge.messages_of(CopyRequested)
    assert len(copies) == n, copies


@when('another gateway reports a possible crash of {name} on "{prefix}"')
def report_possible_crash(context: Context, name: str, prefix: str) -> None:
    context.edge.push(PossibleCrashReport(name, 0.0, prefix.split(",")))


@when(
    'other gateways report {n:d} possible crashes on "{prefix}", of which {n_also:d} '
    'also on "{other}"'
)
def report_shared_crashes(
    context: Context, n: int, prefix: str, n_also: int, other: str
) -> None:
    for index in range(n):
        report_possible_crash(context, f"engine-{index}", prefix)
        if index < n_also:
            report_possible_crash(context, f"engine-{index}", other)
    context.edge.advance(NEXT_CRASH_S)


@when('other gateways report {n:d} possible crashes on "{prefix}"')
def report_possible_crashes(context: Context, n: int, prefix: str) -> None:
    for index in range(n):
        report_possible_crash(context, f"engine-{index}", prefix)
    context.edge.advance(NEXT_CRASH_S)


@then("{n:d} gateways were told of a possible suspect")
def check_possible_reports(context: Context, n: int) -> None:
    told = {msg.peer for msg in context.edge.messages_of(PossibleCrashReport)}
    assert len(told) == n, told


@when('a summary of "{prefix}" goes on for {seconds:g} seconds')
def write_on(context: Context, prefix: str, seconds: float) -> None:
    dispatch = _send(context, prefix)
    assert dispatch is not None, context.edge.messages_of(ReplyFailed)
    context.edge.begin_stream(dispatch.attempt_id)
    context.edge.push_events(dispatch.attempt_id, 1, 3)
    context.edge.advance(seconds)
    context.edge.push(AttemptEnded(dispatch.attempt_id))


@when('a caller sends "{prefix}"')
def send_prompt(context: Context, prefix: str) -> None:
    _send(context, prefix)


@when('a caller sends "{prefix}" and waits')
def send_to_stay(context: Context, prefix: str) -> None:
    context.first_dispatch = _send(context, prefix)


@when("it is answered")
def answer(context: Context) -> None:
    # Without an event it shows nothing about its prompt.
    dispatch = context.edge.dispatches(context.call_id)[-1]
    context.edge.push(AttemptEnded(dispatch.attempt_id))


@when('another gateway reports a crash of {name} on "{prefix}"')
def report_crash(context: Context, name: str, prefix: str) -> None:
    context.edge.push(CrashReport(name, 0.0, prefix.split(",")))


@when("another gateway reports {n:d} crashes on different parts")
def report_crashes(context: Context, n: int) -> None:
    for index in range(n):
        report_crash(context, f"engine-{index}", f"part-{index},other-{index}")


@when("another gateway reports 2 crashes on each of {n:d} parts")
def report_crash_pairs(context: Context, n: int) -> None:
    for index in range(n):
        report_crash(context, f"engine-{index}-a", f"part-{index}")
        report_crash(context, f"engine-{index}-b", f"part-{index}")


@then("at most {n:d} parts are accused")
def check_n_accused(context: Context, n: int) -> None:
    assert 0 < context.edge.state.crash_evidence.n_accused <= n


@when("a caller sends a prompt of {n:d} parts with ids of {length:d} characters")
def send_long_prefix(context: Context, n: int, length: int) -> None:
    prefix = ",".join(f"{index:x}".zfill(length) + ":9" for index in range(n))
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/summary/1",
        "headers_raw": [],
        "HTTP_X_HAWTHORNYARD_TOKEN_USAGE": "100,80",
        "HTTP_X_HAWTHORNYARD_PROMPT_PREFIX": prefix,
    }
    context.prefix = decode_call(Exchange("call-1", environ)).size.prefix


@then("its parts are at most {n:d} ids of at most {length:d} characters")
def check_prefix(context: Context, n: int, length: int) -> None:
    assert 0 < len(context.prefix) <= n, context.prefix
    assert len(set(context.prefix)) == len(context.prefix), context.prefix
    assert max(map(len, context.prefix)) <= length, context.prefix


@when("a gateway asks for the reports")
def ask_for_reports(context: Context) -> None:
    context.edge.push(CrashReportsRequested().with_peer(ASKING_GATEWAY))


@then("it gets {n:d} reports of crashes")
def check_asked_reports(context: Context, n: int) -> None:
    reports = context.edge.messages_of(CrashReport)
    assert len([msg for msg in reports if msg.peer == ASKING_GATEWAY]) == n, reports


@then("each of {n_gateways:d} gateways got {n:d} reports of the crash")
def check_reports(context: Context, n_gateways: int, n: int) -> None:
    peers = [msg.peer for msg in context.edge.messages_of(CrashReport)]
    assert {peer: peers.count(peer) for peer in peers} == dict.fromkeys(peers, n), peers
    assert len(set(peers)) == n_gateways, peers


@then("each of {n_gateways:d} gateways was asked {n:d} times for its reports")
def check_asked(context: Context, n_gateways: int, n: int) -> None:
    peers = [msg.peer for msg in context.edge.messages_of(CrashReportsRequested)]
    assert len(set(peers)) == n_gateways, peers
    assert len(peers) == n_gateways * n, peers


@then("{n:d} gateways were told of suspected parts")
def check_told_sound(context: Context, n: int) -> None:
    notices = context.edge.messages_of(PartsSound)
    assert len({msg.peer for msg in notices}) == len(notices) == n, notices


@then("the first attempt is cancelled")
def check_first_cancelled(context: Context) -> None:
    cancelled = [msg.attempt_id for msg in context.edge.messages_of(Cancel)]
    assert context.first_dispatch.attempt_id in cancelled, cancelled


@then("the first request ends as {kind}")
def check_first_outcome(context: Context, kind: str) -> None:
    call_id = context.first_dispatch.call.call_id
    failed = context.edge.messages_of(ReplyFailed)
    kinds = [msg.kind.value for msg in failed if msg.call_id == call_id]
    assert kinds == [kind], kinds


@then("at most {n:d} crashes are known")
def check_known_crashes(context: Context, n: int) -> None:
    assert 0 < len(context.edge.state.crash_evidence.crashes) <= n


@when('{n:d} callers of the platform send prompts of "{shared}", one after the other')
def send_prompts(context: Context, n: int, shared: str) -> None:
    context.world.wait_ready()
    for index in range(n):
        head = (
            f"POST /summary/9 HTTP/1.1\r\nX-Hawthornyard-Request-Id: r-{index}\r\n"
            "X-Hawthornyard-Token-Usage: 100,80\r\n"
            f"X-Hawthornyard-Prompt-Prefix: {shared.replace(',', ':9,')}:9,own{index}:9"
            f"\r\nAuthorization: Bearer {KEY}\r\n"
        )
        context.response = context.world.send(head.encode() + HOST + CLOSE + BODY)
        eventlet.sleep(NEXT_CRASH_S)


@then("the endpoints got {n:d} requests in all")
def check_n_requests(context: Context, n: int) -> None:
    requests = [endpoint.requests for endpoint in context.world.endpoints]
    assert sum(map(len, requests)) == n, requests


@then("the last caller gets status {status:d} and is told when to come back")
def check_refusal(context: Context, status: int) -> None:
    head = context.response.lower()
    assert head.startswith(b"http/1.1 %d " % status), context.response
    assert b"\r\nretry-after: " in head, context.response
