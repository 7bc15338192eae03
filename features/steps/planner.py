"""Steps that check the planner's lease and the placement policy."""

import random
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_by

from features.planning import (
    LEASE_S,
    LONGEST_ORDER_S,
    TICK_S,
    PlannerWorld,
    candidate,
    model_need,
    plan_entry,
)
from hawthornyard.core import ManualClock, StopRequested
from hawthornyard.io.plan_rows import PLAN_KEY, encode_plan
from hawthornyard.planner import (
    DemandDrivenPlacement,
    Plan,
    PlannerInput,
    PlanTableWritten,
    WeekTime,
    is_open,
)
from hawthornyard.records import OpeningHours, Service
from hawthornyard.stores import Condition, Put

PLAN_INTERVAL_S = 5.0
MAX_TICKS = 500


def _take_lease(world, *, with_plan=True):
    first = world.processes[0]
    for _ in range(MAX_TICKS):
        if first.planner_state.holds_lease and (
            not with_plan or world.plan_row() is not None
        ):
            return first
        world.run(TICK_S, first)
    raise AssertionError("the first planner has not taken the lease")


@when("{n_planners:d} planners run for {seconds:g} seconds")
def run_planners(context: Context, n_planners: int, seconds: float) -> None:
    world = context.world
    while len(world.processes) < n_planners:
        world.start()
    world.run(seconds)


@then("one of them holds the lease")
def check_one_holder(context: Context) -> None:
    assert len(context.world.holders()) == 1, context.world.holders()


@then("only that one has written plans")
def check_only_writer(context: Context) -> None:
    (holder,) = context.world.holders()
    written = {
        process.name: process.count_decisions("place")
        for process in _processes(context)
    }
    assert written.pop(holder.name) > 1
    assert set(written.values()) == {0}, written


def _processes(context):
    return context.world.processes


@then("no promise was broken")
def check_promises(context: Context) -> None:
    assert not context.world.violations, context.world.violations


def _step_until_write(world, process, *, with_plan):
    for _ in range(MAX_TICKS):
        world.time.advance(TICK_S)
        process.tick()
        for write in process.writes:
            if (write.plan is not None) == with_plan:
                return write
        while process.writes:
            process.write()
        process.read()
    raise AssertionError("the planner has not written")


@given("the first planner holds the lease and was paused with {step}")
def pause(context: Context, step: str) -> None:
    world = context.world
    first = _take_lease(world)
    context.resume = _PAUSES[step](world, first)


def _nothing_pending(world, process):
    return lambda: None


def _renewal_not_sent(world, process):
    _step_until_write(world, process, with_plan=False)
    return process.write


def _plan_not_sent(world, process):
    _step_until_write(world, process, with_plan=True)
    return process.write


def _past_check(with_plan):
    def prepare(world, process):
        write = _step_until_write(world, process, with_plan=with_plan)
        write.not_after = float("inf")
        return process.write

    return prepare


def _reply_not_read(world, process):
    write = _step_until_write(world, process, with_plan=True)
    answer = process.table.write(process.writes.pop(0))
    assert isinstance(answer, PlanTableWritten), (answer, write)
    world.check()
    return lambda: process.put(answer)


_PAUSES = {
    "nothing under way": _nothing_pending,
    "a renewal decided and not sent": _renewal_not_sent,
    "a renewal past its check and not sent": _past_check(False),
    "a plan decided and not sent": _plan_not_sent,
    "a plan past its check and not sent": _past_check(True),
    "a plan written and its reply not read": _reply_not_read,
}


@when("the second planner runs for {seconds:g} seconds")
def run_second(context: Context, seconds: float) -> None:
    context.world.run(seconds, context.world.processes[1])


@when("the first planner runs for {seconds:g} seconds")
def run_first(context: Context, seconds: float) -> None:
    context.world.run(seconds, context.world.processes[0])


@when("{seconds:g} seconds pass with no planner running")
def pass_time(context: Context, seconds: float) -> None:
    context.world.time.advance(seconds)


@then("its late write did not reach the table")
def check_not_sent(context: Context) -> None:
    assert context.n_writes_late == 0


@when("the first planner is resumed")
def resume(context: Context) -> None:
    world = context.world
    context.rows_before = world.table.rows.scan("plan/").rows
    n_writes = world.table.n_writes
    context.resume()
    context.n_writes_late = world.table.n_writes - n_writes
    world.check()
    first = world.processes[0]
    first.run()
    first.tick()
    context.rows_after = world.table.rows.scan("plan/").rows
    world.run(10.0)


@then("the second planner holds the lease")
def check_second(context: Context) -> None:
    (holder,) = context.world.holders()
    assert holder is context.world.processes[1], holder.name


@then("the first planner's late write had no effect")
def check_no_effect(context: Context) -> None:
    assert context.rows_before == context.rows_after


