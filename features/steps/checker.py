"""Steps that give the checker a history with a violation of each promise."""

from collections.abc import Callable

from behave import then, when
from behave.runner import Context

from features.support.checker import find_violations
from features.support.history import Caller, History, Run, Token, UnavailablePeriod
from hawthornyard.errors import ErrorKind


@when("a history shows {violation}")
def record_violation(context: Context, violation: str) -> None:
    context.history = History()
    _VIOLATIONS[violation](context.history)


@then('the checker reports only "{promise}"')
def check_caught(context: Context, promise: str) -> None:
    found = {line.split(": ")[0] for line in find_violations(context.history)}
    assert found == {promise}, found


@then("the checker reports nothing")
def check_nothing(context: Context) -> None:
    found = find_violations(context.history)
    assert not found, found


def _add_stream(
    history: History, numbers: list[int], *, n_reported_tokens: int | None = 3
) -> Caller:
    run = Run("r", "a", "engine")
    run.texts = ["a/1", "a/2", "a/3"]
    run.n_final_tokens = 3
    history.runs.append(run)
    caller = Caller("r")
    caller.tokens = [Token("a", number, f"a/{number}") for number in numbers]
    caller.n_reported_tokens = n_reported_tokens
    history.callers.append(caller)
    return caller


def _missing_token(history: History) -> None:
    _add_stream(history, [1, 3], n_reported_tokens=None).is_disconnected = True


def _add_badge_issue(history: History, request_id: str, *, key: str = "") -> Caller:
    history.runs.append(Run(request_id, f"attempt of {request_id}", "service"))
    caller = Caller(request_id, idempotent=False, key=key)
    caller.body = f'{{"request": "{request_id}"}}'.encode()
    history.callers.append(caller)
    return caller


def _two_generations(history: History) -> None:
    caller = _add_stream(history, [1, 2, 3])
    other_run = Run("r", "b", "engine")
    other_run.texts = ["b/1", "b/2", "b/3"]
    history.runs.append(other_run)
    caller.tokens[2] = Token("b", 3, "b/3")


def _foreign_token(history: History) -> None:
    _add_stream(history, [1, 2, 3]).tokens[1].text = "x/2"


def _foreign_answer(history: History) -> None:
    _add_badge_issue(history, "r").body = b'{"request": "other"}'


def _early_end(history: History) -> None:
    _add_stream(history, [1, 2], n_reported_tokens=2)


def _refused_but_ran(history: History) -> None:
    _add_badge_issue(history, "r").body = None
    history.callers[0].failure = ErrorKind.OVERLOADED


def _run_twice(history: History) -> None:
    _add_badge_issue(history, "r")
    history.runs.append(Run("r", "another attempt", "service"))


def _two_runs_with_one_key(history: History) -> None:
    _add_badge_issue(history, "r", key="k")
    _add_badge_issue(history, "s", key="k")


def _run_while_out(history: History) -> None:
    _add_badge_issue(history, "r")
    history.unavailable_periods.append(UnavailablePeriod("service", 10.0))
    history.runs[0].started_at = 13.5


def _over_limit(history: History) -> None:
    _add_badge_issue(history, "r")
    history.concurrency_limits["service"] = 1
    history.runs[0].n_running = 2


def _cut_by_stop(history: History) -> None:
    caller = _add_badge_issue(history, "r")
    caller.body = None
    caller.is_disconnected = True
    caller.must_complete = True


def _reverted_configuration(history: History) -> None:
    history.revisions["gateway-1"] = [3, 5, 4]


def _no_violation(history: History) -> None:
    _add_stream(history, [1, 2, 3])
    _add_badge_issue(history, "s", key="k")


_VIOLATIONS: dict[str, Callable[[History], object]] = {
    "a token twice": lambda history: _add_stream(history, [1, 2, 2]),
    "a token missing": _missing_token,
    "tokens out of order": lambda history: _add_stream(history, [1, 3, 2]),
    "tokens of two generations": _two_generations,
    "a token of another request": _foreign_token,
    "the answer of another request": _foreign_answer,
    "an end before the last token": _early_end,
    "a caller without an answer": lambda history: _add_stream(
        history, [1], n_reported_tokens=None
    ),
    "a refusal of a request that ran": _refused_but_ran,
    "a badge issue run twice": _run_twice,
    "two badge issues with one key": _two_runs_with_one_key,
    "new work where the domain is out": _run_while_out,
    "a cold endpoint over its limit": _over_limit,
    "a request cut off by a stop": _cut_by_stop,
    "a configuration that reverts": _reverted_configuration,
    "nothing wrong": _no_violation,
}
