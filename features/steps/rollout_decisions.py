"""Steps on the decisions of a rollout, without a network."""

import json
import time

from behave import then, when
from behave.runner import Context

from features.support.rollout_runs import (
    DURATION_S,
    EXPOSE_SHARE,
    EXPOSE_SLACK,
    Profile,
    RolloutRun,
)
from hawthornyard.rollout import Phase, RolloutOrder, choose_tested, find_fault

ROLLBACK_S = 5.0
MAX_SECONDS = 240.0


def _parse(text: str) -> dict[str, object]:
    return json.loads(text) if text else {}


@when("a version with {profile} is rolled out with seed {seed:d}")
def run_one(context: Context, profile: str, seed: int) -> None:
    fields = _parse(profile)
    traffic = fields.pop("traffic", {})
    context.run = RolloutRun(Profile(**fields), seed, **traffic)


@then("it ends as {phase} in time")
def check_phase(context: Context, phase: str) -> None:
    _check(context.run, Phase(phase))


def _check(run: RolloutRun, expected: Phase, note: object = "") -> None:
    figures = (run.phase, run.reason, run.ended_s, run.n_new, run.n_requests, note)
    assert run.phase is expected, figures
    assert run.ended_s <= DURATION_S, figures
    if expected is Phase.ROLLED_BACK:
        bound = EXPOSE_SHARE * run.n_requests + EXPOSE_SLACK
        assert run.n_new <= bound, figures
        assert run.latest_s <= ROLLBACK_S, (run.latest_s, *figures)


@when("{n:d} seeded versions are rolled out, each second of them bad")
def run_many(context: Context, n: int) -> None:
    started_at = time.monotonic()
    context.runs = []
    for seed in range(n):
        assert time.monotonic() - started_at < MAX_SECONDS, "the runs take too long"
        profile, traffic = _draw(seed)
        context.runs.append((seed, profile, RolloutRun(profile, seed, **traffic)))


def _draw(seed: int) -> tuple[Profile, dict[str, object]]:
    n_gateways = (3, 26, 71)[seed % 3]
    rate = (150.0, 300.0, 450.0)[seed // 3 % 3]
    traffic: dict[str, object] = {"n_gateways": n_gateways, "rate": rate}
    if seed % 2:
        errors = (0.5, 0.2, 0.1, 0.08, 0.0, 0.0, 0.0)[seed // 2 % 7]
        slowness = 1.0 if errors else (1.5, 2.0, 5.0)[seed // 14 % 3]
        since_s = (0.0, 0.0, 2.0, 4.0)[seed // 6 % 4]
        return Profile(errors, slowness, since_s=since_s), traffic
    if seed % 4 == 0:
        start = float(seed // 4 % 10)
        traffic["shared"] = (0.3, start, start + 2.0)
    return Profile(), traffic


@then("each good one succeeds and each bad one is rolled back within its bounds")
def check_many(context: Context) -> None:
    for seed, profile, run in context.runs:
        expected = Phase.ROLLED_BACK if profile.is_bad else Phase.SUCCEEDED
        _check(run, expected, seed)


@then("an order {order} before endpoints of {versions} is refused with {text}")
def check_fault(context: Context, order: str, versions: str, text: str) -> None:
    service, to, duration_s = order.split(",")
    fault = find_fault(
        RolloutOrder(service, to, float(duration_s)),
        is_service_known=service == "desk",
        versions=versions.split("+"),
    )
    assert text in fault if text != "nothing" else not fault, fault


@then("{share:g} of the traffic of {n_old:d} endpoints tests {names} in turn {turn:d}")
def check_tested(
    context: Context, share: float, n_old: int, names: str, turn: int
) -> None:
    tested = choose_tested(["c", "a", "b"], n_old, share, turn)
    assert "".join(tested) == names, tested