@given("the first planner has {held}")
def prepare_first(context: Context, held: str) -> None:
    if held == "the lease":
        _take_lease(context.world)


@when("the reply to its next write of {write} is lost after it took effect")
def lose_reply(context: Context, write: str) -> None:
    world = context.world
    first = world.processes[0]
    context.lost_write = _step_until_write(world, first, with_plan=write == "a plan")
    world.table.lose_next_reply = True
    first.write()
    assert first.planner_state.pending_write is None


@then("it recognises that write as its own and holds the lease")
def check_read_back(context: Context) -> None:
    first = context.world.processes[0]
    assert first.planner_state.holds_lease
    assert first.count_decisions("lease_lost") == 0
    assert first.count_decisions("lease_taken") == 1
    if context.lost_write.plan is not None:
        assert first.planner_state.plan.entries == context.lost_write.plan.entries


@given("the first planner holds the lease and has written a plan")
def hold_lease_with_plan(context: Context) -> None:
    world = context.world
    _take_lease(world)
    world.run(12.0)
    context.plan_before = world.plan_row()


@when("the table is down for {seconds:g} seconds")
def table_down(context: Context, seconds: float) -> None:
    table = context.world.table
    table.is_down = True
    n_tries = table.n_write_attempts
    context.world.run(seconds)
    context.n_tries = table.n_write_attempts - n_tries


@then("each planner tried to write at most {at_most:d} times")
def check_tries(context: Context, at_most: int) -> None:
    assert 0 < context.n_tries <= at_most * len(_processes(context)), context.n_tries


@when("the plan's row changes after its next plan is decided and before it is written")
def change_plan_row(context: Context) -> None:
    world = context.world
    first = world.processes[0]
    _step_until_write(world, first, with_plan=True)
    row = world.plan_row()
    changed = Plan(0, {"other": plan_entry("other")})
    condition = Condition(PLAN_KEY, row.revision)
    world.table.rows.transact([condition], [Put(PLAN_KEY, encode_plan(changed))])
    context.changed = world.plan_row()
    first.write()


@then("the row keeps the change")
def check_kept(context: Context) -> None:
    assert context.world.plan_row() == context.changed


@then("the first planner runs for {seconds:g} seconds and builds on the change")
def check_builds_on(context: Context, seconds: float) -> None:
    first = context.world.processes[0]
    context.world.run(seconds, first)
    assert set(first.planner_state.plan.entries) == {"other", "scribe-1"}


@then("no planner holds the lease")
def check_no_holder(context: Context) -> None:
    assert context.world.holders() == []


@then("every planner still has the last plan in force")
def check_last_plan(context: Context) -> None:
    for process in _processes(context):
        assert process.planner_state.plan.revision == context.plan_before.revision


@when("the table is back and all planners run for {seconds:g} seconds")
def table_back(context: Context, seconds: float) -> None:
    context.world.table.is_down = False
    context.n_writes_before = context.world.table.n_writes
    context.world.run(seconds)


@then("the plan in force is newer on every planner")
def check_newer(context: Context) -> None:
    for process in _processes(context):
        assert process.planner_state.plan.revision > context.plan_before.revision


@then("the table was written at most {at_most:d} times since the end of the outage")
def check_writes(context: Context, at_most: int) -> None:
    n_writes = context.world.table.n_writes - context.n_writes_before
    assert n_writes <= at_most, n_writes


@when("the first planner is killed and the second runs for {seconds:g} seconds")
def kill_first(context: Context, seconds: float) -> None:
    world = context.world
    world.processes.pop(0)
    context.killed_at = world.time.now()
    context.second = world.processes[0]
    context.taken_at = context.planned_at = None
    for _ in range(round(seconds / TICK_S)):
        world.run(TICK_S)
        if context.taken_at is None and context.second.planner_state.holds_lease:
            context.taken_at = world.time.now()
        if context.planned_at is None and context.second.count_decisions("place"):
            context.planned_at = world.time.now()


@then(
    "the second planner took the lease from {at_least:g} to {at_most:g} seconds"
    " after the last renewal"
)
def check_lease_wait(context: Context, at_least: float, at_most: float) -> None:
    renewal_age_s = LEASE_S / 3 + TICK_S
    waited_s = context.taken_at - context.killed_at
    assert waited_s + renewal_age_s >= at_least, waited_s
    assert waited_s <= at_most, waited_s


@then("it wrote its first plan at least {seconds:g} seconds after taking the lease")
def check_first_plan(context: Context, seconds: float) -> None:
    assert seconds == LONGEST_ORDER_S
    assert context.planned_at - context.taken_at >= seconds


@when("the first planner is asked to stop")
def stop_first(context: Context) -> None:
    first = context.world.processes[0]
    first.put(StopRequested())
    while first.writes:
        first.write()


