"""Work out what each role costs at the target size, from measured slopes.

Run `python -m benchmarks.capacity`. It measures the slopes first, so that
every figure comes from one run.
"""

import sys
from pathlib import Path

from .slopes import (
    HEADER_BYTES,
    MICRO,
    SIZES,
    TIMES,
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
# A team counts as active for some seconds after its last request.
ACTIVE_TEAM_S = 7.0
POLL_BYTES = 450
KEYED_SHARE = 0.1

CORE_BUDGET = 0.046
BYTES_BUDGET = 2048.0
MEMORY_BUDGET_MB = 128.0
MEGABYTE = 1e6
REPORT = Path("reports/capacity.txt")


class Slopes:
    """Medians of all slopes of one run.

    Attributes:
        seconds: Processor seconds by name.
        memory: Bytes by name.
        wire: Bytes with headers by name of a control frame.
    """

    __slots__ = ("memory", "seconds", "wire")

    def __init__(self) -> None:
        self.seconds = {name: _median(*rest) for name, *rest in TIMES}
        self.memory = {name: _median(*rest) for name, *rest in SIZES}
        self.wire = {name: size + HEADER_BYTES for name, size in wire_bytes()}


class Line:
    """One line of the account.

    Attributes:
        name: What it is.
        value: The figure.
        unit: Its unit.
        bound: The budget, None for none.
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
            word = "holds" if self.value <= self.bound else "MISSED"
            verdict = f"{word} (bound {self.bound:g})"
        return f"  {self.name:44} {self.value:12.3f} {self.unit:10} {verdict}"


def gateway(slopes: Slopes) -> list[Line]:
    """Return the account of one gateway."""
    seconds = slopes.seconds
    n_requests = REQUESTS_PER_S / N_GATEWAYS
    n_tokens = TOKENS_PER_S / N_GATEWAYS
    n_in_flight = n_tokens * TOKEN_GAP_S
    n_links = N_MODELS * LINKS_PER_MODEL
    n_active = n_requests * ACTIVE_TEAM_S
    changes = CHANGES_PER_DAY / DAY_S
    data = n_requests * seconds["gateway, request of one token"]
    data += n_tokens * seconds["gateway, token alone in its frame"]
    control = HEARTBEATS_PER_S * seconds["gateway, heartbeat taken in"]
    per_request = seconds["gateway, tick, for each request in flight"]
    control += TICKS_PER_S * n_in_flight * per_request
    control += changes * n_links * seconds["gateway, change, for each sidecar"]
    control += n_active * seconds["gateway, sharing, for each active team"]
    beats = HEARTBEATS_PER_S * slopes.wire["heartbeat"]
    sharing = n_active * (slopes.wire["demand"] + slopes.wire["portion"])
    pushes = changes * n_links * slopes.wire["change of one record"]
    polls = POLLS_PER_S * POLL_BYTES
    mesh = 2 * (N_GATEWAYS - 1) * slopes.wire["gateway beat"]
    memory = N_TEAMS * slopes.memory["gateway, team record"]
    memory += n_in_flight * slopes.memory["gateway, request in flight"]
    memory += n_active * slopes.memory["gateway, active team's budget"]
    total = beats + sharing + pushes + polls + mesh
    return [
        Line("requests", n_requests, "1/s"),
        Line("tokens", n_tokens, "1/s"),
        Line("requests in flight", n_in_flight, ""),
        Line("links to sidecars", n_links, ""),
        Line("active teams", n_active, ""),
        Line("processor, chain on data", data, "core"),
        Line("processor, control", control, "core", CORE_BUDGET),
        Line("bytes, heartbeats", beats, "B/s"),
        Line("bytes, polls of the table", polls, "B/s"),
        Line("bytes, changes pushed", pushes, "B/s"),
        Line("bytes, team limits", sharing, "B/s"),
        Line("bytes, beats of the mesh of gateways", mesh, "B/s"),
        Line("bytes, control in all", total, "B/s", BYTES_BUDGET),
        Line("memory, state alone", memory / MEGABYTE, "MB", MEMORY_BUDGET_MB),
    ]


def sidecar(slopes: Slopes) -> list[Line]:
    """Return the account of one sidecar."""
    seconds = slopes.seconds
    n_requests = REQUESTS_PER_S / N_SIDECARS
    n_tokens = TOKENS_PER_S / N_SIDECARS
    n_in_flight = n_tokens * TOKEN_GAP_S
    n_links = N_GATEWAYS * N_MODELS * LINKS_PER_MODEL / N_SIDECARS
    interval_s = N_MODELS * LINKS_PER_MODEL / HEARTBEATS_PER_S
    n_beats = n_links / interval_s
    data = n_requests * seconds["sidecar, attempt of one token"]
    data += n_tokens * seconds["sidecar, token alone in its frame"]
    control = n_beats * seconds["sidecar, heartbeat encoded"]
    beats = n_beats * slopes.wire["heartbeat"]
    changes = CHANGES_PER_DAY / DAY_S * n_links * slopes.wire["change of one record"]
    tokens_kept = n_tokens * (60.0 + TOKENS_PER_S / REQUESTS_PER_S * TOKEN_GAP_S)
    memory = tokens_kept * slopes.memory["sidecar, token kept"]
    return [
        Line("attempts", n_requests, "1/s"),
        Line("tokens", n_tokens, "1/s"),
        Line("attempts in flight", n_in_flight, ""),
        Line("links to gateways", n_links, ""),
        Line("processor, chain on data", data, "core"),
        Line("processor, control", control, "core", CORE_BUDGET),
        Line("bytes, heartbeats", beats, "B/s"),
        Line("bytes, control in all", beats + changes, "B/s", BYTES_BUDGET),
        Line("tokens kept for reconnection", tokens_kept, ""),
        Line("memory, state alone", memory / MEGABYTE, "MB", MEMORY_BUDGET_MB),
    ]


def table() -> list[Line]:
    """Return the account of the platform's table service."""
    claims = REQUESTS_PER_S * KEYED_SHARE
    return [
        Line("reads, polls of all gateways", N_GATEWAYS * POLLS_PER_S, "1/s", 2000.0),
        Line("writes, claims and outcomes", 2 * claims, "1/s", 300.0),
        Line("reads, before outcomes", claims, "1/s"),
    ]


def main() -> int:
    """Print the account of each role and write it to the report."""
    print("measuring the slopes ...", file=sys.stderr, flush=True)
    slopes = Slopes()
    lines = ["slopes (medians)"]
    lines += [f"  {name:44} {value * MICRO:12.1f} us" for name, value in _times(slopes)]
    lines += [f"  {name:44} {value:12.0f} B" for name, value in slopes.memory.items()]
    lines += [f"  {name:44} {value:12d} B" for name, value in slopes.wire.items()]
    lines += ["", f"one of {N_GATEWAYS} gateways", *map(str, gateway(slopes))]
    lines += ["", f"one of {N_SIDECARS} sidecars", *map(str, sidecar(slopes))]
    lines += ["", "the platform's table service", *map(str, table())]
    text = "\n".join(lines)
    print(text)
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.write_text(text + "\n")
    return 0


def _times(slopes: Slopes) -> list[tuple[str, float]]:
    return list(slopes.seconds.items())


def _median(measure: object, small: int, large: int) -> float:
    found = slope(measure, small, large)  # type: ignore[arg-type]
    return found[len(found) // 2]


if __name__ == "__main__":
    sys.exit(main())
