"""Check every promise against a history."""

from collections.abc import Callable, Iterator

from features.support.history import Caller, History
from hawthornyard.errors import ANSWERS, Ran

CLOSURE_BOUND_S = 3.0

Check = Callable[[History], Iterator[str]]


def violations(history: History) -> list[str]:
    """Return a line "promise: what was seen" for each broken promise."""
    found = []
    for promise, check in CHECKS.items():
        found += [f"{promise}: {seen}" for seen in check(history)]
    return found


def check_all(history: History) -> None:
    """Fail if any promise is broken."""
    found = violations(history)
    assert not found, "\n".join(found)


def _tokens_once(history: History) -> Iterator[str]:
    for caller in history.callers:
        numbers = [token.number for token in caller.tokens]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{caller.request_id} got tokens {numbers}"


def _one_generation(history: History) -> Iterator[str]:
    for caller in history.callers:
        attempts = {token.attempt_id for token in caller.tokens}
        if len(attempts) > 1:
            yield f"{caller.request_id} got tokens of {sorted(attempts)}"


def _own_answer(history: History) -> Iterator[str]:
    for caller in history.callers:
        runs = {run.attempt_id: run for run in history.runs_of(caller.request_id)}
        for token in caller.tokens:
            run = runs.get(token.attempt_id)
            if run is None or token.text not in run.texts[token.number - 1 :][:1]:
                yield f"{caller.request_id} got a foreign token {token.text!r}"
        if caller.body is not None and not _is_own_body(history, caller):
            yield f"{caller.request_id} got the body {caller.body!r}"


def _is_own_body(history: History, caller: Caller) -> bool:
    mates = [caller.request_id, *_mates(history, caller)]
    return any(f'"{name}"'.encode() in (caller.body or b"") for name in mates)


def _whole_answer(history: History) -> Iterator[str]:
    for caller in history.callers:
        if not caller.is_answered:
            yield f"{caller.request_id} got no answer"
        if caller.n_end is not None and caller.n_end != len(caller.tokens):
            yield f"{caller.request_id} got {len(caller.tokens)} of {caller.n_end}"
        if caller.n_end is not None and caller.tokens:
            yield from _check_length(history, caller)


def _check_length(history: History, caller: Caller) -> Iterator[str]:
    for run in history.runs_of(caller.request_id):
        if run.attempt_id != caller.tokens[0].attempt_id:
            continue
        if run.n_whole != caller.n_end:
            yield f"{caller.request_id} ended at {caller.n_end} of {run.n_whole}"


def _not_run(history: History) -> Iterator[str]:
    for caller in history.callers:
        if caller.failure is None or ANSWERS[caller.failure].ran is not Ran.NO:
            continue
        if history.runs_of(caller.request_id):
            yield f"{caller.request_id} ran, but was told {caller.failure.value}"


def _at_most_once(history: History) -> Iterator[str]:
    for caller in history.callers:
        if caller.idempotent:
            continue
        names = {caller.request_id, *_mates(history, caller)}
        runs = [run for run in history.runs if run.request_id in names]
        if len(runs) > 1:
            yield f"{caller.request_id} ran as {[run.attempt_id for run in runs]}"


def _mates(history: History, caller: Caller) -> list[str]:
    if not caller.key:
        return []
    return [other.request_id for other in history.callers if other.key == caller.key]


def _closed(history: History) -> Iterator[str]:
    for closure in history.closures:
        for run in history.runs:
            if run.endpoint != closure.endpoint:
                continue
            if closure.begins + CLOSURE_BOUND_S < run.at < closure.ends:
                yield f"{run.request_id} began at {run.endpoint}, which was out"


def _cold(history: History) -> Iterator[str]:
    for run in history.runs:
        limit = history.limits.get(run.endpoint)
        if limit is not None and run.n_running > limit:
            yield f"{run.endpoint} ran {run.n_running}, bears {limit}"


def _planned_stop(history: History) -> Iterator[str]:
    for caller in history.callers:
        if caller.must_be_whole and not caller.is_whole:
            yield f"{caller.request_id} was cut off: {caller.failure}"


def _never_reverts(history: History) -> Iterator[str]:
    for process, revisions in history.revisions.items():
        if revisions != sorted(revisions):
            yield f"{process} went through revisions {revisions}"


CHECKS: dict[str, Check] = {
    "each token once and in order": _tokens_once,
    "a single generation": _one_generation,
    "the caller's own answer": _own_answer,
    "the whole answer": _whole_answer,
    "not run means not run": _not_run,
    "at most once": _at_most_once,
    "no new work while out or leaving": _closed,
    "a cold endpoint's limit": _cold,
    "a planned stop cuts nothing": _planned_stop,
    "configuration never reverts": _never_reverts,
}
"""Check of each promise, by the name that a violation starts with."""
