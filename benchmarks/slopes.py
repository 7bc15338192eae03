"""Measure the marginal cost of a message, a record, a request or a token.

Run `python -m benchmarks.slopes`. Each figure is a slope: the cost at the larger of
two sizes less the cost at the smaller one, divided by the difference in size. The
spread is the range over the repeats.
"""

import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from hawthornyard.codec import MsgpackCodec
from hawthornyard.core import Drain, ManualClock, Message, Pipeline, Tick
from hawthornyard.frames import (
    ConfigPush,
    Dispatch,
    Ended,
    Frame,
    GatewayHeartbeat,
    Generation,
    Heartbeat,
    RecordEntry,
    TeamDemand,
    TeamLimitShare,
    Tokens,
)
from hawthornyard.front.encode import CompletionEncoder
from hawthornyard.gateway.budget import TeamBudgets
from hawthornyard.gateway.chain import gateway_chain
from hawthornyard.gateway.fleet import Fleet, PeerGateways, ShareLimits, SidecarSubset
from hawthornyard.gateway.inflight import InFlight
from hawthornyard.gateway.messages import Call, ReplyTokens
from hawthornyard.records import NEWEST_SCHEMA, Catalog, hash_secret
from hawthornyard.sidecar.attempts import Attempts
from hawthornyard.sidecar.chain import sidecar_chain
from hawthornyard.sidecar.messages import EndpointEnded, EndpointTokens
from hawthornyard.sidecar.state import SidecarState

N_REPEATS = 5
SEED = 20261204
# Ethernet, IP and TCP headers with timestamps.
HEADER_BYTES = 66
N_DOMAINS = 6
N_MODELS = 12
MICROSECONDS_PER_SECOND = 1e6
REPORT = Path("reports/slopes.txt")


class MessageCollector(dict[type[Message], Callable[[Message], None]]):
    """Consumers of a pipeline that collect all messages at its tail."""

    def __init__(self) -> None:
        super().__init__()
        self.collected: list[Message] = []

    def get(self, key: type[Message], default: object = None) -> Callable[..., None]:
        """Return the consumer that collects messages, whatever their type."""
        return self.collected.append


class GatewayBench:
    """A gateway's chain with a manual clock and without I/O.

    Args:
        n_endpoints: Endpoints in the records.
        n_teams: Teams in the records.
        n_gateways: Other gateways.
    """

    def __init__(
        self, *, n_endpoints: int = 0, n_teams: int = 1, n_gateways: int = 0
    ) -> None:
        self.clock = ManualClock(100.0)
        self.catalog = Catalog()
        self.inflight = InFlight()
        self.fleet = Fleet(self.catalog, self.clock)
        names = [f"gateway-{index:03d}" for index in range(1, n_gateways + 1)]
        self.peer_gateways = PeerGateways("gateway-000", names, self.clock)
        chain = gateway_chain(
            self.catalog,
            self.inflight,
            self.fleet,
            self.peer_gateways,
            Drain(self.inflight, self.clock),
            self.clock,
            random.Random(SEED),
            CountingIdentifiers(),
        )
        self.tail = MessageCollector()
        self.pipeline = Pipeline(chain, [])
        self.pipeline._consumers = self.tail
        self.push(
            ConfigPush(0, 1, make_record_entries(n_endpoints, n_teams)).with_peer("")
        )

    def push(self, msg: Message) -> None:
        """Push a message through the chain."""
        self.pipeline.push(msg)


class CountingIdentifiers:
    """Source of sequential identifiers."""

    def __init__(self) -> None:
        self._last = 0

    def new(self) -> str:
        """Return the next identifier."""
        self._last += 1
        return f"{self._last:024x}"


def make_record_entries(
    n_endpoints: int, n_teams: int, revision: int = 1
) -> list[RecordEntry]:
    """Return the record entries of a deployment."""
    models = [f"model-{index}" for index in range(N_MODELS)]
    record_entries = [
        _entry("failure_domain", f"domain-{index}", {"region": "r"}, revision)
        for index in range(N_DOMAINS)
    ]
    record_entries += [
        _entry("model", name, {"context_tokens": 8192}, revision) for name in models
    ]
    spec = {"protocol": "generation", "models": models, "priority": 5}
    record_entries.append(_entry("service", "summaries", spec, revision))
    for index in range(n_endpoints):
        spec = {
            "failure_domain": f"domain-{index % N_DOMAINS}",
            "sidecar": f"10.0.{index // 250}.{index % 250}:7000",
            "protocol": "generation",
            "models": [models[index % N_MODELS]],
        }
        record_entries.append(_entry("endpoint", f"runner-{index:03d}", spec, revision))
    key_hash = hash_secret("secret", salt=b"0" * 16)
    for index in range(n_teams):
        spec = {
            "key_hash": key_hash,
            "services": ["summaries"],
            "requests_per_s": 1e6,
            "tokens_per_s": 1e9,
        }
        record_entries.append(_entry("team", f"team-{index:05d}", spec, revision))
    return record_entries


