"""Steps on the feeds of the platform's store."""

from behave import then, when
from behave.runner import Context

from hawthornyard.core import Decision
from hawthornyard.edge.messages import StoreFailed

FEED = "operator"
VERSION = 5


def _logged(context: Context, name: str) -> list[Decision]:
    return [msg for msg in context.edge.messages_of(Decision) if msg.name == name]


@when(
    "calls of the operator feed fail every {interval_s:g} s for {seconds:g} s "
    "with {n:d} bytes received"
)
def fail_calls(context: Context, interval_s: float, seconds: float, n: int) -> None:
    edge = context.edge
    until = edge.clock.now() + seconds
    while edge.clock.now() < until:
        sent_at = edge.clock.now()
        edge.push(
            StoreFailed(FEED, "cut", sent_at, after_version=VERSION, n_received=n)
        )
        edge.advance(interval_s)


@then("the log tells {n_lost:d} store_lost and {n_failed:d} store_call_failed")
def check_failed_calls(context: Context, n_lost: int, n_failed: int) -> None:
    lost, failed = _logged(context, "store_lost"), _logged(context, "store_call_failed")
    assert (len(lost), len(failed)) == (n_lost, n_failed), (lost, failed)
    context.decisions = lost + failed


@then("each of these tells version {version:d} and {n:d} bytes")
def check_details(context: Context, version: int, n: int) -> None:
    for decision in context.decisions:
        details = decision.details
        assert details["after_version"] == version, details
        assert details["n_received"] == n, details


@when(
    "version {version:d} comes into force {seconds:g} s after the store's answer began"
)
def apply_late(context: Context, version: int, seconds: float) -> None:
    answered_at = context.edge.clock.now()
    context.edge.advance(seconds)
    context.edge.push_deployment(version, answered_at=answered_at)


@then("the log tells that it was applied after {seconds:g} s")
def check_applied(context: Context, seconds: float) -> None:
    decision = _logged(context, "deployment")[-1]
    assert decision.details["applied_s"] == seconds, decision
