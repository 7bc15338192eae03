"""Steps that check the policy's performance targets and its decisions."""

import random
from functools import cache

from behave import given, then, when
from behave.runner import Context

from benchmarks.policy.deployment import DEPLOYMENTS, KINGSTON
from benchmarks.policy.experiment import BASELINES, ORACLE, OURS, POLICIES, run
from benchmarks.policy.report import ScoresByPolicy, mean
from benchmarks.policy.scenario import SCENARIOS
from benchmarks.policy.score import Score
from hawthornyard.core import ManualClock
from hawthornyard.policy import (
    BackoffPredictor,
    FairQueue,
    LengthSource,
    SlowStart,
    length_quantile,
)

SEEDS = (1, 2)
DOMAIN_LEAVES = "domain leaves and returns, load 0.6"
SOURCE = LengthSource("r", "drafts", "team", "scribe", 1 << 15)


@cache
def _scores(policy: str, scenario: str) -> tuple[Score, ...]:
    spec = DEPLOYMENTS[KINGSTON]
    runs = [run(POLICIES[policy], spec, SCENARIOS[scenario], seed) for seed in SEEDS]
    return tuple(result.score for result in runs)


def _best(scores: ScoresByPolicy, measure: str, choose: object = min) -> float:
    assert callable(choose)
    return float(choose(mean(scores[name], measure) for name in BASELINES))


@when("Kingston runs at load 0.8 with seeds 1 and 2")
def run_below_capacity(context: Context) -> None:
    context.scores = {OURS: _scores(OURS, "load 0.8")}


@when("Kingston runs at load 1.0 with seeds 1 and 2, baselines as well")
def run_at_capacity(context: Context) -> None:
    context.scores = {name: _scores(name, "load 1.0") for name in POLICIES}


@when("Kingston's first failure domain leaves and returns with seeds 1 and 2")
def run_domain(context: Context) -> None:
    context.scores = {OURS: _scores(OURS, DOMAIN_LEAVES)}


@then("the 95th percentile of the time to first token is at most {seconds:g} s")
def check_first_token(context: Context, seconds: float) -> None:
    for score in context.scores[OURS]:
        assert score.first_token_p95_s <= seconds, score.first_token_p95_s


@then("the 95th percentile of the gap between tokens is at most {ms:g} ms")
def check_gap(context: Context, ms: float) -> None:
    for score in context.scores[OURS]:
        assert score.gap_p95_s * 1000 <= ms, score.gap_p95_s


@then("preemptions are at most {share:g} of the best baseline's")
def check_preemptions(context: Context, share: float) -> None:
    own = mean(context.scores[OURS], "preemptions")
    best = _best(context.scores, "preemptions")
    assert own <= share * best, (own, best)


@then("goodput is at least {share:g} of the best baseline's")
def check_goodput(context: Context, share: float) -> None:
    own = mean(context.scores[OURS], "goodput")
    best = _best(context.scores, "goodput", max)
    assert own >= share * best, (own, best)


@then("stall time is at most {share:g} of the best baseline's")
def check_stall(context: Context, share: float) -> None:
    own = mean(context.scores[OURS], "stall_s")
    best = _best(context.scores, "stall_s")
    assert own <= share * best, (own, best)


@then("stall time is at most {share:g} of the oracle's")
def check_oracle(context: Context, share: float) -> None:
    own = mean(context.scores[OURS], "stall_s")
    oracle = mean(context.scores[ORACLE], "stall_s")
    assert own <= share * oracle, (own, oracle)


@then("no request is refused or lost")
def check_none_failed(context: Context) -> None:
    for score in context.scores[OURS]:
        assert not score.n_refused and not score.n_lost, score


@then("no cold engine runs a larger batch than it can sustain")
def check_no_overload(context: Context) -> None:
    for score in context.scores[OURS]:
        assert not score.n_steps_over_cold_limit, score


@given('a queue in which "large" waits with {n:d} items and "small" with {m:d} items')
def two_teams(context: Context, n: int, m: int) -> None:
    context.counts = {"large": n, "small": m}


