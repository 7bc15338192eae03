"""Steps that drive the limit filters of several gateways with a manual clock."""

import json
import random
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from hawthornyard.core import ManualClock, Message, Pipeline, Tick
from hawthornyard.frames import Generation, RecordEntry, TeamDemand, TeamLimitShare
from hawthornyard.gateway.budget import TeamBudgets
from hawthornyard.gateway.fleet import PeerGateways, ShareLimits
from hawthornyard.gateway.messages import Admitted, ReplyFailed, Request, Resolved
from hawthornyard.gateway.request import EnforceTeamLimits
from hawthornyard.records import GENERATION, Catalog, Service

SEED = 20261204
STEP_S = 0.1
WARM_UP_S = 20.0
END_S = 80.0
TEAM = "kiosk"
NAMES = ("gateway-1", "gateway-2", "gateway-3")


class LimitGateway:
    """Limit filters of one gateway and the number of requests they admit."""

    __slots__ = (
        "budgets",
        "catalog",
        "is_alive",
        "n_admitted",
        "n_refused",
        "outbox",
        "peer_gateways",
        "pipeline",
    )

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.catalog = Catalog()
        peers = [peer for peer in NAMES if peer != name]
        self.peer_gateways = PeerGateways(name, peers, clock)
        self.is_alive = True
        self.n_admitted = 0
        self.n_refused = 0
        self.outbox: list[Message] = []
        self.budgets = TeamBudgets(clock)
        share = ShareLimits(self.catalog, self.budgets, self.peer_gateways, clock)
        self.pipeline = Pipeline([share, EnforceTeamLimits(self.budgets)], [self])

    @property
    def consumers(self) -> dict[type[Message], Callable[[Message], None]]:
        return {
            TeamDemand: self.outbox.append,
            TeamLimitShare: self.outbox.append,
            Admitted: self._count_admitted,
            ReplyFailed: self._count_refused,
            Tick: lambda msg: None,
        }

    def _count_admitted(self, msg: Message) -> None:
        self.n_admitted += 1

    def _count_refused(self, msg: Message) -> None:
        self.n_refused += 1


@given("3 gateways that share a team's limit of {limit:d} requests a second")
def start_gateways(context: Context, limit: int) -> None:
    context.clock = ManualClock(100.0)
    context.gateways = {name: LimitGateway(name, context.clock) for name in NAMES}
    context.events = []
    context.is_connected = True
    _set_limit(context, limit, 1)


@given("the gateways lose their connections to each other after {seconds:d} seconds")
def schedule_disconnect(context: Context, seconds: int) -> None:
    context.events.append((seconds, _disconnect))


@given("the owner of the team dies after {seconds:d} seconds")
def schedule_owner_death(context: Context, seconds: int) -> None:
    context.events.append((seconds, _kill_owner))


@given("the limit becomes {limit:d} requests a second after {seconds:d} seconds")
def schedule_limit_change(context: Context, limit: int, seconds: int) -> None:
    context.events.append((seconds, lambda ctx: _set_limit(ctx, limit, 2)))


@when("callers send {first:d}, {second:d} and {third:d} requests a second to them")
def send_requests(context: Context, first: int, second: int, third: int) -> None:
    rng = random.Random(SEED)
    rates = dict(zip(NAMES, (first, second, third), strict=True))
    start = context.clock.now()
    is_measuring = False
    while context.clock.now() - start < END_S:
        context.clock.advance(STEP_S)
        elapsed = context.clock.now() - start
        for event in [item for item in context.events if item[0] <= elapsed]:
            context.events.remove(event)
            event[1](context)
        if elapsed >= WARM_UP_S and not is_measuring:
            is_measuring = True
            _reset_counts(context)
        _exchange_frames(context)
        for name, rate in rates.items():
            _send(context, name, rate, rng)
    context.measured_s = END_S - WARM_UP_S


@then("the team gets between {low:f} and {high:f} of its limit")
def check_share(context: Context, low: float, high: float) -> None:
    n_admitted = sum(item.n_admitted for item in context.gateways.values())
    share = n_admitted / context.measured_s / context.limit
    assert low <= share <= high, share