def _entry(kind: str, name: str, spec: dict[str, object], revision: int) -> RecordEntry:
    schema = NEWEST_SCHEMA[kind]
    document = {"kind": kind, "schema": schema, "name": name, "spec": spec}
    return RecordEntry(kind, name, revision, json.dumps(document))


def make_heartbeat(name: str, *, n_running: int = 3) -> Heartbeat:
    """Return a heartbeat of an endpoint with free capacity."""
    return Heartbeat(name, "1" * 24, 1, True, n_running, 0, 32, 0.25)


def make_call(index: int, model: str = "model-0") -> Call:
    """Return the decoded request of a caller."""
    work = Generation(model, "A prompt of some length. " * 8, 400)
    return Call(f"call-{index}", f"req-{index}", "hy.team-00000.secret", "", work)


def cpu_per_heartbeat(n: int) -> float:
    """Return seconds to decode and process `n` heartbeats."""
    bench = GatewayBench(n_endpoints=96)
    codec = MsgpackCodec()
    data = [codec.encode(make_heartbeat(f"runner-{i % 96:03d}")) for i in range(n)]
    decoder = codec.decoder()

    def run() -> None:
        for item in data:
            for frame in decoder.feed(item):
                bench.push(frame.with_peer("runner-000"))

    return processor_seconds(run)


def cpu_per_encoded_heartbeat(n: int) -> float:
    """Return seconds to encode `n` heartbeats."""
    codec = MsgpackCodec()
    heartbeat = make_heartbeat("runner-000")

    def run() -> None:
        for _ in range(n):
            codec.encode(heartbeat)

    return processor_seconds(run)


def cpu_per_request(n: int) -> float:
    """Return seconds to process `n` requests of one token in a gateway."""
    bench = GatewayBench(n_endpoints=96)
    for index in range(96):
        bench.push(
            make_heartbeat(f"runner-{index:03d}").with_peer(f"runner-{index:03d}")
        )
    codec = MsgpackCodec()

    def run() -> None:
        for index in range(n):
            bench.tail.collected.clear()
            bench.push(make_call(index))
            sent = [msg for msg in bench.tail.collected if isinstance(msg, Dispatch)]
            codec.encode(sent[0])
            attempt_id, peer = sent[0].attempt_id, sent[0].peer
            bench.push(Tokens(attempt_id, 0, ["x"]).with_peer(peer))
            bench.push(Ended(attempt_id, 1, "stop").with_peer(peer))
            for msg in list(bench.tail.collected):
                if type(msg).__name__ == "Closed":
                    bench.push(msg)

    return processor_seconds(run)


def cpu_per_token(n: int) -> float:
    """Return seconds to process `n` tokens, one per frame, from frame to event."""
    bench = GatewayBench(n_endpoints=8)
    for index in range(8):
        bench.push(
            make_heartbeat(f"runner-{index:03d}").with_peer(f"runner-{index:03d}")
        )
    bench.push(make_call(0))
    sent = next(msg for msg in bench.tail.collected if isinstance(msg, Dispatch))
    codec = MsgpackCodec()
    frames = [codec.encode(Tokens(sent.attempt_id, i, [" word"])) for i in range(n)]
    decoder = codec.decoder()
    encoder = CompletionEncoder("id", "model-0", 0)

    def run() -> None:
        for item in frames:
            bench.tail.collected.clear()
            for frame in decoder.feed(item):
                bench.push(frame.with_peer(sent.peer))
            for msg in bench.tail.collected:
                if isinstance(msg, ReplyTokens):
                    encoder.token_events(msg)

    return processor_seconds(run)


def cpu_per_sidecar_token(n: int) -> float:
    """Return seconds to number, store and encode `n` tokens in a sidecar."""
    pipeline, tail = sidecar_bench()
    codec = MsgpackCodec()

    def run() -> None:
        for _ in range(n):
            tail.collected.clear()
            pipeline.push(EndpointTokens("a-0", [" word"]))
            for msg in tail.collected:
                if isinstance(msg, Frame):
                    codec.encode(msg)

    return processor_seconds(run)


def sidecar_bench() -> tuple[Pipeline, MessageCollector]:
    """Return a sidecar's chain with one running attempt, and its collector."""
    clock = ManualClock(100.0)
    state = SidecarState("runner-000", "domain-0", "1" * 24, Catalog())
    pipeline = Pipeline(sidecar_chain(state, Attempts(), clock), [])
    tail = MessageCollector()
    pipeline._consumers = tail
    pipeline.push(ConfigPush(0, 1, make_record_entries(1, 0)).with_peer("gateway-000"))
    work = Generation("model-0", "x", 100_000)
    dispatch = Dispatch("a-0", "r", "team-00000", "summaries", work, True, 1e6)
    pipeline.push(dispatch.with_peer("gateway-000"))
    return pipeline, tail


