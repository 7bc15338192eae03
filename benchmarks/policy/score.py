"""Metrics of one run from the callers' point of view."""

from collections import Counter
from collections.abc import Iterable, Sequence

from hawthornyard.core import Message

from .workload import Job

FIRST_TOKEN_TARGET_S = 1.2
TOKEN_GAP_TARGET_S = 0.053
GAP_BIN_WIDTH_S = 0.0005


class JobRecord(Message):
    """The outcome of one job. Times are seconds from the start of the run.

    Attributes:
        job: The job.
        first_token_at: Time of the first token, None before it.
        last_token_at: Time of the last token when the job last left the batch, None
            before that.
        ended_at: Time of the complete answer, None without one.
        refused_at: Time of the refusal, None without one.
        is_lost: Whether the generation was lost after its first token.
        gap_stall_s: Total time by which token gaps exceed `TOKEN_GAP_TARGET_S`.
    """

    __slots__ = (
        "job",
        "first_token_at",
        "last_token_at",
        "ended_at",
        "refused_at",
        "is_lost",
        "gap_stall_s",
    )

    def __init__(self, job: Job) -> None:
        self.job = job
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self.ended_at: float | None = None
        self.refused_at: float | None = None
        self.is_lost = False
        self.gap_stall_s = 0.0

    def add_delayed_token(self, now: float) -> None:
        """Add the first token after the job joined the batch."""
        if self.first_token_at is None:
            self.first_token_at = now
        elif self.last_token_at is not None:
            self.gap_stall_s += max(0.0, now - self.last_token_at - TOKEN_GAP_TARGET_S)

    def time_to_first_token_s(self, end: float) -> float:
        """Return the wait for the first token, or until refusal, deadline or `end`."""
        job = self.job
        if self.first_token_at is not None:
            return self.first_token_at - job.arrives_at
        left_at = min(end, job.deadline)
        if self.refused_at is not None:
            left_at = min(left_at, self.refused_at)
        return left_at - job.arrives_at

    def stall_s(self, end: float) -> float:
        """Return the seconds that the caller waited beyond the targets."""
        wait_s = self.time_to_first_token_s(end) - FIRST_TOKEN_TARGET_S
        return max(0.0, wait_s) + self.gap_stall_s

    @property
    def is_good(self) -> bool:
        """Return whether the job was answered completely within its deadline."""
        return self.ended_at is not None and self.ended_at <= self.job.deadline


class GapHistogram:
    """Histogram of the time between tokens."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, gap_s: float, count: int = 1) -> None:
        """Add a gap in seconds that occurred before each of `count` tokens."""
        self._counts[int(gap_s / GAP_BIN_WIDTH_S)] += count

    def percentile(self, share: float) -> float:
        """Return the gap in seconds that a share of the tokens does not exceed."""
        target_count = share * sum(self._counts.values())
        n_seen = 0
        for index in sorted(self._counts):
            n_seen += self._counts[index]
            if n_seen >= target_count:
                return (index + 1) * GAP_BIN_WIDTH_S
        return 0.0


class Score(Message):
    """The metrics of one run.

    Attributes:
        stall_s: Total seconds that callers waited beyond the targets.
        stall_p99_s: Seconds of one request beyond the targets, 99th percentile.
        preemptions: Preemptions at all runners.
        gap_p95_s: Time between tokens in seconds, 95th percentile.
        gap_p99_s: Time between tokens in seconds, 99th percentile.
        first_token_p95_s: Time to first token in seconds, 95th percentile.
        short_first_token_p95_s: Time to first token of short requests in seconds,
            95th percentile.
        goodput: Requests per second that were answered within their deadline.
        n_refused: Requests that were refused.
        n_lost: Requests that were lost after their first token.
        n_steps_over_cold_limit: Steps in which a cold runner had too large a batch.
        small_team_goodput: Lowest share of requests answered within their deadline
            among the teams that send less than an equal share of the requests.
        large_team_goodput: Lowest such share among the other teams.
    """

    __slots__ = (
        "stall_s",
        "stall_p99_s",
        "preemptions",
        "gap_p95_s",
        "gap_p99_s",
        "first_token_p95_s",
        "short_first_token_p95_s",
        "goodput",
        "n_refused",
        "n_lost",
        "n_steps_over_cold_limit",
        "small_team_goodput",
        "large_team_goodput",
    )

    def __init__(
        self,
        records: Sequence[JobRecord],
        gaps: GapHistogram,
        *,
        preemptions: int,
        n_steps_over_cold_limit: int,
        seconds: float,
        end: float,
    ) -> None:
        stalls = sorted(record.stall_s(end) for record in records)
        self.stall_s = sum(stalls)
        self.stall_p99_s = percentile(stalls, 0.99)
        self.preemptions = float(preemptions)
        self.gap_p95_s = gaps.percentile(0.95)
        self.gap_p99_s = gaps.percentile(0.99)
        first_token_waits = [record.time_to_first_token_s(end) for record in records]
        self.first_token_p95_s = percentile(sorted(first_token_waits), 0.95)
        short = [r.time_to_first_token_s(end) for r in records if r.job.priority > 5]
        self.short_first_token_p95_s = percentile(sorted(short), 0.95)
        self.goodput = sum(record.is_good for record in records) / seconds
        self.n_refused = float(sum(r.refused_at is not None for r in records))
        self.n_lost = float(sum(record.is_lost for record in records))
        self.n_steps_over_cold_limit = float(n_steps_over_cold_limit)
        by_team = _goodput_shares_by_team(records)
        self.small_team_goodput = min(by_team[3:], default=1.0)
        self.large_team_goodput = min(by_team[:3], default=1.0)


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the value that a share of an ascending sequence does not exceed."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _goodput_shares_by_team(records: Iterable[JobRecord]) -> list[float]:
    n_requests: Counter[str] = Counter()
    n_good: Counter[str] = Counter()
    for record in records:
        n_requests[record.job.team] += 1
        n_good[record.job.team] += record.is_good
    return [n_good[team] / n_requests[team] for team in sorted(n_requests)]
