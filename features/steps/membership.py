"""Steps that drive the membership filters with a manual clock."""

import json

from behave import given, then, when
from behave.runner import Context

from hawthornyard.core import Decision, ManualClock, Message, PeerUp, Pipeline, Tick
from hawthornyard.frames import (
    Attach,
    Dispatch,
    Generation,
    Heartbeat,
    RecordEntry,
    Subscribe,
    Tokens,
)
from hawthornyard.gateway.fleet import (
    DetectSilentConnections,
    Fleet,
    PeerGateways,
    SidecarSubset,
    SubscribeHeartbeats,
)
from hawthornyard.gateway.inflight import InFlight
from hawthornyard.gateway.messages import (
    ConnectionSuspected,
    HeartbeatIntervalChanged,
    LinkRequested,
    Reconnect,
    ReconnectAuthenticated,
    ReplyStarted,
    Request,
)
from hawthornyard.gateway.request import SendAttempt
from hawthornyard.io import RandomIdentifiers
from hawthornyard.records import GENERATION, Catalog, Service, Team
from hawthornyard.sidecar.attempts import Attempts
from hawthornyard.sidecar.fleet import SendHeartbeats
from hawthornyard.sidecar.messages import Attempt
from hawthornyard.sidecar.state import SidecarState

STEP_S = 0.1
GATEWAY = "gateway-1"
ENDPOINT = "scribe-1"
N_MODELS = 12
N_DOMAINS = 6


class MessageRecorder:
    """Sink that records every message at the end of a pipeline."""

    __slots__ = ("consumers", "messages")

    def __init__(self, *types: type[Message]) -> None:
        self.messages: list[Message] = []
        self.consumers = dict.fromkeys(types, self.messages.append)

    def of_type(self, kind: type[Message]) -> list[Message]:
        """Return the recorded messages of a type."""
        return [msg for msg in self.messages if isinstance(msg, kind)]


@given("a sidecar whose gateway asked for heartbeats every {seconds:d} seconds")
def start_sidecar(context: Context, seconds: int) -> None:
    context.clock = ManualClock(100.0)
    state = SidecarState(ENDPOINT, "new-kingston", "i-1", Catalog())
    context.attempts = Attempts()
    context.recorder = MessageRecorder(Heartbeat, Tokens, PeerUp, Tick)
    send_heartbeats = SendHeartbeats(state, context.attempts, context.clock)
    context.pipeline = Pipeline([send_heartbeats], [context.recorder])
    context.pipeline.push(PeerUp(GATEWAY))
    context.pipeline.push(Subscribe(float(seconds)).with_peer(GATEWAY))


@when("an attempt runs for {seconds:d} seconds without a token")
def run_without_token(context: Context, seconds: int) -> None:
    _run_attempt(context, seconds, with_tokens=False)


@when("an attempt runs for {seconds:d} seconds with a token every 0.1 seconds")
def run_with_tokens(context: Context, seconds: int) -> None:
    _run_attempt(context, seconds, with_tokens=True)


def _run_attempt(context: Context, seconds: int, *, with_tokens: bool) -> None:
    work = Generation("scribe", "x", 100)
    dispatch = Dispatch("a-1", "r-1", "kiosk", "summaries", work, True, 60.0)
    attempt = Attempt(dispatch.with_peer(GATEWAY), context.clock.now())
    context.attempts.add(attempt)
    # Heartbeats that were sent before the attempt don't count.
    context.pipeline.push(Tick(context.clock.now()))
    context.recorder.messages.clear()
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        if with_tokens:
            context.pipeline.push(Tokens("a-1", 0, ["x"]).with_peer(GATEWAY))
        context.pipeline.push(Tick(context.clock.now()))


@then("the gateway was sent at least {n_heartbeats:d} heartbeats")
def check_at_least(context: Context, n_heartbeats: int) -> None:
    assert len(context.recorder.of_type(Heartbeat)) >= n_heartbeats, (
        context.recorder.messages
    )


@then("the gateway was sent at most {n_heartbeats:d} heartbeat")
def check_at_most(context: Context, n_heartbeats: int) -> None:
    assert len(context.recorder.of_type(Heartbeat)) <= n_heartbeats, (
        context.recorder.of_type(Heartbeat)
    )


@given("a gateway with one endpoint")
def start_gateway(context: Context) -> None:
    context.clock = ManualClock(100.0)
    context.inflight = InFlight()
    context.recorder = MessageRecorder(
        Heartbeat, PeerUp, Tick, Decision, ConnectionSuspected
    )
    detect_silence = DetectSilentConnections(context.inflight, context.clock)
    context.pipeline = Pipeline([detect_silence], [context.recorder])
    context.pipeline.push(PeerUp(ENDPOINT))


@when("a request is dispatched and its endpoint is silent for {seconds:d} seconds")
def dispatch_and_wait(context: Context, seconds: int) -> None:
    request = Request(
        "c-1",
        "r-1",
        Generation("scribe", "x", 10),
        Team("kiosk", ""),
        Service("summaries", GENERATION),
        idempotent=True,
        deadline=1e9,
    )
    context.inflight.add(request)
    context.inflight.begin_attempt(request, "a-1")
    request.endpoint = ENDPOINT
    request.sent_at = context.clock.now()
    _wait(context, seconds)