def cpu_per_sidecar_request(n: int) -> float:
    """Return seconds to process `n` attempts of one token in a sidecar."""
    pipeline, tail = sidecar_bench()
    pipeline.push(EndpointEnded("a-0", "stop"))
    work = Generation("model-0", "x", 400)

    def run() -> None:
        for index in range(1, n + 1):
            tail.collected.clear()
            name = f"a-{index}"
            dispatch = Dispatch(name, "r", "team-00000", "summaries", work, True, 60.0)
            pipeline.push(dispatch.with_peer("gateway-000"))
            pipeline.push(EndpointTokens(name, ["x"]))
            pipeline.push(EndpointEnded(name, "stop"))

    return processor_seconds(run)


def cpu_per_tick(n: int) -> float:
    """Return seconds of one tick with `n` requests in flight."""
    bench = GatewayBench(n_endpoints=8)
    for index in range(8):
        heartbeat = Heartbeat(f"runner-{index:03d}", "1", 1, True, 0, 0, 10_000, 0.0)
        bench.push(heartbeat.with_peer(f"runner-{index:03d}"))
    for index in range(n):
        bench.push(make_call(index))

    def run() -> None:
        for _ in range(10):
            bench.push(Tick(bench.clock.now()))

    return processor_seconds(run) / 10


def cpu_per_change(n: int) -> float:
    """Return seconds to apply one changed record and push it to `n` sidecars."""
    bench = GatewayBench(n_endpoints=max(n, 1))
    for index in range(n):
        bench.push(
            make_heartbeat(f"runner-{index:03d}").with_peer(f"runner-{index:03d}")
        )
    codec = MsgpackCodec()
    spec = {"region": "r", "in_service": False}
    bench.tail.collected.clear()

    def run() -> None:
        entry = _entry("failure_domain", "domain-0", spec, 2)
        bench.push(ConfigPush(1, 2, [entry]).with_peer(""))
        for msg in bench.tail.collected:
            if isinstance(msg, Frame):
                codec.encode(msg)

    return processor_seconds(run)


def cpu_per_shared_team(n: int) -> float:
    """Return seconds of the tick that shares the limits of `n` active teams."""
    clock = ManualClock(100.0)
    catalog = Catalog()
    catalog.apply(1, make_record_entries(0, n))
    names = [f"gateway-{index:03d}" for index in range(1, 340)]
    peer_gateways = PeerGateways("gateway-000", names, clock)
    budgets = TeamBudgets(clock)
    for name in names:
        peer_gateways.on_heartbeat(name)
    for index in range(n):
        team = catalog.team(f"team-{index:05d}")
        assert team is not None
        budgets.admit(team)
    pipeline = Pipeline([ShareLimits(catalog, budgets, peer_gateways, clock)], [])
    pipeline._consumers = MessageCollector()
    # The first tick finds the owners, which later ticks have cached.
    for _ in range(2):
        clock.advance(1.0)
        seconds = processor_seconds(lambda: pipeline.push(Tick(clock.now())))
    return seconds


def cpu_of_subset(n: int) -> float:
    """Return seconds to choose the sidecars of a gateway among `n`."""
    bench = GatewayBench(n_endpoints=n)
    subset = SidecarSubset("gateway-000", bench.catalog)
    return processor_seconds(lambda: subset.addresses())


def bytes_of_teams(n: int) -> float:
    """Return bytes of a catalog with `n` teams."""
    items = [
        (item.kind, item.name, item.revision, item.document)
        for item in make_record_entries(0, n)
    ]

    def build() -> Catalog:
        catalog = Catalog()
        catalog.apply(1, [RecordEntry(*_unshared_copy(item)) for item in items])
        return catalog

    return allocated_bytes(build)


def _unshared_copy(item: tuple[str, str, int, str]) -> tuple[str, str, int, str]:
    kind, name, revision, document = item
    # Strings decoded from frames share no memory.
    return kind, "".join(list(name)), revision, "".join(list(document))


def bytes_of_budgets(n: int) -> float:
    """Return bytes of the budgets of `n` active teams."""
    bench = GatewayBench(n_teams=n)

    def build() -> TeamBudgets:
        budgets = TeamBudgets(bench.clock)
        for index in range(n):
            team = bench.catalog.team(f"team-{index:05d}")
            assert team is not None
            budgets.admit(team)
        return budgets

    return allocated_bytes(build)


