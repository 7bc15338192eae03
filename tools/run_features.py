"""Run behave features in parallel and count their scenarios.

A scenario that KNOWN-RED.txt lists may fail and is printed. Every other failure
makes the run fail.
"""

import json
import os
import select
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REPORTS = ROOT / "reports"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
N_WORKERS = 4
ALONE = frozenset({"costly_callers", "uncontrolled_clients"})
"""Features that measure the memory of processes; they run one at a time, last."""
FEATURE_TIMEOUT_S = 900


class FeatureRun:
    """A behave process that runs one feature file.

    Attributes:
        feature: Path of the feature file.
        process: The process.
        pidfd: File descriptor that becomes readable when the process exits.
        deadline: Monotonic seconds at which the process is killed.
    """

    __slots__ = ("deadline", "feature", "pidfd", "process")

    def __init__(self, feature: Path) -> None:
        self.feature = feature
        self.process = _start(feature)
        self.pidfd = os.pidfd_open(self.process.pid)
        self.deadline = time.monotonic() + FEATURE_TIMEOUT_S


def main(args: list[str]) -> int:
    """Run the feature files in `args`, by default all."""
    REPORTS.mkdir(exist_ok=True)
    features = [Path(arg) for arg in args] or sorted(ROOT.glob("features/*.feature"))
    alone = [feature for feature in features if feature.stem in ALONE]
    beside = [feature for feature in features if feature.stem not in ALONE]
    results = _run(beside, N_WORKERS) + _run(alone, 1)
    return _report(results)


def _run(waiting: list[Path], n_workers: int) -> list[tuple[str, str]]:
    running: list[FeatureRun] = []
    results: list[tuple[str, str]] = []
    while waiting or running:
        while waiting and len(running) < n_workers:
            running.append(FeatureRun(waiting.pop(0)))
        for run in _wait(running):
            running.remove(run)
            results.extend(_finish(run))
    return results


def _start(feature: Path) -> subprocess.Popen[bytes]:
    # The report of an earlier run must not be taken for that of an aborted one.
    _json_path(feature).unlink(missing_ok=True)
    log = (REPORTS / f"{feature.stem}.log").open("wb")
    command = [sys.executable, "-W", "ignore", "-m", "behave", "--no-capture"]
    command += ["--format", "plain", "--outfile", "/dev/stdout"]
    command += ["--format", "json", "--outfile", str(_json_path(feature))]
    command.append(str(feature))
    environ = {**os.environ, "PYTHONHASHSEED": "0"}
    return subprocess.Popen(
        command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT, env=environ
    )


def _wait(running: list[FeatureRun]) -> list[FeatureRun]:
    next_deadline = min(run.deadline for run in running)
    pidfds = [run.pidfd for run in running]
    ready, _, _ = select.select(
        pidfds, [], [], max(0.0, next_deadline - time.monotonic())
    )
    if ready:
        return [run for run in running if run.pidfd in ready]
    timed_out = [run for run in running if run.deadline <= time.monotonic()]
    for run in timed_out:
        run.process.kill()
    return timed_out


def _finish(run: FeatureRun) -> list[tuple[str, str]]:
    os.close(run.pidfd)
    name = run.feature.stem
    if run.process.wait() < 0:
        return [(f"{name}: the whole feature", "killed or timed out")]
    try:
        report = json.loads(_json_path(run.feature).read_text())
    except (OSError, ValueError):
        return [(f"{name}: the whole feature", "no report")]
    results = [
        # behave appends a blank to the name of each example of an outline.
        (f"{name}: {element['name'].strip()}", element.get("status", "untested"))
        for part in report
        for element in part.get("elements", ())
        if element["type"] == "scenario"
    ]
    n_passed = sum(status == "passed" for _, status in results)
    print(f"{name}: {n_passed} of {len(results)} passed", flush=True)
    return results or [(f"{name}: the whole feature", "no scenario ran")]


def _json_path(feature: Path) -> Path:
    return REPORTS / f"{feature.stem}.json"


def _report(results: list[tuple[str, str]]) -> int:
    known_red = _known_red()
    failed = [(name, status) for name, status in results if status != "passed"]
    for name, status in failed:
        label = "known red" if name in known_red else "FAILED"
        print(f"{label}: {name} ({status}); see reports/{name.split(':')[0]}.log")
    for name in sorted(known_red - {name for name, _ in failed}):
        print(f"known red but passing, or not run: {name}")
    counts = f"{len(results) - len(failed)} passed, {len(failed)} failed"
    (REPORTS / "counts.txt").write_text(counts + "\n")
    print(counts)
    unknown = [name for name, _ in failed if name not in known_red]
    return 1 if unknown or not results else 0


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