@given('an item of "large" costs {large:g} and one of "small" costs {small:g}')
def costs(context: Context, large: float, small: float) -> None:
    context.queue = FairQueue[str](ManualClock())
    costs = {"large": large, "small": small}
    for team, n_items in context.counts.items():
        for _ in range(n_items):
            context.queue.push(team, team, cost=costs[team])


@when("{n:d} items are taken")
def take_items(context: Context, n: int) -> None:
    context.taken = [context.queue.pop(lambda _: True) for _ in range(n)]


@then('"small" was given {small:d} items and "large" {large:d}')
def check_shares(context: Context, small: int, large: int) -> None:
    counts = context.taken.count("small"), context.taken.count("large")
    assert abs(counts[0] - small) <= 1 and abs(counts[1] - large) <= 1, counts


@given(
    "a queue in which an item of priority 3 waits and items of priority 9 keep coming"
)
def queue_two_priorities(context: Context) -> None:
    context.clock = ManualClock()
    context.queue = FairQueue[str](context.clock)
    context.queue.push("low", "a", priority=3)


@when("items are taken for {seconds:d} seconds")
def take_for(context: Context, seconds: int) -> None:
    context.taken = []
    for _ in range(seconds):
        context.queue.push("high", "b", priority=9)
        context.queue.push("high", "b", priority=9)
        context.taken.append(context.queue.pop(lambda _: True))
        context.clock.advance(1.0)


@then("the item of priority 3 was taken")
def check_low_priority(context: Context) -> None:
    assert "low" in context.taken


@given('a queue that served "large" {n:d} items while "small" was idle')
def serve_one_team(context: Context, n: int) -> None:
    context.queue = FairQueue[str](ManualClock())
    for _ in range(n):
        context.queue.push("large", "large")
        context.queue.pop(lambda _: True)


@when("both queue {n:d} items and {m:d} items are taken")
def take_of_both(context: Context, n: int, m: int) -> None:
    for team in ("large", "small"):
        for _ in range(n):
            context.queue.push(team, team)
    take_items(context, m)


@given("a queue of {n:d} items of {teams:d} teams in one lane and 2 priorities")
def long_queue(context: Context, n: int, teams: int) -> None:
    context.queue = FairQueue[int](ManualClock())
    for index in range(n):
        context.queue.push(index, f"team-{index % teams}", priority=3 + index % 2)


@when("an item is popped and none may start")
def pop_nothing(context: Context) -> None:
    context.checked = []

    def refuse(item: int) -> bool:
        context.checked.append(item)
        return False

    assert context.queue.pop(refuse) is None


@then("{n:d} items were checked")
def check_n_checked(context: Context, n: int) -> None:
    assert len(context.checked) == n, context.checked


@given("an endpoint whose limit has grown to its maximum")
def grow_limit(context: Context) -> None:
    context.limit = SlowStart(2, 16)
    for _ in range(40):
        context.limit.on_sample(0.03, context.limit.limit)
        assert context.limit.limit <= 16
    assert context.limit.limit == 16


@when("the time between tokens grows five times")
def slow_down(context: Context) -> None:
    assert context.limit.on_sample(0.15, 16)


@then("its limit is the initial limit")
def check_initial(context: Context) -> None:
    assert context.limit.limit == 2


@given("lengths drawn from a heavy-tailed distribution")
def observe_lengths(context: Context) -> None:
    context.rng = random.Random(7)
    context.predictor = BackoffPredictor()
    for _ in range(2000):
        context.predictor.observe(SOURCE, _draw_length(context.rng))


@then("the median remaining length grows with the tokens so far")
def check_medians(context: Context) -> None:
    medians = [
        length_quantile(context.predictor, SOURCE, n, 0.5) for n in (200, 800, 3200)
    ]
    assert medians == sorted(medians) and medians[0] < medians[2], medians


@then("the predicted {share:g} quantile covers {low:g} to {high:g} of new lengths")
def check_calibration(context: Context, share: float, low: float, high: float) -> None:
    predicted = length_quantile(context.predictor, SOURCE, 0, share)
    lengths = [_draw_length(context.rng) for _ in range(4000)]
    covered_share = sum(length <= predicted for length in lengths) / len(lengths)
    assert low <= covered_share <= high, covered_share


def _draw_length(rng: random.Random) -> int:
    return int(min(20000, 200 * rng.paretovariate(1.5)))
