"""Steps on admission by forecast capacity."""

from behave import given, then, when
from behave.runner import Context

from features.support.admission_replay import Replay
from features.support.edge import EdgeDriver
from hawthornyard.core import Decision, ManualClock
from hawthornyard.edge.messages import AttemptEnded, GatewaysRead
from hawthornyard.frames import EndpointLoad, GatewayLoads
from hawthornyard.gateway.messages import ReplyFailed
from hawthornyard.io.admission_metrics import AdmissionMetrics
from hawthornyard.io.metrics import ProgramMetrics
from hawthornyard.policy import (
    EngineLoad,
    ReturnTimes,
    RunningWork,
    UrgencyQueue,
    Waiting,
    WaitingWork,
    forecast_starts,
)

CLIENT = ("kiosk", "summary")
# Requests a second of each kind: some nine tenths of the capacity of 4 engines.
RATES = {"long": 2.5, "short": 4.5}
NOTICE_S = 1.5
LONGEST_ANSWER_S = 40.0


class PacedServices:
    """Services whose endpoints report a pace."""

    __slots__ = ("_names",)

    def __init__(self, *names: str) -> None:
        self._names = names

    def is_load_aware(self, service: str) -> bool:
        return service in self._names


def _parse_numbers(text: str) -> list[list[float]]:
    return [[float(part) for part in item.split("/")] for item in text.split()]


@given("engines with {slots:d} slots, {memory:d} tokens and requests {running}")
def set_engine(context: Context, slots: int, memory: int, running: str) -> None:
    works = [RunningWork(int(n), left_s) for n, left_s in _parse_numbers(running)]
    context.engines = [EngineLoad(slots, memory, works)]


@given("a share of {share:g} of the freed capacity")
def set_share(context: Context, share: float) -> None:
    context.share = share


@when("requests {waiting} wait")
def forecast(context: Context, waiting: str) -> None:
    works = []
    for n_tokens, duration_s, *latest_s in _parse_numbers(waiting):
        work = WaitingWork(int(n_tokens), duration_s)
        work.latest_s = latest_s[0] if latest_s else float("inf")
        works.append(work)
    context.starts = forecast_starts(context.engines, works, share=context.share)


@then("they are forecast to start after {starts} seconds")
def check_starts(context: Context, starts: str) -> None:
    expected = [float(text.replace("never", "inf")) for text in starts.split()]
    assert context.starts == expected, context.starts


@given("the service {name} reports a pace")
def set_load_aware(context: Context, name: str) -> None:
    context.edge = EdgeDriver(load_aware=PacedServices(name))
    context.edge.push_deployment()


@given("an engine of {slots} slot that runs a summary of {n:d} tokens")
@given("an engine of {slots} slots that runs a summary of {n:d} tokens")
def add_busy_engine(context: Context, slots: str, n: int) -> None:
    if not context.edge.state.directory.version:
        context.edge.push_deployment()
    context.edge.add_endpoint("engine-a", n_slots=1 if slots == "one" else int(slots))
    context.first_call = context.edge.call("summary", n_output_tokens=n)


@when("a summary is sent that must end within {seconds:g} seconds")
def send_with_deadline(context: Context, seconds: float) -> None:
    context.call_id = context.edge.call(
        "summary", n_output_tokens=100, timeout_s=seconds
    )


@when("a summary of {n:d} prompt tokens is sent")
def send_large(context: Context, n: int) -> None:
    context.call_id = context.edge.call("summary", n_prompt_tokens=n)


@when("the first stream ends")
def end_first(context: Context) -> None:
    attempt_id = context.edge.dispatches(context.first_call)[0].attempt_id
    context.edge.push(AttemptEnded(attempt_id))


@when("the gateway is frozen for {seconds:g} seconds")
def freeze(context: Context, seconds: float) -> None:
    context.edge.clock.advance(seconds)


@when("the engine runs a summary of {n:d} tokens more of another gateway")
def report_more_load(context: Context, n: int) -> None:
    edge: EdgeDriver = context.edge
    edge.push(GatewaysRead({"gateway-1": "peer-1", "gateway-2": "peer-2"}))
    request = edge.state.inflight.by_call(context.first_call)
    request.call.size.max_tokens = request.call.size.expected_tokens = n
    edge.push(GatewayLoads("gateway-2", 1, [EndpointLoad("engine-a", 1, n)]))


@then("it still waits")
def check_waits(context: Context) -> None:
    assert not context.edge.dispatches(context.call_id)
    assert context.edge.state.inflight.by_call(context.call_id) is not None


@then("its Retry-After is at most {seconds:g} seconds")
def check_retry_after(context: Context, seconds: float) -> None:
    reply = context.edge.last_message(ReplyFailed)
    assert reply.retry_after_s is not None
    assert 0 < reply.retry_after_s <= seconds, reply


@when("requests of {n:d} teams are refused")
def refuse_teams(context: Context, n: int) -> None:
    context.decisions = [
        Decision("admission_refused", team=f"team-{index}", route="summary")
        for index in range(n)
    ]