@then("at most {percent:d} in 100 requests are refused")
def check_refused(context: Context, percent: int) -> None:
    n_admitted = sum(item.n_admitted for item in context.gateways.values())
    n_refused = sum(item.n_refused for item in context.gateways.values())
    share = n_refused / (n_admitted + n_refused)
    assert share * 100 <= percent, share


def _set_limit(
    context: Context, limit: int, revision: int, *, tokens_per_s: float = 1e9
) -> None:
    context.limit = limit
    document = {
        "kind": "team",
        "schema": 1,
        "name": TEAM,
        "spec": {
            "key_hash": "x",
            "requests_per_s": limit,
            "tokens_per_s": tokens_per_s,
        },
    }
    entry = RecordEntry("team", TEAM, revision, json.dumps(document))
    for gateway in context.gateways.values():
        gateway.catalog.apply(revision, [entry])


def _disconnect(context: Context) -> None:
    context.is_connected = False
    for gateway in context.gateways.values():
        for name in NAMES:
            gateway.peer_gateways.on_down(name)


def _kill_owner(context: Context) -> None:
    owner = context.gateways[NAMES[0]].peer_gateways.owner(TEAM)
    context.gateways[owner].is_alive = False
    for gateway in context.gateways.values():
        gateway.peer_gateways.on_down(owner)


def _exchange_frames(context: Context) -> None:
    live = {name: item for name, item in context.gateways.items() if item.is_alive}
    for name, gateway in live.items():
        for other in live:
            if other != name and context.is_connected:
                gateway.peer_gateways.on_heartbeat(other)
        gateway.pipeline.push(Tick(context.clock.now()))
    for _ in range(2):
        for name, gateway in live.items():
            frames, gateway.outbox[:] = list(gateway.outbox), []
            for frame in frames:
                if context.is_connected and frame.peer in live:
                    live[frame.peer].pipeline.push(frame.with_peer(name))


def _send(context: Context, name: str, rate: int, rng: random.Random) -> None:
    gateway = context.gateways[name]
    if not gateway.is_alive:
        return
    for _ in range(rate):
        if rng.random() < STEP_S:
            _send_once(context, gateway)


def _send_once(context: Context, gateway: LimitGateway) -> None:
    request = Request(
        "c",
        "r",
        Generation("scribe", "x", 1),
        gateway.catalog.team(TEAM),
        Service("summaries", GENERATION),
        idempotent=True,
        deadline=1e9,
    )
    gateway.pipeline.push(Resolved(request))


def _reset_counts(context: Context) -> None:
    for gateway in context.gateways.values():
        gateway.n_admitted = 0
        gateway.n_refused = 0


@given("the team may use {tokens_per_s:d} tokens a second")
def set_tokens(context: Context, tokens_per_s: int) -> None:
    _set_limit(context, context.limit, 2, tokens_per_s=tokens_per_s)


@when(
    "one gateway delivers {n_tokens:d} tokens to it and then nothing"
    " for {seconds:d} seconds"
)
def deliver_tokens(context: Context, n_tokens: int, seconds: int) -> None:
    gateway = context.gateways[NAMES[0]]
    team = gateway.catalog.team(TEAM)
    _send_once(context, gateway)
    gateway.budgets.charge_tokens(team, n_tokens)
    _advance(context, seconds)


@then("its next request there is refused")
def check_refused_once(context: Context) -> None:
    gateway = context.gateways[NAMES[0]]
    _reset_counts(context)
    _send_once(context, gateway)
    assert (gateway.n_admitted, gateway.n_refused) == (0, 1)


@then("after {seconds:d} more seconds a request there is admitted")
def check_admitted_later(context: Context, seconds: int) -> None:
    gateway = context.gateways[NAMES[0]]
    _advance(context, seconds)
    _reset_counts(context)
    _send_once(context, gateway)
    assert (gateway.n_admitted, gateway.n_refused) == (1, 0)


def _advance(context: Context, seconds: int) -> None:
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        _exchange_frames(context)
