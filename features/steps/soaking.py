"""Steps that run the soak test as a process."""

import subprocess
import sys

from behave import then, when
from behave.runner import Context

from features.support.processes import ROOT

TIMEOUT_S = 400.0


@when("the soak runs with seed {seed:d} and {seconds:g} seconds of faults")
def run_seed(context: Context, seed: int, seconds: float) -> None:
    _run_soak(context, "--seeds", str(seed), "--harm-s", str(seconds))


@when(
    "the soak runs with seed {seed:d}, {seconds:g} seconds of faults and a deadly part"
)
def run_tainted_seed(context: Context, seed: int, seconds: float) -> None:
    _run_soak(context, "--seeds", str(seed), "--harm-s", str(seconds), "--deadly-part")


@when("the soak runs with the kept seeds")
def run_kept_seeds(context: Context) -> None:
    _run_soak(context, "--kept")


@then("the soak reports no broken promise")
def check_no_violation(context: Context) -> None:
    assert context.soak.returncode == 0, context.soak.stdout[-5000:]


def _run_soak(context: Context, *args: str) -> None:
    context.soak = subprocess.run(
        [sys.executable, "-m", "soak", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=TIMEOUT_S,
    )
