"""Assemble the filters in the order in which messages pass them."""

from collections.abc import Sequence

from ..core import Clock, Drain, Filter, RandomSource
from ..policy import CrashEvidence
from .directory import Directory
from .eligibility import Eligibility
from .endpoints import Endpoints
from .fleet import (
    ConfirmCrashes,
    FollowDeployment,
    FollowEndpoints,
    FollowNotices,
    FollowPrefills,
    FollowRollouts,
    FollowStore,
    LeadRollouts,
    ProbePaces,
    ShareLimits,
    ShareLoads,
    SharePaces,
    ShareRollouts,
    TrackCrashes,
    WatchEngines,
)
from .forecast import ServiceForecast
from .grace import GracePeriod
from .inflight import InFlight
from .load_aware import LoadAwareServices, PacedServices
from .mirroring import Mirroring, MirrorOnLeastUsed
from .pace_placement import PacePlacement
from .peers import Peers
from .placement import LeastLoaded, Placement
from .prefill import AnyTime, PrefillPolicy, PrefillTurns
from .read_pace import ReadPace
from .reply import CloseRequests, CountResponses, Expire, Relay
from .request import (
    Admission,
    Match,
    Quarantine,
    RefuseUnfinishable,
    Retry,
    Route,
    Send,
    WaitForCapacity,
)
from .reservations import Reservations
from .retry_budget import SharedRetryBudget
from .rollouts import Rollouts
from .sampling import Sampling
from .streams import CopyCandidates, FinalCopies, Migrate, Resume, Resumption


class EdgeState:
    """State that the filters of one gateway share.

    Attributes:
        crash_evidence: Parts of prompts that end endpoints.
        directory: Deployment in force.
        endpoints: Known endpoints.
        eligibility: Decides which endpoints may get new work.
        grace: Tells which requests can end before a stopping process is killed.
        inflight: Requests that are not answered yet.
        name: Name of the gateway.
        pace: Pace of the reads of endpoint changes.
        peers: The other gateways.
        retry_budget: Limits the retries of each service.
        rollouts: Rollouts that operators ordered.
    """

    __slots__ = (
        "crash_evidence",
        "directory",
        "eligibility",
        "endpoints",
        "grace",
        "inflight",
        "name",
        "pace",
        "peers",
        "retry_budget",
        "rollouts",
    )

    def __init__(
        self,
        name: str,
        clock: Clock,
    ) -> None:
        self.name = name
        self.peers = Peers(name, clock)
        self.pace = ReadPace(self.peers)
        self.directory = Directory(clock)
        self.endpoints = Endpoints(self.peers, clock)
        self.rollouts = Rollouts(self.endpoints, clock)
        self.eligibility = Eligibility(self.directory, self.endpoints, self.rollouts)
        self.grace = GracePeriod(self.directory, self.endpoints, self.peers, clock)
        self.inflight = InFlight(self.endpoints, clock)
        self.retry_budget = SharedRetryBudget(clock)
        self.crash_evidence = CrashEvidence(clock)


def edge_chain(
    state: EdgeState,
    drain: Drain,
    clock: Clock,
    random_source: RandomSource,
    *,
    metrics_filters: Sequence[Filter] = (),
    placement: Placement | None = None,
    mirroring: Mirroring | None = None,
    load_aware: LoadAwareServices | None = None,
    takes_prefill_turns: bool = False,
) -> Sequence[Filter]:
    """Return the filters of a gateway that calls endpoints itself, head first.

    Args:
        state: State that the filters share.
        drain: Filter that stops the program gracefully.
        clock: Source of time.
        random_source: Source of randomness.
        metrics_filters: Filters that collect metrics; they see replies before
            `CloseRequests` forgets the requests.
        placement: Policy that chooses the endpoint of a request, `PacePlacement` if
            None.
        mirroring: Policy that chooses mirrors, `MirrorOnLeastUsed` if None.
        load_aware: Tells which services are admitted by forecast, those
            whose endpoints report a pace if None.
        takes_prefill_turns: Whether an engine begins one long prompt at a time.
    """
    placement = placement or PacePlacement(
        state.name,
        state.directory,
        state.endpoints,
        clock,
        LeastLoaded(state.directory, state.endpoints),
    )
    prefill: PrefillPolicy = AnyTime()
    if takes_prefill_turns:
        prefill = PrefillTurns(state.directory, state.peers, clock)
    sampling = Sampling(state.peers, random_source)
    mirroring = mirroring or MirrorOnLeastUsed(
        state.directory, state.eligibility, sampling
    )
    forecast = ServiceForecast(
        state.directory, state.endpoints, state.eligibility, clock
    )
    reservations = Reservations(placement, forecast, clock)
    admission = Admission(
        load_aware or PacedServices(state.endpoints),
        forecast,
        state.eligibility,
        reservations,
        clock,
    )
    resumption = Resumption(state.inflight, mirroring, clock)
    candidates = CopyCandidates(
        state.endpoints,
        state.eligibility,
        sampling,
        state.directory,
        state.crash_evidence,
    )
    return [
        FollowStore(clock),
        FollowDeployment(state.directory, clock),
        FollowEndpoints(state.endpoints, clock),
        FollowNotices(state.endpoints, clock),
        FollowPrefills(state.endpoints, state.peers, clock),
        FollowRollouts(state.rollouts, state.peers, clock),
        LeadRollouts(state.name, state.rollouts, state.directory, state.peers, clock),
        WatchEngines(
            state.endpoints,
            state.directory,
            state.peers,
            state.pace,
            clock,
            random_source,
        ),
        ConfirmCrashes(state.crash_evidence, state.inflight, state.endpoints, clock),
        TrackCrashes(
            state.peers,
            state.crash_evidence,
            state.inflight,
            state.endpoints,
            clock,
        ),
        drain,
        Match(state.directory, state.inflight, clock, random_source),
        Retry(state.inflight, state.retry_budget, clock),
        Quarantine(state.crash_evidence, state.inflight, state.peers),
        RefuseUnfinishable(state.grace),
        WaitForCapacity(
            state.eligibility, reservations, prefill, state.grace, clock, admission
        ),
        Route(state.eligibility, sampling, reservations, prefill, state.directory),
        Send(
            state.inflight,
            state.endpoints,
            mirroring,
            state.directory,
            clock,
        ),
        Migrate(
            state.inflight,
            state.endpoints,
            state.eligibility,
            candidates,
            clock,
        ),
        FinalCopies(
            state.inflight,
            state.endpoints,
            state.eligibility,
            candidates,
            state.pace,
            resumption,
            clock,
        ),
        # Counts a break only if the gateway has not ordered it.
        CountResponses(state.rollouts, state.inflight, clock),
        Resume(
            state.inflight,
            state.endpoints,
            state.eligibility,
            resumption,
            state.crash_evidence,
        ),
        Relay(state.inflight, state.endpoints, clock),
        Expire(state.inflight, state.endpoints),
        *metrics_filters,
        CloseRequests(state.inflight, clock),
        ShareRollouts(
            state.name,
            state.rollouts,
            state.endpoints,
            state.inflight,
            state.peers,
            clock,
        ),
        ShareLimits(state.name, state.peers, state.endpoints, clock),
        SharePaces(state.name, state.peers, state.endpoints, clock),
        ProbePaces(state.endpoints, state.directory, state.peers, clock),
        ShareLoads(
            state.name,
            state.peers,
            state.endpoints,
            state.eligibility,
            state.retry_budget,
            clock,
        ),
    ]
