"""Command line of the soak."""

import time
from pathlib import Path
from typing import Annotated

import cyclopts
import yaml
from loguru import logger

from .soak import SeedResult, soak

SEEDS_FILE = Path(__file__).parent / "seeds.yaml"
FAULT_WINDOW_S = 10.0

app = cyclopts.App(
    name="soak", help="Soak the platform's gateways under injected faults."
)


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
    deadly_part: bool = False,
) -> int:
    """Run seeds one after another; exit with status 1 if one broke a promise.

    Args:
        seeds: Seeds to run.
        first: First seed of a range.
        count: Number of seeds in the range.
        kept: Whether to run the seeds in soak/seeds.yaml, which failed once.
        harm_s: Seconds during which faults are started.
        folder: Folder of logs and journals, with one folder for each seed.
        deadly_part: Whether a part of some prompts ends endpoints meanwhile.
    """
    logger.remove()
    all_seeds = [*(seeds or []), *range(first, first + count)]
    if kept:
        all_seeds += [case["seed"] for case in yaml.safe_load(SEEDS_FILE.read_text())]
    n_broken = 0
    for seed in all_seeds:
        seed_folder = folder / f"{seed}-{time.time_ns()}"
        seed_folder.mkdir(parents=True)
        result = soak(seed_folder, seed, harm_s, is_tainting=deadly_part)
        n_broken += bool(result.violations)
        _print_result(seed, result, seed_folder)
    print(f"{len(all_seeds) - n_broken} seeds held, {n_broken} broke a promise")
    return 1 if n_broken else 0


def _print_result(seed: int, result: SeedResult, seed_folder: Path) -> None:
    state = "broken" if result.violations else "held"
    print(
        f"seed {seed} {state}: {result.n_served} of {result.n_attempts} "
        f"requests served, {result.n_streams} whole streams, "
        f"{result.n_resumed} resumed elsewhere",
        flush=True,
    )
    if not result.violations:
        return
    for line in result.violations[:20]:
        print(f"  {line}")
    print(f"  logs: {seed_folder}")
    for line in result.timeline:
        print(f"  {line}")
