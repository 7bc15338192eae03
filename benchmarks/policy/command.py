"""Command line of the policy benchmark."""

import multiprocessing
import statistics
import sys
from collections.abc import Sequence
from pathlib import Path

import cyclopts

from hawthornyard.core import Message

from .ablation import ABLATIONS
from .deployment import DEPLOYMENTS, HOFUDBORG, KINGSTON, SINGLE
from .experiment import OURS, POLICIES, Result, SystemFactory, run
from .report import plot, table
from .scenario import SCENARIOS

REPORTS = Path(__file__).resolve().parent.parent.parent / "reports"
N_DEFAULT_SEEDS = 2
MAX_QUICK_SEEDS = 1
QUICK_SCENARIOS = ("load 0.8", "load 1.0")
SCHEDULER_FACTORIES = {
    **POLICIES,
    **{name: SystemFactory(variant) for name, variant in ABLATIONS.items()},
}
app = cyclopts.App(name="benchmarks", help="Measure the policy's decisions.")


class RunTask(Message):
    """One run to execute.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of the run.
    """

    __slots__ = ("deployment", "scenario", "policy", "seed")

    def __init__(self, deployment: str, scenario: str, policy: str, seed: int) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.seed = seed


@app.default
def bench(
    *,
    seeds: int = N_DEFAULT_SEEDS,
    quick: bool = False,
    deployment: str = "",
    scenario: str = "",
    ablate: bool = False,
    jobs: int = 1,
) -> None:
    """Print the result tables, and write them with a plot to reports/.

    Args:
        seeds: Number of seeds; each policy runs once per seed and scenario.
        quick: Run one seed of the two main loads only.
        deployment: Run this deployment only.
        scenario: Run this scenario only.
        ablate: Compare with ablations of the system instead of the baselines.
        jobs: Number of parallel processes.
    """
    seeds = min(seeds, MAX_QUICK_SEEDS) if quick else seeds
    deployments = [deployment] if deployment else [SINGLE, KINGSTON, HOFUDBORG]
    scenarios = (
        [scenario] if scenario else list(QUICK_SCENARIOS if quick else SCENARIOS)
    )
    policies = [OURS, *ABLATIONS] if ablate else list(POLICIES)
    tasks = [
        RunTask(deployment_name, scenario_name, policy, seed)
        for deployment_name in deployments
        for scenario_name in scenarios
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    results = _run_all(tasks, jobs)
    _write_report(tasks, results, "ablation" if ablate else "policy")


def _run_all(tasks: Sequence[RunTask], jobs: int) -> list[Result]:
    results = []
    with multiprocessing.Pool(jobs) as pool:
        for result in pool.imap(_run, tasks):
            results.append(result)
            sys.stderr.write(f"\r{len(results)} of {len(tasks)} runs")
            sys.stderr.flush()
    sys.stderr.write("\n")
    return results


def _run(task: RunTask) -> Result:
    return run(
        SCHEDULER_FACTORIES[task.policy],
        DEPLOYMENTS[task.deployment],
        SCENARIOS[task.scenario],
        task.seed,
    )


def _write_report(
    tasks: Sequence[RunTask], results: Sequence[Result], name: str
) -> None:
    titles, tables = [], []
    by_title: dict[str, dict[str, list[Result]]] = {}
    for task, result in zip(tasks, results, strict=True):
        by_policy = by_title.setdefault(f"{task.deployment}, {task.scenario}", {})
        by_policy.setdefault(task.policy, []).append(result)
    texts = []
    for title, by_policy in by_title.items():
        scores = {
            policy: [result.score for result in runs]
            for policy, runs in by_policy.items()
        }
        calibrations = [run.calibration or 0.0 for run in by_policy[OURS]]
        titles.append(title)
        tables.append(scores)
        texts.append(table(title, scores, OURS))
        texts.append(
            f"-- stated 0.9 quantile held: {statistics.fmean(calibrations):.3f}\n"
        )
    REPORTS.mkdir(exist_ok=True)
    text = "\n".join(texts)
    (REPORTS / f"bench-{name}.txt").write_text(text)
    plot(REPORTS / f"bench-{name}.png", titles, tables)
    print(text)
