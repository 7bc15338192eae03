"""Check a recorded history against every promise of the serving system."""

from collections.abc import Callable, Iterator

from features.support.history import Caller, History
from hawthornyard.errors import ANSWERS, Ran

UNAVAILABLE_GRACE_S = 3.0
"""Seconds after an endpoint becomes unavailable in which work may still start."""

Check = Callable[[History], Iterator[str]]


def find_violations(history: History) -> list[str]:
    """Return one line "promise: detail" for each violation found."""
    violations = []
    for promise, check in CHECKS.items():
        violations += [f"{promise}: {detail}" for detail in check(history)]
    return violations


def check_all(history: History) -> None:
    """Raise AssertionError, listing all violations, if any promise is broken."""
    violations = find_violations(history)
    assert not violations, "\n".join(violations)


def _check_token_sequence(history: History) -> Iterator[str]:
    for caller in history.callers:
        numbers = [token.number for token in caller.tokens]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{caller.request_id} got tokens {numbers}"


def _check_single_generation(history: History) -> Iterator[str]:
    for caller in history.callers:
        attempts = {token.attempt_id for token in caller.tokens}
        if len(attempts) > 1:
            yield f"{caller.request_id} got tokens of {sorted(attempts)}"


def _check_own_response(history: History) -> Iterator[str]:
    for caller in history.callers:
        runs = {run.attempt_id: run for run in history.runs_of(caller.request_id)}
        for token in caller.tokens:
            run = runs.get(token.attempt_id)
            if run is None or token.text not in run.texts[token.number - 1 :][:1]:
                yield f"{caller.request_id} got a token not its own: {token.text!r}"
        if caller.body is not None and not _has_own_body(history, caller):
            yield f"{caller.request_id} got a body not its own: {caller.body!r}"


def _has_own_body(history: History, caller: Caller) -> bool:
    request_ids = [caller.request_id, *_request_ids_with_same_key(history, caller)]
    return any(
        f'"{request_id}"'.encode() in (caller.body or b"") for request_id in request_ids
    )


def _check_complete_response(history: History) -> Iterator[str]:
    for caller in history.callers:
        if not caller.is_answered:
            yield f"{caller.request_id} got no answer"
        if caller.n_reported_tokens is not None and caller.n_reported_tokens != len(
            caller.tokens
        ):
            yield (
                f"{caller.request_id} got {len(caller.tokens)} tokens"
                f" of {caller.n_reported_tokens}"
            )
        if caller.n_reported_tokens is not None and caller.tokens:
            yield from _check_final_length(history, caller)


def _check_final_length(history: History, caller: Caller) -> Iterator[str]:
    for run in history.runs_of(caller.request_id):
        if run.attempt_id != caller.tokens[0].attempt_id:
            continue
        if run.n_final_tokens != caller.n_reported_tokens:
            yield (
                f"{caller.request_id} ended after {caller.n_reported_tokens}"
                f" of {run.n_final_tokens} tokens"
            )


def _check_not_run(history: History) -> Iterator[str]:
    for caller in history.callers:
        if caller.failure is None or ANSWERS[caller.failure].ran is not Ran.NO:
            continue
        if history.runs_of(caller.request_id):
            yield f"{caller.request_id} ran, but got the error {caller.failure.value}"


def _check_at_most_once(history: History) -> Iterator[str]:
    for caller in history.callers:
        if caller.idempotent:
            continue
        request_ids = {caller.request_id, *_request_ids_with_same_key(history, caller)}
        runs = [run for run in history.runs if run.request_id in request_ids]
        if len(runs) > 1:
            yield f"{caller.request_id} ran as {[run.attempt_id for run in runs]}"


def _request_ids_with_same_key(history: History, caller: Caller) -> list[str]:
    if not caller.key:
        return []
    return [other.request_id for other in history.callers if other.key == caller.key]


def _check_no_work_while_unavailable(history: History) -> Iterator[str]:
    for period in history.unavailable_periods:
        for run in history.runs:
            if run.endpoint != period.endpoint:
                continue
            if period.starts_at + UNAVAILABLE_GRACE_S < run.started_at < period.ends_at:
                yield f"{run.request_id} started on unavailable {run.endpoint}"


def _check_concurrency_limit(history: History) -> Iterator[str]:
    for run in history.runs:
        limit = history.concurrency_limits.get(run.endpoint)
        if limit is not None and run.n_running > limit:
            yield f"{run.endpoint} ran {run.n_running} attempts, limit {limit}"


def _check_planned_stop(history: History) -> Iterator[str]:
    for caller in history.callers:
        if caller.must_complete and not caller.is_complete:
            yield f"{caller.request_id} did not complete: {caller.failure}"


def _check_config_never_reverts(history: History) -> Iterator[str]:
    for process, revisions in history.revisions.items():
        if revisions != sorted(revisions):
            yield f"{process} applied revisions out of order: {revisions}"


CHECKS: dict[str, Check] = {
    "each token once and in order": _check_token_sequence,
    "a single generation": _check_single_generation,
    "the caller's own answer": _check_own_response,
    "the whole answer": _check_complete_response,
    "not run means not run": _check_not_run,
    "at most once": _check_at_most_once,
    "no new work while out or leaving": _check_no_work_while_unavailable,
    "a cold endpoint's limit": _check_concurrency_limit,
    "a planned stop cuts nothing": _check_planned_stop,
    "configuration never reverts": _check_config_never_reverts,
}
"""Checks by promise; each violation line starts with the promise's name."""
