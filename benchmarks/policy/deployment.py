"""The deployments that the policy benchmark measures."""

from collections.abc import Sequence

from hawthornyard.core import Message
from hawthornyard.standins import EngineProfile

DOMAINS = ("a", "b", "c")
STEP_AT_LIMIT_S = 0.046
KINGSTON = "kingston"
HOFUDBORG = "hofudborg"
SINGLE = "single"


class RunnerSpec(Message):
    """One model runner.

    Attributes:
        name: Name of the endpoint.
        domain: Failure domain.
        profile: Speed and memory of the engine.
        max_limit: Largest batch whose step takes at most `STEP_AT_LIMIT_S`.
    """

    __slots__ = ("name", "domain", "profile", "max_limit")

    def __init__(self, name: str, domain: str, profile: EngineProfile) -> None:
        self.name = name
        self.domain = domain
        self.profile = profile
        spare_s = STEP_AT_LIMIT_S - profile.step_s
        self.max_limit = int(spare_s / profile.sequence_s)


class DeploymentSpec(Message):
    """A set of model runners and the mix of requests that they get.

    Attributes:
        name: Name of the deployment.
        runners: Its model runners.
        draft_share: Share of requests that are long drafts.
    """

    __slots__ = ("name", "runners", "draft_share")

    def __init__(
        self, name: str, runners: Sequence[RunnerSpec], draft_share: float
    ) -> None:
        self.name = name
        self.runners = runners
        self.draft_share = draft_share


def _profile(speed: float, memory_tokens: int) -> EngineProfile:
    return EngineProfile(
        step_s=0.018 / speed,
        sequence_s=0.0008 / speed,
        prefill_token_s=0.00006 / speed,
        prefill_chunk=512,
        memory_tokens=memory_tokens,
        max_batch=96,
        cache_tokens=4096,
        cold_batch_limit=2,
        warm_up_s=8.0,
    )


def _spec(
    name: str, sizes: Sequence[Sequence[float]], draft_share: float
) -> DeploymentSpec:
    runners = [
        RunnerSpec(
            f"runner-{index}",
            DOMAINS[index % len(DOMAINS)],
            _profile(speed, int(memory_tokens)),
        )
        for index, (speed, memory_tokens) in enumerate(sizes)
    ]
    return DeploymentSpec(name, runners, draft_share)


# Speed relative to the reference runner, and memory in tokens.
DEPLOYMENTS = {
    KINGSTON: _spec(
        KINGSTON,
        (
            (1.4, 24000),
            (1.4, 16000),
            (1.0, 16000),
            (1.0, 12000),
            (0.7, 12000),
            (0.7, 9000),
        ),
        0.2,
    ),
    HOFUDBORG: _spec(
        HOFUDBORG,
        (
            (1.6, 32000),
            (1.4, 24000),
            (1.2, 24000),
            (1.0, 20000),
            (1.0, 16000),
            (0.8, 16000),
            (0.6, 12000),
        ),
        0.5,
    ),
    SINGLE: _spec(SINGLE, ((1.0, 16000),), 0.2),
}
