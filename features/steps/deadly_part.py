"""Steps that run real processes with a part of prompts that ends endpoints."""

import subprocess
import sys

from behave import then, when
from behave.runner import Context

from features.support.processes import ROOT

TIMEOUT_S = 90.0


@when("a part of some prompts ends endpoints, which shows as {end}")
def run_processes(context: Context, end: str) -> None:
    # A process of its own, since the callers need eventlet's hub to themselves.
    result = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "features.support.deadly_part", end],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert result.returncode == 0, result.stderr[-3000:]
    counts = result.stdout.split()
    context.n_crashes, context.n_late, context.n_sound = map(int, counts)


@then("at most {n:d} prompts with it reach endpoints once gateways must agree on it")
def check_late(context: Context, n: int) -> None:
    assert context.n_crashes >= 2, "the part ended too few endpoints to be noticed"
    assert context.n_late <= n, (context.n_late, context.n_crashes)


@then("prompts without the part are answered")
def check_sound(context: Context) -> None:
    assert context.n_sound > 0
