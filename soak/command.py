"""Run seeds from the command line."""

import time
from pathlib import Path
from typing import Annotated

import cyclopts
import yaml
from loguru import logger

from .soak import SeedResult, soak

SEEDS_FILE = Path(__file__).parent / "seeds.yaml"
FAULT_WINDOW_S = 10.0

app = cyclopts.App(name="soak", help="Soak gateways of the platform in faults.")


@app.default
def run(
    *,
    seeds: Annotated[
        list[int] | None, cyclopts.Parameter(consume_multiple=True)
    ] = None,
    first: int = 1,
    count: int = 0,
    kept: bool = False,
    harm_s: float = FAULT_WINDOW_S,
    folder: Path = Path("reports/soak"),
) -> int:
    """Run seeds one after another; the exit status tells whether all held.

    Args:
        seeds: Seeds to run.
        first: First of a range of seeds.
        count: How many seeds of the range.
        kept: Whether to run the seeds that failed once, from soak/seeds.yaml.
        harm_s: Seconds in which faults begin.
        folder: Where logs and journals go, one folder a seed.
    """
    logger.remove()
    all_seeds = [*(seeds or []), *range(first, first + count)]
    if kept:
        all_seeds += [case["seed"] for case in yaml.safe_load(SEEDS_FILE.read_text())]
    n_broken = 0
    for seed in all_seeds:
        seed_folder = folder / f"{seed}-{time.time_ns()}"
        seed_folder.mkdir(parents=True)
        result = soak(seed_folder, seed, harm_s)
        n_broken += bool(result.violations)
        _print_result(seed, result, seed_folder)
    print(f"{len(all_seeds) - n_broken} seeds held, {n_broken} broke a promise")
    return 1 if n_broken else 0


def _print_result(seed: int, result: SeedResult, seed_folder: Path) -> None:
    state = "broken" if result.violations else "held"
    print(
        f"seed {seed} {state}: {result.n_served} of {result.n_attempts} "
        f"requests served, {result.n_streams} whole streams, "
        f"{result.n_resumed} went on elsewhere",
        flush=True,
    )
    if not result.violations:
        return
    for line in result.violations[:20]:
        print(f"  {line}")
    print(f"  logs: {seed_folder}")
    for line in result.timeline:
        print(f"  {line}")
