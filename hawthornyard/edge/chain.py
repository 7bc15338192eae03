"""Join the filters in the order in which messages pass them."""

from collections.abc import Sequence

from ..core import Clock, Drain, Filter, RandomSource
from .directory import Directory
from .eligible import Eligible
from .endpoints import Endpoints
from .fleet import (
    FollowDeployment,
    FollowEndpoints,
    FollowStore,
    ShareLoads,
    WatchEngines,
)
from .inflight import InFlight
from .mirroring import Mirroring, MirrorWhereRoom
from .pace import ReadPace
from .peers import Peers
from .placement import LeastLoaded, Placement
from .repeats import RepeatBudget
from .reply import Expire, Relay, Settle
from .request import Match, Retry, Route, Send, WaitForRoom
from .sampling import Sampling
from .streams import Migrate, Resume
from .streams.resumption import Resumption


class EdgeState:
    """What the filters of one gateway share.

    Attributes:
        directory: Deployment in force.
        endpoints: Known endpoints.
        eligible: Tells which endpoints may get new work.
        inflight: Requests that are not answered yet.
        name: Name of the gateway.
        pace: Chooses how often the changes of endpoints are read.
        peers: The other gateways.
        repeats: Bounds the attempts beyond the first.
    """

    __slots__ = (
        "directory",
        "eligible",
        "endpoints",
        "inflight",
        "name",
        "pace",
        "peers",
        "repeats",
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
        self.eligible = Eligible(self.directory, self.endpoints, clock)
        self.inflight = InFlight(self.endpoints, clock)
        self.repeats = RepeatBudget(clock)


def edge_chain(
    state: EdgeState,
    drain: Drain,
    clock: Clock,
    chance: RandomSource,
    *,
    measure: Sequence[Filter] = (),
    placement: Placement | None = None,
    mirroring: Mirroring | None = None,
) -> Sequence[Filter]:
    """Return the filters of a gateway that calls endpoints itself, head first.

    Args:
        state: What the filters share.
        drain: Tells the program whether it is stopping.
        clock: Source of time.
        chance: Source of randomness.
        measure: Filters that see replies while their requests are known.
        placement: Chooses among endpoints that may run a request.
        mirroring: Chooses where streams are mirrored.
    """
    placement = placement or LeastLoaded(state.directory, state.endpoints)
    sampling = Sampling(state.peers, chance)
    mirroring = mirroring or MirrorWhereRoom(state.directory, state.eligible, sampling)
    resumption = Resumption(state.inflight, state.eligible, mirroring, clock)
    return [
        FollowStore(clock),
        FollowDeployment(state.directory),
        FollowEndpoints(state.endpoints, clock),
        WatchEngines(
            state.endpoints,
            state.directory,
            state.peers,
            state.pace,
            clock,
            chance,
        ),
        drain,
        Match(state.directory, state.inflight, clock, chance),
        Retry(state.inflight, state.repeats, clock),
        WaitForRoom(state.eligible, placement, clock),
        Route(state.eligible, sampling, placement, state.directory),
        Send(state.inflight, state.endpoints, state.eligible, mirroring, clock),
        Resume(state.inflight, state.endpoints, state.eligible, resumption),
        Migrate(
            state.inflight,
            state.endpoints,
            state.eligible,
            sampling,
            state.directory,
            resumption,
            clock,
        ),
        Relay(state.inflight, state.endpoints, clock),
        Expire(state.inflight, state.endpoints),
        *measure,
        Settle(state.inflight, clock),
        ShareLoads(
            state.name,
            state.peers,
            state.endpoints,
            state.eligible,
            state.repeats,
            clock,
        ),
    ]
