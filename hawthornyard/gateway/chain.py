"""Join the gateway's filters in the order in which messages pass them."""

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
    Fleet,
    FollowHosts,
    Greet,
    Neighbours,
    PushPlan,
    ShareLimits,
    SubscribeHeartbeats,
    SuspectSilence,
    TrackLoaded,
    Watch,
)
from .inflight import InFlight
from .reply import Meter, Relay, Settle
from .request import (
    Authenticate,
    Claim,
    ListModels,
    Resolve,
    Retry,
    Route,
    SendAttempt,
    TeamLimit,
    WaitForRoom,
)


def gateway_chain(
    catalog: Catalog,
    inflight: InFlight,
    fleet: Fleet,
    neighbours: Neighbours,
    drain: Drain,
    clock: Clock,
    chance: RandomSource,
    identifiers: Identifiers,
    planner: Sequence[Filter] = (),
    *,
    at_head: Sequence[Filter] = (),
    before_settle: Sequence[Filter] = (),
    predictor: LengthPredictor | None = None,
    routing: RoutingPolicy | None = None,
) -> Sequence[Filter]:
    """Return the filters of a gateway, head first.

    Args:
        catalog: Records in force.
        inflight: Requests that are not answered yet.
        fleet: What is known of the endpoints.
        neighbours: What is known of the other gateways.
        drain: Tells the program whether it is stopping.
        clock: Source of time.
        chance: Source of randomness.
        identifiers: Source of attempt ids.
        planner: Filters of the planner's duty.
        at_head: Filters that see calls as they come.
        before_settle: Filters that see replies while their requests are known.
        predictor: Predicts output lengths.
        routing: Chooses among endpoints that fit.
    """
    routing = routing or PowerOfTwoChoices(chance, affinity=PrefixAffinity())
    budgets = TeamBudgets(clock)
    return [
        DropUnexpected(*GATEWAY_TO_SIDECAR),
        *at_head,
        ApplyConfig(catalog, neighbours),
        Greet(catalog, neighbours),
        SubscribeHeartbeats(fleet, neighbours),
        SuspectSilence(inflight, clock),
        ShareLimits(catalog, budgets, neighbours, clock),
        Watch(fleet),
        TrackLoaded(fleet.loaded),
        FollowHosts(fleet.leaving),
        *planner,
        PushPlan(),
        drain,
        Authenticate(catalog),
        ListModels(catalog),
        Resolve(catalog, inflight, clock),
        TeamLimit(budgets),
        Retry(inflight, RetryBudget(clock), clock),
        WaitForRoom(fleet, clock, predictor=predictor),
        Claim(inflight, clock),
        Route(fleet, routing),
        SendAttempt(inflight, fleet, clock, identifiers),
        Relay(inflight, fleet, clock),
        Meter(inflight, budgets),
        *before_settle,
        Settle(inflight, fleet, clock),
    ]
