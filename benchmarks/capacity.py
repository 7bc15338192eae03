"""Estimate the resource use of each role at the target size from marginal costs.

Run `python -m benchmarks.capacity`. It measures the marginal costs (slopes) first,
so that all figures come from one run.
"""

import sys
from pathlib import Path

from .slopes import (
    HEADER_BYTES,
    MEMORY_MEASURES,
    MICROSECONDS_PER_SECOND,
    TIME_MEASURES,
    slope,
    wire_bytes,
)

N_GATEWAYS = 340
N_SIDECARS = 600
N_TEAMS = 24_000
N_MODELS = 12
N_DOMAINS = 6
REQUESTS_PER_S = 2400.0
TOKENS_PER_S = 1.1e6
TOKEN_GAP_S = 0.053
CHANGES_PER_DAY = 900
DAY_S = 86_400.0
TICKS_PER_S = 10.0
LINKS_PER_MODEL = 8
HEARTBEATS_PER_S = 10.0
POLLS_PER_S = 1.0
# Time after its last request for which a team counts as active.
TEAM_ACTIVITY_S = 7.0
POLL_BYTES = 450
IDEMPOTENCY_KEY_SHARE = 0.1

CORE_BUDGET = 0.046
BYTES_PER_S_BUDGET = 2048.0
MEMORY_BUDGET_MB = 128.0
BYTES_PER_MEGABYTE = 1e6
REPORT = Path("reports/capacity.txt")


class Slopes:
    """Median marginal costs of one run.

    Attributes:
        seconds: Processor seconds by name of the measure.
        memory_bytes: Bytes of memory by name of the measure.
        wire: Bytes on the wire, headers included, by name of the control frame.
    """

    __slots__ = ("memory_bytes", "seconds", "wire")

    def __init__(self) -> None:
        self.seconds = {name: _median(*rest) for name, *rest in TIME_MEASURES}
        self.memory_bytes = {name: _median(*rest) for name, *rest in MEMORY_MEASURES}
        self.wire = {name: size + HEADER_BYTES for name, size in wire_bytes()}


class CostLine:
    """One line of the estimate.

    Attributes:
        name: Label of the line.
        value: Estimated value.
        unit: Unit of the value, empty for a count.
        bound: Budget for the value, None without one.
    """

    __slots__ = ("bound", "name", "unit", "value")

    def __init__(
        self, name: str, value: float, unit: str, bound: float | None = None
    ) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.bound = bound

    def __str__(self) -> str:
        verdict = ""
        if self.bound is not None:
            verdict_word = "holds" if self.value <= self.bound else "MISSED"
            verdict = f"{verdict_word} (bound {self.bound:g})"
        return f"  {self.name:44} {self.value:12.3f} {self.unit:10} {verdict}"


def gateway_costs(slopes: Slopes) -> list[CostLine]:
    """Return the estimated costs of one gateway."""
    seconds = slopes.seconds
    n_requests = REQUESTS_PER_S / N_GATEWAYS
    n_tokens = TOKENS_PER_S / N_GATEWAYS
    n_in_flight = n_tokens * TOKEN_GAP_S
    n_links = N_MODELS * LINKS_PER_MODEL
    n_active = n_requests * TEAM_ACTIVITY_S
    changes_per_s = CHANGES_PER_DAY / DAY_S
    data_cores = n_requests * seconds["gateway, request of one token"]
    data_cores += n_tokens * seconds["gateway, token alone in its frame"]
    control_cores = HEARTBEATS_PER_S * seconds["gateway, heartbeat taken in"]
    per_request = seconds["gateway, tick, for each request in flight"]
    control_cores += TICKS_PER_S * n_in_flight * per_request
    control_cores += (
        changes_per_s * n_links * seconds["gateway, change, for each sidecar"]
    )
    control_cores += n_active * seconds["gateway, sharing, for each active team"]
    heartbeat_bytes_per_s = HEARTBEATS_PER_S * slopes.wire["heartbeat"]
    sharing_bytes_per_s = n_active * (
        slopes.wire["demand"] + slopes.wire["limit share"]
    )
    push_bytes_per_s = changes_per_s * n_links * slopes.wire["change of one record"]
    poll_bytes_per_s = POLLS_PER_S * POLL_BYTES
    mesh_bytes_per_s = 2 * (N_GATEWAYS - 1) * slopes.wire["gateway heartbeat"]
    memory_bytes = N_TEAMS * slopes.memory_bytes["gateway, team record"]
    memory_bytes += n_in_flight * slopes.memory_bytes["gateway, request in flight"]
    memory_bytes += n_active * slopes.memory_bytes["gateway, active team's budget"]
    total_bytes_per_s = (
        heartbeat_bytes_per_s
        + sharing_bytes_per_s
        + push_bytes_per_s
        + poll_bytes_per_s
        + mesh_bytes_per_s
    )
    return [
        CostLine("requests", n_requests, "1/s"),
        CostLine("tokens", n_tokens, "1/s"),
        CostLine("requests in flight", n_in_flight, ""),
        CostLine("links to sidecars", n_links, ""),
        CostLine("active teams", n_active, ""),
        CostLine("processor, chain on data", data_cores, "core"),
        CostLine("processor, control", control_cores, "core", CORE_BUDGET),
        CostLine("bytes, heartbeats", heartbeat_bytes_per_s, "B/s"),
        CostLine("bytes, polls of the table", poll_bytes_per_s, "B/s"),
        CostLine("bytes, changes pushed", push_bytes_per_s, "B/s"),
        CostLine("bytes, team limits", sharing_bytes_per_s, "B/s"),
        CostLine("bytes, heartbeats between gateways", mesh_bytes_per_s, "B/s"),
        CostLine("bytes, control in all", total_bytes_per_s, "B/s", BYTES_PER_S_BUDGET),
        CostLine(
            "memory, state alone",
            memory_bytes / BYTES_PER_MEGABYTE,
            "MB",
            MEMORY_BUDGET_MB,
        ),
    ]


