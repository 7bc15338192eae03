"""Run all behave features and count their scenarios.

A scenario that KNOWN-RED.txt names may fail; it is printed. Every other
failure makes the run fail.
"""

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REPORTS = ROOT / "reports"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
N_WORKERS = 4
FEATURE_TIMEOUT_S = 900


def main(args: list[str]) -> int:
    """Run the features named in `args`, all by default."""
    REPORTS.mkdir(exist_ok=True)
    features = [Path(arg) for arg in args] or sorted(ROOT.glob("features/*.feature"))
    results: list[tuple[str, str]] = []
    for start in range(0, len(features), N_WORKERS):
        results.extend(_run_group(features[start : start + N_WORKERS]))
    return _report(results)


def _run_group(features: list[Path]) -> list[tuple[str, str]]:
    running = [(feature, _start(feature)) for feature in features]
    results = []
    for feature, process in running:
        results.extend(_finish(feature, process))
    return results


def _start(feature: Path) -> subprocess.Popen[bytes]:
    # A run that breaks off must not be taken for an earlier one.
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


def _finish(feature: Path, process: subprocess.Popen[bytes]) -> list[tuple[str, str]]:
    try:
        process.wait(FEATURE_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return [(f"{feature.stem}: the whole feature", "timed out")]
    try:
        report = json.loads(_json_path(feature).read_text())
    except (OSError, ValueError):
        return [(f"{feature.stem}: the whole feature", "no report")]
    results = [
        (f"{feature.stem}: {element['name']}", element.get("status", "untested"))
        for part in report
        for element in part.get("elements", ())
        if element["type"] == "scenario"
    ]
    return results or [(f"{feature.stem}: the whole feature", "no scenario ran")]


def _json_path(feature: Path) -> Path:
    return REPORTS / f"{feature.stem}.json"


def _report(results: list[tuple[str, str]]) -> int:
    known = _known_red()
    failed = [(name, status) for name, status in results if status != "passed"]
    for name, status in failed:
        label = "known red" if name in known else "FAILED"
        print(f"{label}: {name} ({status}); see reports/{name.split(':')[0]}.log")
    for name in sorted(known - {name for name, _ in failed}):
        print(f"known red but passing, or not run: {name}")
    counts = f"{len(results) - len(failed)} passed, {len(failed)} failed"
    (REPORTS / "counts.txt").write_text(counts + "\n")
    print(counts)
    unknown = [name for name, _ in failed if name not in known]
    return 1 if unknown or not results else 0


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
