"""Seeded generator of a run's requests."""

import math
import random
from collections.abc import Sequence

from hawthornyard.core import Message

from .deployment import DeploymentSpec, RunnerSpec

SHORT = "short"
DRAFT = "draft"
MODEL = "scribe"
TEAM_SHARES = (0.30, 0.20, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03, 0.03, 0.02)
PREFIX_TOKENS = 256
N_PREFIXES_PER_TEAM = 3
BURST_PERIOD_S = 40.0
BURST_DURATION_S = 8.0
BURST_FACTOR = 1.6
MIN_TOKENS = 8
MAX_TOKENS = 20000
N_CAPACITY_SAMPLES = 4000
# Output tokens that a generation can emit in a run if it starts with the run.
MAX_REACHABLE_TOKENS = 4000
_CALM_FACTOR = (BURST_PERIOD_S - BURST_DURATION_S * BURST_FACTOR) / (
    BURST_PERIOD_S - BURST_DURATION_S
)


class Job(Message):
    """One request of the workload.

    Attributes:
        id: Unique identifier.
        team: Team that sends the request.
        service: Service of the request.
        priority: Priority; higher values are served first.
        n_prompt: Prompt tokens.
        n_output: Tokens that it generates, unknown to the system.
        prefix: Name of the prompt prefix that it shares with other requests.
        arrives_at: Arrival in seconds from the start of the run.
        deadline: Deadline in seconds from the start of the run.
    """

    __slots__ = (
        "id",
        "team",
        "service",
        "priority",
        "n_prompt",
        "n_output",
        "prefix",
        "arrives_at",
        "deadline",
    )

    def __init__(
        self,
        id: str,
        team: str,
        service: str,
        priority: int,
        n_prompt: int,
        n_output: int,
        prefix: str,
        arrives_at: float,
        deadline: float,
    ) -> None:
        self.id = id
        self.team = team
        self.service = service
        self.priority = priority
        self.n_prompt = n_prompt
        self.n_output = n_output
        self.prefix = prefix
        self.arrives_at = arrives_at
        self.deadline = deadline


class RequestMix(Message):
    """Properties of the requests of one service.

    Attributes:
        service: Name of the service.
        priority: Priority; higher values are served first.
        timeout_s: Seconds from the arrival to the deadline.
        prompt_range: Smallest and largest number of prompt tokens.
    """

    __slots__ = ("service", "priority", "timeout_s", "prompt_range")

    def __init__(
        self, service: str, priority: int, timeout_s: float, prompt_range: Sequence[int]
    ) -> None:
        self.service = service
        self.priority = priority
        self.timeout_s = timeout_s
        self.prompt_range = prompt_range


REQUEST_MIXES = {
    SHORT: RequestMix(SHORT, 9, 20.0, (PREFIX_TOKENS + 20, 600)),
    DRAFT: RequestMix(DRAFT, 3, 300.0, (PREFIX_TOKENS + 50, 1500)),
}


def make_jobs(
    spec: DeploymentSpec, load: float, seed: int, seconds: float
) -> list[Job]:
    """Return the requests of a run in order of arrival.

    Args:
        spec: The deployment.
        load: Arrival rate as a share of the runners' capacity.
        seed: Seed of the random generator.
        seconds: Length of the workload in seconds.
    """
    rng = random.Random(f"{spec.name}/{seed}")
    requests_per_s = load * sum(capacity(runner, spec) for runner in spec.runners)
    jobs: list[Job] = []
    now = 0.0
    while True:
        now += rng.expovariate(requests_per_s * BURST_FACTOR)
        if now >= seconds:
            return jobs
        # Thinning: arrivals are drawn at the rate of bursts and dropped between them.
        if rng.random() < _rate_factor(now) / BURST_FACTOR:
            jobs.append(_draw_job(rng, spec, f"job-{len(jobs)}", now))


def capacity(runner: RunnerSpec, spec: DeploymentSpec) -> float:
    """Return the requests per second that a runner serves with a full batch.

    The batch size is the limit or the mean number of generations that fit the
    memory, each weighted by its steps. An output counts only up to the tokens
    that it can reach within a run after a random arrival.
    """
    rng = random.Random(0)
    jobs = [_draw_job(rng, spec, "", 0.0) for _ in range(N_CAPACITY_SAMPLES)]
    for job in jobs:
        job.n_output = min(job.n_output, int(rng.random() * MAX_REACHABLE_TOKENS))
    n_output = sum(job.n_output for job in jobs)
    token_steps = sum(job.n_output * (job.n_prompt + job.n_output / 2) for job in jobs)
    profile = runner.profile
    batch = min(runner.max_limit, profile.memory_tokens * n_output / token_steps)
    step_s = profile.step_s + profile.sequence_s * batch
    n_prefill = sum(job.n_prompt - PREFIX_TOKENS for job in jobs)
    seconds = n_output * step_s / batch + n_prefill * profile.prefill_token_s
    return len(jobs) / seconds


def _rate_factor(now: float) -> float:
    return BURST_FACTOR if now % BURST_PERIOD_S < BURST_DURATION_S else _CALM_FACTOR


def _draw_job(rng: random.Random, spec: DeploymentSpec, id: str, now: float) -> Job:
    is_draft = rng.random() < spec.draft_share
    mix = REQUEST_MIXES[DRAFT if is_draft else SHORT]
    index = rng.choices(range(len(TEAM_SHARES)), TEAM_SHARES)[0]
    prefix = f"{mix.service}-{index}-{rng.randrange(N_PREFIXES_PER_TEAM)}"
    low, high = mix.prompt_range
    return Job(
        id,
        f"team-{index}",
        mix.service,
        mix.priority,
        rng.randint(low, high),
        _draw_output_tokens(rng, index, is_draft),
        prefix,
        now,
        now + mix.timeout_s,
    )


def _draw_output_tokens(rng: random.Random, team: int, is_draft: bool) -> int:
    # Each team has its own median length.
    scale = 0.6 + 0.1 * team
    if is_draft:
        drawn = 200 * scale * rng.paretovariate(1.5)
    else:
        drawn = rng.lognormvariate(math.log(60 * scale), 0.8)
    return max(MIN_TOKENS, min(MAX_TOKENS, int(drawn)))
