"""Tables and plots of the metrics of all runs."""

import statistics
from collections.abc import Mapping, Sequence
from pathlib import Path

from .score import Score

ScoresByPolicy = Mapping[str, Sequence[Score]]

# Label of each metric, and the factor from its unit to that of the label.
METRICS = {
    "stall_s": ("stall s", 1.0),
    "stall_p99_s": ("stall p99 s", 1.0),
    "preemptions": ("preempt", 1.0),
    "gap_p95_s": ("gap p95 ms", 1000.0),
    "gap_p99_s": ("gap p99 ms", 1000.0),
    "first_token_p95_s": ("first p95 s", 1.0),
    "short_first_token_p95_s": ("short p95 s", 1.0),
    "goodput": ("goodput/s", 1.0),
    "n_refused": ("refused", 1.0),
    "n_lost": ("lost", 1.0),
    "n_steps_over_cold_limit": ("over limit", 1.0),
    "small_team_goodput": ("small team", 1.0),
    "large_team_goodput": ("large team", 1.0),
}
_COLUMN_WIDTH = 16


def table(title: str, scores: ScoresByPolicy, ours: str) -> str:
    """Return mean and standard deviation of each metric, and ratios to each policy.

    Args:
        title: Heading of the table.
        scores: Scores of each policy, one for each seed.
        ours: Policy whose means are divided by those of each policy.
    """
    names = list(scores)
    lines = [f"== {title}, mean (standard deviation) over {len(scores[ours])} seeds"]
    lines.append(_row("", [name[: _COLUMN_WIDTH - 1] for name in names]))
    for metric, (label, factor) in METRICS.items():
        cells = [_cell(scores[name], metric, factor) for name in names]
        lines.append(_row(label, cells))
    lines.append(f"-- ratio of {ours} to each")
    for metric in ("stall_s", "preemptions", "gap_p99_s", "goodput"):
        own_mean = mean(scores[ours], metric)
        ratios = [_ratio(own_mean, mean(scores[name], metric)) for name in names]
        lines.append(_row(METRICS[metric][0], ratios))
    return "\n".join(lines)


def mean(scores: Sequence[Score], metric: str) -> float:
    """Return the mean of one metric."""
    return statistics.fmean(getattr(score, metric) for score in scores)


def plot(path: Path, titles: Sequence[str], tables: Sequence[ScoresByPolicy]) -> None:
    """Write a bar chart of stall time and preemptions by scenario and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 1, figsize=(12, 9), sharex=True)
    for axis, metric in zip(axes, ("stall_s", "preemptions"), strict=True):
        names = list(tables[0])
        for position, name in enumerate(names):
            heights = [mean(scores[name], metric) for scores in tables]
            left = [index + position / (len(names) + 1) for index in range(len(tables))]
            axis.bar(left, heights, 1 / (len(names) + 1), label=name)
        axis.set_ylabel(METRICS[metric][0])
        axis.set_yscale("symlog")
    axes[0].legend()
    axes[1].set_xticks(range(len(titles)), titles, rotation=20, fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


def _row(label: str, cells: Sequence[str]) -> str:
    return f"{label:12}" + "".join(f"{cell:>{_COLUMN_WIDTH}}" for cell in cells)


def _cell(scores: Sequence[Score], metric: str, factor: float) -> str:
    values = [getattr(score, metric) * factor for score in scores]
    spread = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.fmean(values):.4g} ({spread:.2g})"


def _ratio(own_mean: float, other: float) -> str:
    return f"{own_mean / other:.2f}" if other else "-"