def bytes_of_requests(n: int) -> float:
    """Return bytes of a gateway's state with `n` requests in flight."""
    bench = GatewayBench(n_endpoints=8)
    for index in range(8):
        heartbeat = Heartbeat(f"runner-{index:03d}", "1", 1, True, 0, 0, 10_000, 0.0)
        bench.push(heartbeat.with_peer(f"runner-{index:03d}"))

    def build() -> GatewayBench:
        for index in range(n):
            bench.push(make_call(index))
            bench.tail.collected.clear()
        return bench

    return allocated_bytes(build)


def bytes_of_tokens(n: int) -> float:
    """Return bytes of a sidecar's state with `n` stored tokens."""
    pipeline, tail = sidecar_bench()

    def build() -> Pipeline:
        for index in range(n):
            pipeline.push(EndpointTokens("a-0", [f" word{index}"]))
            tail.collected.clear()
        return pipeline

    return allocated_bytes(build)


def processor_seconds(run: Callable[[], object]) -> float:
    """Return the processor seconds of one call, with garbage collection disabled."""
    gc.collect()
    gc.disable()
    before = time.process_time()
    run()
    seconds = time.process_time() - before
    gc.enable()
    return seconds


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that the result of `build` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def slope(measure: Callable[[int], float], small: int, large: int) -> list[float]:
    """Return the marginal cost in each repeat, in ascending order."""
    costs = [
        (measure(large) - measure(small)) / (large - small) for _ in range(N_REPEATS)
    ]
    return sorted(costs)


def wire_bytes() -> list[tuple[str, int]]:
    """Return the payload bytes of each control frame by name."""
    codec = MsgpackCodec()
    change = _entry("failure_domain", "domain-0", {"region": "north"}, 123_456)
    frames = [
        ("heartbeat", make_heartbeat("runner-000")),
        ("gateway heartbeat", GatewayHeartbeat(123_456, False)),
        ("demand", TeamDemand("team-00000", 12.5, 2500.0)),
        ("limit share", TeamLimitShare("team-00000", 12.5, 2500.0)),
        ("change of one record", ConfigPush(123_455, 123_456, [change])),
    ]
    return [(name, len(codec.encode(frame))) for name, frame in frames]


TIME_MEASURES = (
    ("gateway, heartbeat taken in", cpu_per_heartbeat, 500, 5000),
    ("sidecar, heartbeat encoded", cpu_per_encoded_heartbeat, 500, 5000),
    ("gateway, request of one token", cpu_per_request, 100, 1100),
    ("gateway, token alone in its frame", cpu_per_token, 500, 5000),
    ("sidecar, attempt of one token", cpu_per_sidecar_request, 100, 1100),
    ("sidecar, token alone in its frame", cpu_per_sidecar_token, 500, 5000),
    ("gateway, tick, for each request in flight", cpu_per_tick, 10, 510),
    ("gateway, change, for each sidecar", cpu_per_change, 60, 600),
    ("gateway, sharing, for each active team", cpu_per_shared_team, 10, 110),
    ("gateway, subset, for each endpoint", cpu_of_subset, 60, 600),
)
MEMORY_MEASURES = (
    ("gateway, team record", bytes_of_teams, 1000, 11_000),
    ("gateway, active team's budget", bytes_of_budgets, 100, 2100),
    ("gateway, request in flight", bytes_of_requests, 100, 1100),
    ("sidecar, token kept", bytes_of_tokens, 1000, 21_000),
)


def main() -> int:
    """Print all marginal costs and write them to the report."""
    lines = [f"{'processor time':45} {'median us':>10} {'lowest':>8} {'highest':>8}"]
    for name, measure, small, large in TIME_MEASURES:
        print(f"measuring {name} ...", file=sys.stderr, flush=True)
        costs = [
            value * MICROSECONDS_PER_SECOND for value in slope(measure, small, large)
        ]
        lines.append(f"{name:45} {costs[len(costs) // 2]:10.1f}{_format_range(costs)}")
    lines.append(f"\n{'memory':45} {'median B':>10} {'lowest':>8} {'highest':>8}")
    for name, measure, small, large in MEMORY_MEASURES:
        print(f"measuring {name} ...", file=sys.stderr, flush=True)
        costs = slope(measure, small, large)
        lines.append(f"{name:45} {costs[len(costs) // 2]:10.0f}{_format_range(costs)}")
    lines.append(f"\n{'on the wire':45} {'payload B':>10} {'with headers':>14}")
    for name, size in wire_bytes():
        lines.append(f"{name:45} {size:10d} {size + HEADER_BYTES:14d}")
    text = "\n".join(lines)
    print(text)
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.write_text(text + "\n")
    return 0


def _format_range(costs: list[float]) -> str:
    return f" {costs[0]:8.1f} {costs[-1]:8.1f}"


if __name__ == "__main__":
    sys.exit(main())