@when("nothing is dispatched and its endpoint is silent for {seconds:d} seconds")
def wait_idle(context: Context, seconds: int) -> None:
    _wait(context, seconds)


def _wait(context: Context, seconds: int) -> None:
    context.suspected_after_s = None
    start = context.clock.now()
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        context.pipeline.push(Tick(context.clock.now()))
        if context.suspected_after_s is None and context.recorder.of_type(
            ConnectionSuspected
        ):
            context.suspected_after_s = context.clock.now() - start


@then("the connection is suspected within {seconds:f} seconds")
def check_suspected(context: Context, seconds: float) -> None:
    assert context.suspected_after_s is not None
    assert context.suspected_after_s <= seconds, context.suspected_after_s


@then("the connection is not suspected")
def check_not_suspected(context: Context) -> None:
    assert context.suspected_after_s is None, context.suspected_after_s


@given("{n_endpoints:d} endpoints of 12 models in 6 failure domains")
def make_endpoints(context: Context, n_endpoints: int) -> None:
    context.entries = [_endpoint_entry(index) for index in range(n_endpoints)]
    context.catalog = Catalog()
    context.catalog.apply(1, context.entries)


@then("each gateway links to at most {n_links:d} of them")
def check_links(context: Context, n_links: int) -> None:
    for name in ("gateway-1", "gateway-2", "gateway-3"):
        links = SidecarSubset(name, context.catalog).addresses()
        assert len(links) <= n_links, len(links)


@then("each model is linked in {n_domains:d} failure domains")
def check_spread(context: Context, n_domains: int) -> None:
    links = SidecarSubset(GATEWAY, context.catalog).addresses()
    domains: dict[str, set[str]] = {}
    for name in links:
        endpoint = context.catalog.endpoint(name)
        domains.setdefault(endpoint.models[0], set()).add(endpoint.failure_domain)
    assert len(domains) == N_MODELS, domains
    assert {len(found) for found in domains.values()} == {n_domains}, domains


@then("removing one endpoint changes at most 1 other link")
def check_stable(context: Context) -> None:
    before = set(SidecarSubset(GATEWAY, context.catalog).addresses())
    removed = sorted(before)[0]
    context.catalog.apply(2, [RecordEntry("endpoint", removed, 2, "")])
    after = set(SidecarSubset(GATEWAY, context.catalog).addresses())
    assert len(before - after - {removed}) <= 1, before - after
    assert len(after - before) <= 1, after - before


@given("a gateway with {n_links:d} links")
def start_with_links(context: Context, n_links: int) -> None:
    context.clock = ManualClock(100.0)
    context.n_links = n_links
    context.recorder = MessageRecorder(PeerUp, Subscribe, HeartbeatIntervalChanged)
    peer_gateways = PeerGateways(GATEWAY, [], context.clock)
    fleet = Fleet(Catalog(), context.clock)
    subscribe = SubscribeHeartbeats(fleet, peer_gateways)
    pipeline = Pipeline([subscribe], [context.recorder])
    for index in range(n_links):
        pipeline.push(PeerUp(f"endpoint-{index}"))


@then("it subscribes to at most {n_heartbeats:d} heartbeats a second in total")
def check_rate(context: Context, n_heartbeats: int) -> None:
    intervals = {
        msg.peer: msg.interval_s for msg in context.recorder.of_type(Subscribe)
    }
    assert len(intervals) == context.n_links
    total = sum(1.0 / interval for interval in intervals.values())
    assert total <= n_heartbeats * 1.001, total


def _endpoint_entry(index: int) -> RecordEntry:
    spec = {
        "failure_domain": f"domain-{index % N_DOMAINS}",
        "sidecar": f"10.0.0.{index % 250}:7000",
        "protocol": "generation",
        "models": [f"model-{index // N_DOMAINS % N_MODELS}"],
    }
    name = f"runner-{index:03d}"
    document = {"kind": "endpoint", "schema": 1, "name": name, "spec": spec}
    return RecordEntry("endpoint", name, 1, json.dumps(document))


@given("a gateway with no link to the endpoint")
def start_without_link(context: Context) -> None:
    clock = ManualClock(100.0)
    context.catalog = Catalog()
    context.catalog.apply(1, [_endpoint_entry(0)])
    fleet = Fleet(context.catalog, clock)
    context.recorder = MessageRecorder(ReplyStarted, Attach, LinkRequested)
    send = SendAttempt(InFlight(), fleet, clock, RandomIdentifiers())
    context.pipeline = Pipeline([send], [context.recorder])


@when("a caller reconnects to a generation at that endpoint")
def reconnect_caller(context: Context) -> None:
    call = Reconnect("c-1", "r-1", "", "runner-000", "a-1", 5)
    context.pipeline.push(ReconnectAuthenticated(call, Team("kiosk", "")))


@then("the gateway requests a link to that endpoint")
def check_link_requested(context: Context) -> None:
    requested = [msg.endpoint for msg in context.recorder.of_type(LinkRequested)]
    assert requested == ["runner-000"], requested
    subset = SidecarSubset(GATEWAY, context.catalog, size=0)
    assert not subset.addresses()
    subset.include(requested[0])
    assert list(subset.addresses()) == requested


@then("the gateway opens no link to an endpoint without a record")
def check_no_link(context: Context) -> None:
    subset = SidecarSubset(GATEWAY, context.catalog, size=0)
    subset.include("nobody")
    assert not subset.addresses()
