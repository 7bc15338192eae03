"""Steps on the turns of long prompts."""

import math
import statistics
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.prefill_replay import (
    PROMPT_TOKENS,
    TARGETS_S,
    TOKENS_PER_S,
    Load,
    PrefillReplay,
)
from hawthornyard.core import Decision
from hawthornyard.edge.messages import Dispatch
from hawthornyard.frames import EndpointLoad, GatewayLoads
from hawthornyard.policy import is_long, may_begin_long

N_SEEDS = 6
N_STANDARD_ERRORS = 2
SECONDS = 15.0


def _load(long_share: float, short_share: float) -> dict[str, float]:
    # Shares of the time in which 6 engines can read.
    per_s = 6 * TOKENS_PER_S
    return {
        "long": long_share * per_s / PROMPT_TOKENS["long"],
        "short": short_share * per_s / PROMPT_TOKENS["short"],
    }


LOADS: dict[str, Load] = {
    "steady": lambda now: _load(0.5, 0.1),
    "mostly long": lambda now: _load(0.6, 0.03),
    "mostly short": lambda now: _load(0.03, 0.6),
    "heavy": lambda now: _load(0.7, 0.1),
    "changing each 3 s": lambda now: (
        _load(0.9, 0.1) if int(now / 3) % 2 else _load(0.1, 0.4)
    ),
    "an engine leaves": lambda now: _load(0.5, 0.1),
}


@given(
    "a prompt of {prompt:d} ms, a shortest target of {target:d} ms and {slack:d} ms "
    "of slack"
)
def set_prompt(context: Context, prompt: int, target: int, slack: int) -> None:
    context.prompt_s, context.slack_s = prompt / 1000, slack / 1000
    context.is_long = is_long(context.prompt_s, target / 1000)


@when("long prompts are read there for another {reading} ms")
def decide(context: Context, reading: str) -> None:
    reading_s = None if reading == "none" else int(reading) / 1000
    context.begins = not context.is_long or may_begin_long(
        context.prompt_s, reading_s, context.slack_s
    )


@then("it begins")
def check_begins(context: Context) -> None:
    assert context.begins


@then("it waits")
def check_waits(context: Context) -> None:
    assert not context.begins


@given("a gateway {kind} before one engine")
def start_gateway(context: Context, kind: str) -> None:
    replay = PrefillReplay(
        2, 1, seed=1, takes_turns=kind.startswith("with prefill turns")
    )
    context.replay = replay
    context.gateway = replay.gateways[0]
    if kind.endswith("no prefill rate"):
        endpoint = context.gateway.state.endpoints.get("engine-0")
        endpoint.own_prefill_rate = 0.0


@when("it gets {requests}")
def send_requests(context: Context, requests: str) -> None:
    for word in requests.split():
        if word in TARGETS_S:
            context.replay.call(context.gateway, word)


@when("the first event of {call_id} arrives")
def push_first_event(context: Context, call_id: str) -> None:
    (dispatch,) = context.gateway.dispatches(call_id)
    context.gateway.begin_stream(dispatch.attempt_id)
    context.gateway.push_events(dispatch.attempt_id, 1, 1)
    context.gateway.advance(0.05)


@when("{seconds:g} seconds go by at the gateway")
def pass_time(context: Context, seconds: float) -> None:
    context.gateway.advance(seconds)


@when("another gateway reports {n_tokens:d} prompt tokens there")
def push_report(context: Context, n_tokens: int) -> None:
    sequence = int(context.gateway.clock.now() * 1000)
    load = EndpointLoad("engine-0", 1, n_tokens, n_tokens, TOKENS_PER_S)
    context.gateway.push(GatewayLoads("gateway-1", sequence, [load]))


@then("{call_ids} are at the engine")
@then("{call_ids} is at the engine")
def check_dispatches(context: Context, call_ids: str) -> None:
    sent = [msg.call.call_id for msg in context.gateway.messages_of(Dispatch)]
    expected = call_ids.replace(",", "").replace(" and ", " ").split()
    assert sent == ([] if call_ids == "nothing" else expected), sent


@then("{call_id} is noted as held")
def check_held(context: Context, call_id: str) -> None:
    held = [
        msg.request_id
        for msg in context.gateway.messages_of(Decision)
        if msg.name == "prefill_turn"
    ]
    assert held == [f"gateway-0-{call_id}"], held


@given("the load {load} at {n:d} engines, replayed with {n_gateways:d} gateways")
def replay_without_turns(context: Context, load: str, n: int, n_gateways: int) -> None:
    context.replay_load = lambda takes_turns: [
        _replay(load, n, n_gateways, seed, takes_turns) for seed in range(N_SEEDS)
    ]
    context.without = context.replay_load(False)


@when("it is replayed with turns as well")
def replay_with_turns(context: Context) -> None:
    context.with_turns = context.replay_load(True)


@then("no kind has fewer first events in time, or a mean that is longer beyond chance")
def check_kinds(context: Context) -> None:
    for kind, target_s in TARGETS_S.items():
        before, after = (
            [time_s for replay in replays for time_s in replay.first_events_s[kind]]
            for replays in (context.without, context.with_turns)
        )
        assert len(before) == len(after), (kind, len(before), len(after))
        in_time = [sum(s <= target_s for s in times) for times in (before, after)]
        assert in_time[1] >= in_time[0], (kind, in_time)
        means = statistics.fmean(before), statistics.fmean(after)
        # The replays draw other endpoints, so that equal policies differ by chance.
        error_s = math.hypot(_mean_error_s(before), _mean_error_s(after))
        assert means[1] <= means[0] + N_STANDARD_ERRORS * error_s, (kind, means)


@then("under half as many long prompts meet")
def check_half(context: Context) -> None:
    check_meetings(context, 0.5)


@then("under {share:g} as many long prompts meet")
def check_meetings(context: Context, share: float) -> None:
    before, after = _meetings(context)
    assert after < share * before, (before, after)


@then("as few long prompts meet")
def check_few(context: Context) -> None:
    before, after = _meetings(context)
    assert after <= before, (before, after)


def _mean_error_s(times: list[float]) -> float:
    return statistics.stdev(times) / math.sqrt(len(times))


def _meetings(context: Context) -> tuple[int, int]:
    before, after = (
        sum(replay.n_meetings() for replay in replays)
        for replays in (context.without, context.with_turns)
    )
    return before, after


def _replay(
    load: str, n_engines: int, n_gateways: int, seed: int, takes_turns: bool
) -> Any:
    replay = PrefillReplay(n_gateways, n_engines, seed=seed, takes_turns=takes_turns)
    replay.leaving = "engine-0" if load == "an engine leaves" else ""
    replay.run(SECONDS, LOADS[load])
    return replay
