"""Run seeds from the command line."""

import time
from pathlib import Path
from typing import Annotated

import cyclopts
import yaml
from loguru import logger

from .soak import Outcome, soak

SEEDS_FILE = Path(__file__).parent / "seeds.yaml"
HARM_S = 10.0

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
    harm_s: float = HARM_S,
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
    chosen = [*(seeds or []), *range(first, first + count)]
    if kept:
        chosen += [case["seed"] for case in yaml.safe_load(SEEDS_FILE.read_text())]
    n_broken = 0
    for seed in chosen:
        place = folder / f"{seed}-{time.time_ns()}"
        place.mkdir(parents=True)
        outcome = soak(place, seed, harm_s)
        n_broken += bool(outcome.broken)
        _print(seed, outcome, place)
    print(f"{len(chosen) - n_broken} seeds held, {n_broken} broke a promise")
    return 1 if n_broken else 0


def _print(seed: int, outcome: Outcome, place: Path) -> None:
    state = "broken" if outcome.broken else "held"
    print(
        f"seed {seed} {state}: {outcome.n_served} of {outcome.n_sent} requests served, "
        f"{outcome.n_streams} whole streams, {outcome.n_resumed} went on elsewhere",
        flush=True,
    )
    if not outcome.broken:
        return
    for line in outcome.broken[:20]:
        print(f"  {line}")
    print(f"  logs: {place}")
    for line in outcome.story:
        print(f"  {line}")
