"""Check the guarantees against what callers received and endpoints ran."""

from collections.abc import Callable, Iterator, Mapping, Sequence

from .deployment import (
    COLD_BURST_REQUESTS,
    COLD_RATE_FACTOR,
    COLD_REQUESTS_PER_S,
    CONFIG_LIMIT_S,
    CONTACT_DELAY_S,
    DEADLY_PART,
    DRAIN_LIMIT_S,
    KEYS,
    MAX_DEADLY_CRASHES,
    MAX_LATE_DEADLY_RUNS,
    N_EVENTS,
    RECOVERY_LIMIT_S,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_SLACK,
    RETRY_BUDGET_WINDOW_S,
    REVOKE_LIMIT_S,
    SERVICES,
    TIMEOUTS_S,
)
from .fault_spans import STORE
from .record import Attempt, Execution
from .world import World

EVACUATION_LIMIT_S = 5.0
"""Time after which a failure domain taken out of service must get no new request."""
CANCEL_LIMIT_S = 0.5
"""Time after which nothing may start or run for a caller that disconnected."""
MAX_LATE_CANCEL_SHARE = 0.25
"""Share of executions that may run on past `CANCEL_LIMIT_S`."""
MIN_SERVED_SHARE = 0.25
"""Share of requests that must be served after `RECOVERY_LIMIT_S`."""
MAX_ATTEMPTS = 2
"""Executions that an idempotent request may have."""
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request was not run."""

ExecutionsById = Mapping[str, Sequence[Execution]]


def check_all(
    world: World, executions_by_id: ExecutionsById, faults_ended_at: float
) -> list[str]:
    """Return the violations found, one line each.

    Args:
        world: The deployment and the attempts of its callers.
        executions_by_id: Executions at the endpoints by request id.
        faults_ended_at: Monotonic seconds at which the last fault ended.
    """
    checks: tuple[Callable[[World, ExecutionsById], Iterator[str]], ...] = (
        _check_run_count,
        _check_refusals_not_run,
        _check_event_order,
        _check_answers,
        _check_identity,
        _check_configuration,
        _check_deadly_part,
        _check_draining_endpoints,
        _check_announced_leavings,
        _check_domains_out,
        _check_cold_endpoints,
        _check_cancellation,
        _check_retry_budget,
        _check_planned_stops,
        _check_unanswered,
        _check_processes,
    )
    violations = [line for check in checks for line in check(world, executions_by_id)]
    return violations + list(_check_recovery(world, faults_ended_at))


def _check_run_count(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    for attempt in world.attempts:
        first_runs = [
            execution
            for execution in executions_by_id.get(attempt.request_id, ())
            if not execution.is_resumed
        ]
        allowed = MAX_ATTEMPTS if attempt.kind == "lookup" else 1
        if len(first_runs) > allowed:
            yield f"executed {len(first_runs)} times: {attempt} {first_runs}"


def _check_refusals_not_run(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    for attempt in world.attempts:
        executions = executions_by_id.get(attempt.request_id)
        if (
            attempt.status in _NOT_RUN_STATUSES
            and attempt.kind != "lookup"
            and executions
        ):
            yield f"refused as not run, but was run: {attempt} {executions}"


def _check_event_order(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    for attempt in world.attempts:
        if attempt.events != list(range(1, len(attempt.events) + 1)):
            yield f"events out of order: {attempt}"
        is_complete = attempt.kind == "summary" and attempt.status == 200
        if (
            is_complete
            and attempt.outcome == "whole"
            and len(attempt.events) != N_EVENTS
        ):
            yield f"complete stream of {len(attempt.events)} events: {attempt}"


def _check_answers(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    for attempt in world.attempts:
        if attempt.outcome == "whole" and attempt.problem:
            yield f"wrong signature or event: {attempt}"


def _check_identity(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    for attempt in world.attempts:
        for execution in executions_by_id.get(attempt.request_id, ()):
            if execution.team != KEYS[attempt.key] or execution.has_key:
                yield f"wrong team or key forwarded: {attempt} {execution}"
            if (
                execution.service != SERVICES[attempt.kind]
                or execution.path != attempt.path
            ):
                yield f"ran at the wrong service or path: {attempt} {execution}"


def _check_configuration(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    for attempt in world.attempts:
        executions = executions_by_id.get(attempt.request_id)
        for index, version in enumerate(world.versions):
            following = world.versions[index + 1 :]
            replaced_at = following[0].acknowledged_at if following else float("inf")
            ended_at = attempt.ended_at or attempt.sent_at
            if not version.acknowledged_at < attempt.sent_at or ended_at > replaced_at:
                continue
            age_s = attempt.sent_at - version.acknowledged_at
            if (
                attempt.key not in version.keys
                and executions
                and age_s > REVOKE_LIMIT_S
            ):
                yield (
                    f"ran {age_s:.2f} s after its key was revoked: "
                    f"{attempt} {executions}"
                )
            if age_s <= CONFIG_LIMIT_S or not _had_store_contact(world, attempt):
                continue
            if attempt.kind in version.removed_kinds and executions:
                yield (
                    f"ran {age_s:.2f} s after its route was removed: "
                    f"{attempt} {executions}"
                )
            is_allowed = (
                attempt.kind not in version.removed_kinds
                and attempt.key in version.keys
            )
            if is_allowed and attempt.status in (401, 403, 404):
                yield f"refused {age_s:.2f} s after it was allowed: {attempt}"


def _check_draining_endpoints(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    for attempt, execution in _attempts_with_executions(world, executions_by_id):
        draining_at = world.draining_since.get(execution.endpoint)
        if (
            draining_at is not None
            and execution.started_at > draining_at + DRAIN_LIMIT_S
            and _had_store_contact(world, attempt)
        ):
            yield (
                f"sent {execution.started_at - draining_at:.2f} s after the endpoint "
                f"announced its stop: {attempt} {execution}"
            )


def _check_announced_leavings(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    # Unlike the store's news, this binds a gateway out of touch as well.
    told_at: dict[tuple[str, str], float] = {}
    for attempt in sorted(world.attempts, key=lambda item: item.sent_at):
        executions = executions_by_id.get(attempt.request_id)
        if executions and attempt.told_leaving_at is not None:
            pair = (attempt.gateway, executions[-1].endpoint)
            told_at.setdefault(pair, attempt.told_leaving_at)
    for attempt, execution in _attempts_with_executions(world, executions_by_id):
        since = told_at.get((attempt.gateway, execution.endpoint))
        if (
            since is not None
            and attempt.sent_at > since + DRAIN_LIMIT_S
            and execution.endpoint in world.draining_since
            and world.fault_spans.is_steady(attempt.gateway, since, attempt.sent_at)
        ):
            yield (
                f"sent {attempt.sent_at - since:.2f} s after an answer said that the "
                f"endpoint leaves: {attempt} {execution}"
            )


def _check_deadly_part(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    if len(world.deadly_crashes) < MAX_DEADLY_CRASHES:
        return
    limit = world.deadly_crashes[MAX_DEADLY_CRASHES - 1] + CONTACT_DELAY_S
    late = [
        (attempt, execution)
        for attempt, execution in _attempts_with_executions(world, executions_by_id)
        if DEADLY_PART in attempt.prefix
        and execution.started_at > limit
        and _had_store_contact(world, attempt)
    ]
    if len(late) > MAX_LATE_DEADLY_RUNS:
        yield f"{len(late)} prompts with the deadly part ran too late: {late[:4]}"


def _check_domains_out(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    domains = {endpoint.name: endpoint.domain for endpoint in world.endpoints}
    for attempt, execution in _attempts_with_executions(world, executions_by_id):
        for domain, out_at, back_at in world.domain_outages:
            is_late = out_at + EVACUATION_LIMIT_S < execution.started_at < back_at
            if domains[execution.endpoint] == domain and is_late:
                if _had_store_contact(world, attempt):
                    yield f"sent to out-of-service {domain}: {attempt} {execution}"


def _check_cold_endpoints(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    allowed = COLD_REQUESTS_PER_S * COLD_RATE_FACTOR + COLD_BURST_REQUESTS
    for endpoint in world.endpoints:
        times = sorted(
            execution.started_at
            for executions in executions_by_id.values()
            for execution in executions
            if execution.endpoint == endpoint.name
            and endpoint.cold_until - 1.0 <= execution.started_at < endpoint.cold_until
        )
        if len(times) > allowed:
            yield f"{len(times)} requests in 1 s at cold endpoint {endpoint.name}"


def _check_cancellation(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    abandoned = [
        (attempt, execution)
        for attempt, execution in _attempts_with_executions(world, executions_by_id)
        if attempt.outcome == "left" and _had_store_contact(world, attempt)
    ]
    late_runs = []
    for attempt, execution in abandoned:
        disconnected_at = attempt.ended_at or 0.0
        # A paused endpoint reads, once it continues, what was sent before the
        # disconnect.
        if not world.fault_spans.is_fault_free(
            attempt.sent_at, execution.started_at + 1.0, execution.endpoint
        ):
            continue
        if execution.started_at > disconnected_at + CANCEL_LIMIT_S:
            yield f"started after its caller disconnected: {attempt} {execution}"
        if (execution.ended_at or 0.0) > disconnected_at + CANCEL_LIMIT_S:
            late_runs.append((attempt, execution))
    if len(late_runs) > 3 and len(late_runs) > MAX_LATE_CANCEL_SHARE * len(abandoned):
        yield (
            f"{len(late_runs)} of {len(abandoned)} ran on after a disconnect: "
            f"{late_runs[0]}"
        )


def _check_retry_budget(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    for service in set(SERVICES.values()):
        times = sorted(attempt.sent_at for attempt in world.attempts if attempt.sent_at)
        repeats = sorted(
            execution.started_at
            for executions in executions_by_id.values()
            for execution in executions[1:]
            if execution.service == service and not execution.is_resumed
        )
        for index, window_start in enumerate(repeats):
            in_window = [
                at
                for at in repeats[index:]
                if at < window_start + RETRY_BUDGET_WINDOW_S
            ]
            n_attempts = sum(
                window_start - 1.0 <= at < window_start + RETRY_BUDGET_WINDOW_S
                for at in times
            )
            if len(in_window) > RETRY_BUDGET_RATIO * n_attempts + RETRY_BUDGET_SLACK:
                yield (
                    f"{len(in_window)} retries at {service} in the window "
                    f"from {window_start:.2f} s"
                )


def _check_planned_stops(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[str]:
    for attempt in world.attempts:
        executions = executions_by_id.get(attempt.request_id, ())
        if attempt.kind == "summary" or attempt.outcome != "cut" or not executions:
            continue
        names = {execution.endpoint for execution in executions} | {
            attempt.gateway,
            STORE,
        }
        if world.fault_spans.is_planned_stop_only(attempt, names, CONTACT_DELAY_S):
            yield f"connection lost to a planned stop: {attempt} {executions}"


def _check_unanswered(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    for attempt in world.attempts:
        if attempt.outcome == "unanswered" and _had_store_contact(world, attempt):
            waited_s = (attempt.ended_at or 0.0) - attempt.sent_at
            limit_s = TIMEOUTS_S[attempt.kind]
            yield f"no answer after {waited_s:.2f} s of {limit_s:g}: {attempt}"


def _check_processes(world: World, executions_by_id: ExecutionsById) -> Iterator[str]:
    for gateway in world.gateways:
        if not gateway.process.is_running:
            yield f"{gateway.name} exited unexpectedly"
        if "Traceback" in gateway.process.log_text():
            yield f"{gateway.name} logged a traceback"


def _check_recovery(world: World, faults_ended_at: float) -> Iterator[str]:
    late = [
        attempt
        for attempt in world.attempts
        if attempt.sent_at > faults_ended_at + RECOVERY_LIMIT_S
        and attempt.outcome != "left"
    ]
    ended = [attempt for attempt in late if attempt.ended_at is not None]
    served = [
        attempt
        for attempt in ended
        if attempt.status == 200 and attempt.outcome == "whole"
    ]
    if not ended or len(served) < MIN_SERVED_SHARE * len(ended):
        yield f"{len(served)} of {len(ended)} requests served after the recovery limit"


def _attempts_with_executions(
    world: World, executions_by_id: ExecutionsById
) -> Iterator[tuple[Attempt, Execution]]:
    for attempt in world.attempts:
        for execution in executions_by_id.get(attempt.request_id, ()):
            yield attempt, execution


def _had_store_contact(world: World, attempt: Attempt) -> bool:
    ended_at = attempt.ended_at or attempt.sent_at
    start = attempt.sent_at - CONTACT_DELAY_S
    return world.fault_spans.is_fault_free(start, ended_at, attempt.gateway, STORE)
