"""Assemble the gateway's filters in the order in which messages pass them."""

from collections.abc import Sequence

from ..core import Clock, Drain, DropUnexpected, Filter, Identifiers, RandomSource
from ..frames import GATEWAY_TO_SIDECAR
from ..policy import (
    LengthPredictor,
    PowerOfTwoChoices,
    PrefixAffinity,
    RetryBudget,
    RoutingPolicy,
)
from ..records import Catalog
from .budget import TeamBudgets
from .fleet import (
    ApplyConfig,
    DetectSilentConnections,
    ExchangeHeartbeats,
    Fleet,
    PeerGateways,
    PushPlan,
    ShareLimits,
    SubscribeHeartbeats,
    TrackHeartbeats,
    TrackLeavingHosts,
    TrackLoadedModels,
)
from .inflight import InFlight
from .reply import CloseRequests, MeterTokens, Relay
from .request import (
    Authenticate,
    ClaimKey,
    EnforceTeamLimits,
    ListModels,
    Resolve,
    Retry,
    Route,
    SendAttempt,
    WaitForCapacity,
)


def gateway_chain(
    catalog: Catalog,
    inflight: InFlight,
    fleet: Fleet,
    peer_gateways: PeerGateways,
    drain: Drain,
    clock: Clock,
    random_source: RandomSource,
    identifiers: Identifiers,
    planner: Sequence[Filter] = (),
    *,
    at_head: Sequence[Filter] = (),
    before_close: Sequence[Filter] = (),
    predictor: LengthPredictor | None = None,
    routing: RoutingPolicy | None = None,
) -> Sequence[Filter]:
    """Return the filters of a gateway, first to last.

    Args:
        catalog: Records in force.
        inflight: Requests without a final reply.
        fleet: State of the endpoints.
        peer_gateways: Liveness of the other gateways.
        drain: Filter that shuts the gateway down gracefully.
        clock: Monotonic clock.
        random_source: Source of randomness.
        identifiers: Source of attempt ids.
        planner: Filters of the planner, which runs on the gateway with the lease.
        at_head: Filters that see calls before authentication.
        before_close: Filters that see replies before their requests are closed.
        predictor: Predicts output lengths, None for the default predictor.
        routing: Chooses among the eligible endpoints, None for the default policy.
    """
    routing = routing or PowerOfTwoChoices(random_source, affinity=PrefixAffinity())
    budgets = TeamBudgets(clock)
    return [
        DropUnexpected(*GATEWAY_TO_SIDECAR),
        *at_head,
        ApplyConfig(catalog, peer_gateways),
        ExchangeHeartbeats(catalog, peer_gateways),
        SubscribeHeartbeats(fleet, peer_gateways),
        DetectSilentConnections(inflight, clock),
        ShareLimits(catalog, budgets, peer_gateways, clock),
        TrackHeartbeats(fleet),
        TrackLoadedModels(fleet.loaded_models),
        TrackLeavingHosts(fleet.leaving_hosts),
        *planner,
        PushPlan(),
        drain,
        Authenticate(catalog),
        ListModels(catalog),
        Resolve(catalog, inflight, clock),
        EnforceTeamLimits(budgets),
        Retry(inflight, RetryBudget(clock), clock),
        WaitForCapacity(fleet, clock, predictor=predictor),
        ClaimKey(inflight, clock),
        Route(fleet, routing),
        SendAttempt(inflight, fleet, clock, identifiers),
        Relay(inflight, fleet, clock),
        MeterTokens(inflight, budgets),
        *before_close,
        CloseRequests(inflight, fleet, clock),
    ]