@when("{n_histories:d} seeded histories of {n_events:d} events are played to planners")
def run_histories(context: Context, n_histories: int, n_events: int) -> None:
    context.failures = []
    events = strategies.tuples(
        strategies.sampled_from(sorted(_EVENTS)), strategies.integers(0, 2)
    )

    # Hypothesis seeds its random choices from the source text of `history`.
    @settings(
        max_examples=n_histories,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_by(strategies.lists(events, min_size=n_events, max_size=n_events))
    def history(steps):
        world = PlannerWorld(3)
        for name, index in steps:
            _EVENTS[name](world, world.processes[index])
            world.check()
        world.table.is_down = False
        world.run(60.0)
        assert not world.violations, world.violations
        assert len(world.holders()) == 1

    try:
        history()
    except AssertionError as exc:
        context.failures.append(exc)


@then("no history broke a promise")
def check_histories(context: Context) -> None:
    assert not context.failures, context.failures


def _write_one(world, process):
    if process.writes:
        process.write()


def _write_late(world, process):
    if process.writes:
        process.writes[0].not_after = float("inf")
        process.write()


def _write_and_lose_reply(world, process):
    if process.writes:
        world.table.lose_next_reply = True
        process.write()
        world.table.lose_next_reply = False


def _toggle_outage(world, process):
    world.table.is_down = not world.table.is_down


def _restart(world, process):
    world.processes.remove(process)
    world.start()


_EVENTS = {
    "time passes": lambda world, process: world.time.advance(2.0),
    "a long time passes": lambda world, process: world.time.advance(17.0),
    "tick": lambda world, process: process.tick(),
    "tick again": lambda world, process: process.tick(),
    "write": _write_one,
    "write late": _write_late,
    "lose reply": _write_and_lose_reply,
    "read": lambda world, process: process.read(),
    "run": lambda world, process: world.run(3.0, process),
    "run all": lambda world, process: world.run(3.0),
    "restart": _restart,
    "outage begins or ends": _toggle_outage,
}


@given("{n_endpoints:d} idle endpoints in {n_domains:d} failure domains")
def make_candidates(context: Context, n_endpoints: int, n_domains: int) -> None:
    context.clock = ManualClock()
    context.policy = DemandDrivenPlacement(context.clock)
    context.plan = None
    context.n_moves = 0
    context.candidates = [
        candidate(f"e-{index:02}", domain=f"d-{index * n_domains // n_endpoints}")
        for index in range(n_endpoints)
    ]


@given("the models {names}")
def make_models(context: Context, names: str) -> None:
    context.needs = {}
    for name in names.split(", "):
        closed = name.startswith("closed ")
        model = name.removeprefix("closed ")
        context.needs[model] = model_need(model, is_open=not closed)
    for item in context.candidates:
        item.allowed = list(context.needs)


@given("weights of {n_bytes:d} bytes at {rate:d} bytes a second")
def set_weights(context: Context, n_bytes: int, rate: int) -> None:
    context.policy = DemandDrivenPlacement(context.clock, weight_bytes_per_s=rate)
    for item in context.needs.values():
        item.weight_bytes = n_bytes


def _plan_once(context):
    planner_input = PlannerInput(context.clock.now(), context.candidates, context.needs)
    draft = context.policy.place(planner_input, context.plan)
    revision = context.plan.revision if context.plan else 0
    if draft.moves:
        context.plan = Plan(revision + 1, draft.plan().entries)
    return draft.moves


@when("a plan is made")
def make_plan(context: Context) -> None:
    for _ in range(3):
        _plan_once(context)
        _load_planned_models(context)


def _load_planned_models(context):
    for item in context.candidates:
        held = context.plan.entries.get(item.endpoint)
        item.loaded = list(held.models) if held else []


def _replicas(context):
    return Counter(
        model
        for item in context.candidates
        if item.is_available
        for model in context.plan.entries[item.endpoint].models
    )


@then("all endpoints hold {model}")
def check_all_hold(context: Context, model: str) -> None:
    assert _replicas(context)[model] == len(context.candidates)


@then("every model has at least {at_least:d} replicas")
def check_replicas(context: Context, at_least: int) -> None:
    replicas = _replicas(context)
    assert all(replicas[model] >= at_least for model in context.needs), replicas


@then("every open model is in {n_domains:d} failure domains")
def check_domains(context: Context, n_domains: int) -> None:
    for model, item in context.needs.items():
        domains = {
            item.failure_domain
            for item in context.candidates
            if model in context.plan.entries[item.endpoint].models
        }
        assert not item.is_open or len(domains) >= n_domains, (model, domains)


@then("a second plan moves {n_moves:d} endpoints")
def check_second_plan(context: Context, n_moves: int) -> None:
    assert len(_plan_once(context)) == n_moves


def _set_load(context, loads):
    replicas = _replicas(context)
    for item in context.candidates:
        models = context.plan.entries[item.endpoint].models
        item.n_busy = sum(
            round(loads[model] / replicas[model] / len(models) * 10) for model in models
        )


def _run_load(context, n_plans, load_at):
    for index in range(n_plans):
        _set_load(context, load_at(index))
        context.n_moves += len(_plan_once(context))
        _load_planned_models(context)
        context.clock.advance(PLAN_INTERVAL_S)


@when(
    "the utilisation of scribe is {scribe:g} and of radgjafi {radgjafi:g}"
    " for {n_plans:d} plans"
)
def load_models(context: Context, scribe: float, radgjafi: float, n_plans: int) -> None:
    half = len(context.candidates) / 2
    loads = {"scribe": scribe * half, "radgjafi": radgjafi * half}
    _run_load(context, n_plans, lambda index: loads)


@when("the load swings between the models for {n_plans:d} plans of 5 seconds")
def oscillate_load(context: Context, n_plans: int) -> None:
    rng = random.Random(7)

    def load_at(index):
        share = 0.5 + (0.35 if index // 3 % 2 else -0.35) * rng.random()
        n_total = 0.75 * len(context.candidates)
        return {"scribe": share * n_total, "radgjafi": (1 - share) * n_total}

    _run_load(context, n_plans, load_at)


@then("the replicas of {model} differ by at most {at_most:d} between failure domains")
def check_spread(context: Context, model: str, at_most: int) -> None:
    counts = Counter({item.failure_domain: 0 for item in context.candidates})
    for item in context.candidates:
        counts[item.failure_domain] += (
            model in context.plan.entries[item.endpoint].models
        )
    assert max(counts.values()) - min(counts.values()) <= at_most, counts


@then("from {at_least:d} to {at_most:d} endpoints have moved")
def check_moves(context: Context, at_least: int, at_most: int) -> None:
    assert at_least <= context.n_moves <= at_most, f"{context.n_moves} moves"


@when("plans are made every 5 seconds until all endpoints are planned")
def plan_all(context: Context) -> None:
    for _ in range(MAX_TICKS):
        if context.plan and len(context.plan.entries) == len(context.candidates):
            return
        _plan_once(context)
        context.clock.advance(PLAN_INTERVAL_S)


@then("the planning took from {at_least:g} to {at_most:g} seconds")
def check_planning_time(context: Context, at_least: float, at_most: float) -> None:
    assert at_least <= context.clock.now() <= at_most, context.clock.now()


@given("a plan for all endpoints")
def plan_for_all(context: Context) -> None:
    plan_all(context)
    _load_planned_models(context)
    context.clock.advance(600.0)


@when("the records name other weights for {model}")
def change_weights(context: Context, model: str) -> None:
    context.needs[model].version = "v2"
    context.changes = []
    for _ in range(60):
        context.changes.append(len(_plan_once(context)))
        context.clock.advance(PLAN_INTERVAL_S)


@then("at most {at_most:d} endpoints change in one plan")
def check_rollout(context: Context, at_most: int) -> None:
    assert 0 < max(context.changes) <= at_most, context.changes


@then("in the end every endpoint of {model} has the new weights")
def check_new_weights(context: Context, model: str) -> None:
    for held in context.plan.entries.values():
        if model in held.models:
            assert held.versions == ["v2"], held


@when("a failure domain with some but not all replicas of {model} goes out of service")
def domain_out(context: Context, model: str) -> None:
    holding = [
        item
        for item in context.candidates
        if model in context.plan.entries[item.endpoint].models
    ]
    kept = holding[-1].failure_domain
    lost = {item.failure_domain for item in holding} - {kept}
    domain = sorted(lost)[0]
    for item in context.candidates:
        item.is_available = item.failure_domain != domain


@when("an endpoint is retired")
def retire(context: Context) -> None:
    context.candidates.pop()


@then("the plan contains {n_endpoints:d} endpoints")
def check_plan_size(context: Context, n_endpoints: int) -> None:
    assert len(context.plan.entries) == n_endpoints


def _minute(text):
    hours, minutes = text.split(":")
    return int(hours) * 60 + int(minutes)


@given("a service that opens on days {days} from {opens} to {closes}")
def make_service(context: Context, days: str, opens: str, closes: str) -> None:
    hours = OpeningHours(
        [int(day) for day in days.split(",")], _minute(opens), _minute(closes)
    )
    context.service = Service("s", "generation", opening_hours=[hours])


@then("on day {day:d} at {time} it is {state}")
def check_hours(context: Context, day: int, time: str, state: str) -> None:
    expected = state == "open"
    assert is_open(context.service, WeekTime(day, _minute(time))) == expected