@then("the metrics count {n:d} {what} of {team} on {route}")
def check_metrics(context: Context, n: int, what: str, team: str, route: str) -> None:
    metrics = ProgramMetrics(ManualClock())
    admission = AdmissionMetrics(metrics)
    if "edge" in context:
        context.decisions = context.edge.messages_of(Decision)
    for decision in context.decisions:
        admission.note_decision(decision)
    labels = f'{{route="{route}",team="{team}"}}'
    sample = f"hawthornyard_admission_{what}_total{labels} {n}.0"
    assert sample in metrics.render().decode().splitlines(), metrics.render()


@given("{waiting} wait")
def fill_queue(context: Context, waiting: str) -> None:
    context.queue = UrgencyQueue[str]()
    for text in waiting.split():
        name, team, priority, target, latest, work, *turn = text.split(":")
        context.queue.push(
            Waiting(
                name,
                team,
                priority=int(priority),
                work=float(work),
                turn_s=float(turn[0]) if turn else 0.0,
                target_start=float(target),
                latest_start=float(latest),
            )
        )


@then("the order at {now:g} seconds is {order}")
def check_order(context: Context, now: float, order: str) -> None:
    names = [waiting.item for waiting in context.queue.in_order(now)]
    assert names == order.split(), names


@when(
    "{n:d} clients with {left_s:g} seconds left are refused and 1 place frees each "
    "second"
)
def refuse_clients(context: Context, n: int, left_s: float) -> None:
    returns = ReturnTimes()
    context.told = [
        returns.promise(
            "scribe", CLIENT, 100.0, forecast_s=1.0, spacing_s=1.0, left_s=left_s
        )
        for _ in range(n)
    ]


@then("each is told to come back within {seconds:g} seconds")
def check_told(context: Context, seconds: float) -> None:
    assert all(0 < told <= seconds for told in context.told), context.told


@then("the first {n:d} are told 1 second more than the one before")
def check_first_told(context: Context, n: int) -> None:
    assert context.told[:n] == [float(index + 1) for index in range(n)], context.told


@then("no two of the others are told the same time")
def check_spread(context: Context) -> None:
    others = [round(told, 3) for told in context.told[4:]]
    assert len(set(others)) == len(others), others


@when("a client is refused and told to come back after {seconds:g} seconds")
def refuse_client(context: Context, seconds: float) -> None:
    context.returns = ReturnTimes()
    told = context.returns.promise(
        "scribe", CLIENT, 100.0, forecast_s=seconds, spacing_s=0.0, left_s=30.0
    )
    assert told == seconds, told


@then("a request of its team and route after {seconds:g} seconds has no earlier turn")
def check_no_turn(context: Context, seconds: float) -> None:
    assert context.returns.claim(CLIENT, 100.0 + seconds) == 0.0


@then("one after {seconds:g} seconds has its turn of {turn_s:g} seconds ago, once")
def check_turn(context: Context, seconds: float, turn_s: float) -> None:
    now = 100.0 + seconds
    assert context.returns.claim(("ferry", "summary"), now) == 0.0
    assert context.returns.claim(CLIENT, now) == turn_s
    assert context.returns.claim(CLIENT, now) == 0.0


@given("{n:d} gateways before 4 engines whose load is near their capacity")
def start_replay(context: Context, n: int) -> None:
    context.replay = Replay(n, 4, PacedServices("scribe"))
    context.replay.run(10.0, RATES)


@when(
    "callers that retry at once send {factor:g} times as much for {seconds:g} seconds"
)
def replay_retries(context: Context, factor: float, seconds: float) -> None:
    context.replay.does_retry_at_once = True
    replay_burst(context, factor, seconds)


@when("callers send {factor:g} times as much for {seconds:g} seconds")
def replay_burst(context: Context, factor: float, seconds: float) -> None:
    more = {kind: factor * rate for kind, rate in RATES.items()}
    context.replay.run(seconds, more)
    context.replay.run(15.0, RATES)
    context.replay.run(LONGEST_ANSWER_S, {})


@when("callers send on while half of the engines leave")
def replay_loss(context: Context) -> None:
    context.replay.leave(2, NOTICE_S, RATES)
    context.replay.run(15.0, RATES)
    context.replay.run(LONGEST_ANSWER_S, {})


@then(
    "{n_long:d} of 100 long and {n_short:d} of 100 short responses or more are on time"
)
def check_on_time(context: Context, n_long: int, n_short: int) -> None:
    for kind, least in (("long", n_long), ("short", n_short)):
        callers = context.replay.of_kind(kind)
        n_on_time = sum(caller.is_on_time for caller in callers)
        assert 100 * n_on_time >= least * len(callers), (kind, n_on_time, len(callers))


@then("no engine had more than {n:d} requests that waited in it")
def check_engine_queues(context: Context, n: int) -> None:
    most = max(engine.most_queued for engine in context.replay.engines.values())
    assert most <= n, most


@then("the largest are served at least half as often as their kind")
def check_largest(context: Context) -> None:
    for kind in RATES:
        callers = context.replay.of_kind(kind)
        large = [caller for caller in callers if caller.is_large]
        share = sum(caller.is_done for caller in callers) / len(callers)
        large_share = sum(caller.is_done for caller in large) / len(large)
        assert large_share >= share / 2, (kind, share, large_share)


@then("nobody was refused")
def check_no_refusals(context: Context) -> None:
    n_refusals = sum(caller.n_refusals for caller in context.replay.callers)
    assert not n_refusals, n_refusals