def sidecar_costs(slopes: Slopes) -> list[CostLine]:
    """Return the estimated costs of one sidecar."""
    seconds = slopes.seconds
    n_requests = REQUESTS_PER_S / N_SIDECARS
    n_tokens = TOKENS_PER_S / N_SIDECARS
    n_in_flight = n_tokens * TOKEN_GAP_S
    n_links = N_GATEWAYS * N_MODELS * LINKS_PER_MODEL / N_SIDECARS
    interval_s = N_MODELS * LINKS_PER_MODEL / HEARTBEATS_PER_S
    n_heartbeats = n_links / interval_s
    data_cores = n_requests * seconds["sidecar, attempt of one token"]
    data_cores += n_tokens * seconds["sidecar, token alone in its frame"]
    control_cores = n_heartbeats * seconds["sidecar, heartbeat encoded"]
    heartbeat_bytes_per_s = n_heartbeats * slopes.wire["heartbeat"]
    push_bytes_per_s = (
        CHANGES_PER_DAY / DAY_S * n_links * slopes.wire["change of one record"]
    )
    tokens_kept = n_tokens * (60.0 + TOKENS_PER_S / REQUESTS_PER_S * TOKEN_GAP_S)
    memory_bytes = tokens_kept * slopes.memory_bytes["sidecar, token kept"]
    return [
        CostLine("attempts", n_requests, "1/s"),
        CostLine("tokens", n_tokens, "1/s"),
        CostLine("attempts in flight", n_in_flight, ""),
        CostLine("links to gateways", n_links, ""),
        CostLine("processor, chain on data", data_cores, "core"),
        CostLine("processor, control", control_cores, "core", CORE_BUDGET),
        CostLine("bytes, heartbeats", heartbeat_bytes_per_s, "B/s"),
        CostLine(
            "bytes, control in all",
            heartbeat_bytes_per_s + push_bytes_per_s,
            "B/s",
            BYTES_PER_S_BUDGET,
        ),
        CostLine("tokens kept for reconnection", tokens_kept, ""),
        CostLine(
            "memory, state alone",
            memory_bytes / BYTES_PER_MEGABYTE,
            "MB",
            MEMORY_BUDGET_MB,
        ),
    ]


def table_costs() -> list[CostLine]:
    """Return the estimated load on the platform's table service."""
    claims_per_s = REQUESTS_PER_S * IDEMPOTENCY_KEY_SHARE
    return [
        CostLine(
            "reads, polls of all gateways", N_GATEWAYS * POLLS_PER_S, "1/s", 2000.0
        ),
        CostLine("writes, claims and outcomes", 2 * claims_per_s, "1/s", 300.0),
        CostLine("reads, before outcomes", claims_per_s, "1/s"),
    ]


def main() -> int:
    """Print the estimate for each role and write it to the report."""
    print("measuring the slopes ...", file=sys.stderr, flush=True)
    slopes = Slopes()
    lines = ["slopes (medians)"]
    lines += [
        f"  {name:44} {value * MICROSECONDS_PER_SECOND:12.1f} us"
        for name, value in _times(slopes)
    ]
    lines += [
        f"  {name:44} {value:12.0f} B" for name, value in slopes.memory_bytes.items()
    ]
    lines += [f"  {name:44} {value:12d} B" for name, value in slopes.wire.items()]
    lines += ["", f"one of {N_GATEWAYS} gateways", *map(str, gateway_costs(slopes))]
    lines += ["", f"one of {N_SIDECARS} sidecars", *map(str, sidecar_costs(slopes))]
    lines += ["", "the platform's table service", *map(str, table_costs())]
    text = "\n".join(lines)
    print(text)
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.write_text(text + "\n")
    return 0


def _times(slopes: Slopes) -> list[tuple[str, float]]:
    return list(slopes.seconds.items())


def _median(measure: object, small: int, large: int) -> float:
    costs = slope(measure, small, large)  # type: ignore[arg-type]
    return costs[len(costs) // 2]


if __name__ == "__main__":
    sys.exit(main())
