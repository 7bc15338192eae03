"""Measure the cost of placement decisions and the size of the plan's row and frames.

Run as `python -m benchmarks.placement [ENDPOINTS MODELS]`.
"""

import random
import statistics
import sys
import time

from hawthornyard.codec import MsgpackCodec
from hawthornyard.core import ManualClock
from hawthornyard.frames import LoadedReport, PlanPush
from hawthornyard.io.plan_rows import decode_plan, encode_lease, encode_plan
from hawthornyard.planner import (
    Candidate,
    DemandDrivenPlacement,
    Lease,
    ModelNeed,
    Plan,
    PlannerInput,
)
from hawthornyard.stores import Row

N_DECISIONS = 100
N_ENCODINGS = 50
PLAN_INTERVAL_S = 5.0
ENDPOINT_CAPACITY = 32


class PlacementBench:
    """A fleet of endpoints and its plan.

    Args:
        n_endpoints: Number of endpoints, each of which may load any model.
        n_models: Number of models, all of them open.
    """

    __slots__ = ("rng", "clock", "models", "needs", "plan", "policy", "candidates")

    def __init__(self, n_endpoints: int, n_models: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.models = [f"model-{index:02}" for index in range(n_models)]
        self.needs = {
            model: ModelNeed(model, f"{model}-weights-v1", 1, True, 0)
            for model in self.models
        }
        self.candidates = [
            Candidate(
                f"runner-{index:03}",
                f"domain-{index % 6}",
                self.models,
                [],
                ENDPOINT_CAPACITY,
                0,
                True,
            )
            for index in range(n_endpoints)
        ]
        self.policy = DemandDrivenPlacement(self.clock)
        self.plan = Plan(0, {})

    def decide(self) -> tuple[int, float]:
        """Make one decision; return the number of moves and the milliseconds spent."""
        planner_input = PlannerInput(self.clock.now(), self.candidates, self.needs)
        started_s = time.process_time()
        draft = self.policy.place(planner_input, self.plan)
        spent_ms = (time.process_time() - started_s) * 1000
        if draft.moves:
            self.plan = Plan(self.plan.revision + 1, draft.plan().entries)
        for candidate in self.candidates:
            candidate.loaded = list(draft.models_of(candidate.endpoint))
        self.clock.advance(PLAN_INTERVAL_S)
        return len(draft.moves), spent_ms

    def set_load(self, index: int) -> None:
        """Set a moderate load; overload two models in turn in the second half."""
        overloaded_models = {
            self.models[(index // 10 + step) % len(self.models)] for step in (0, 1)
        }
        for candidate in self.candidates:
            is_overloaded = index >= N_DECISIONS // 2 and overloaded_models & set(
                candidate.loaded
            )
            low, high = (28, 40) if is_overloaded else (8, 20)
            candidate.n_busy = self.rng.randint(low, high)


def main(n_endpoints: int, n_models: int) -> None:
    """Print the figures for one size of fleet."""
    bench = PlacementBench(n_endpoints, n_models)
    while len(bench.plan.entries) < n_endpoints:
        bench.decide()
    decision_ms: dict[bool, list[float]] = {False: [], True: []}
    for index in range(N_DECISIONS):
        bench.set_load(index)
        n_moves, spent_ms = bench.decide()
        decision_ms[n_moves > 0].append(spent_ms)
    print(f"{n_endpoints} endpoints, {n_models} models")
    for moved, label in ((False, "without"), (True, "with")):
        print(f"decision {label} moves: {_summary(decision_ms[moved])}")
    row_text = encode_plan(bench.plan)
    print(f"plan row: {len(row_text)} bytes")
    print(f"plan row encoded: {_time_ms(lambda: encode_plan(bench.plan))}")
    print(f"plan row decoded: {_time_ms(lambda: decode_plan(Row('', row_text, 1)))}")
    lease = Lease(0, f"gateway-123/{'a' * 24}", "b" * 24, 15.0)
    print(f"lease row: {len(encode_lease(lease))} bytes")
    codec = MsgpackCodec()
    entry = next(iter(bench.plan.entries.values()))
    loaded = LoadedReport("runner-001", 123456, entry.role, entry.models)
    print(f"PlanPush frame: {len(codec.encode(PlanPush(123456, entry)))} bytes")
    print(f"Loaded frame: {len(codec.encode(loaded))} bytes")


def _summary(durations_ms: list[float]) -> str:
    if not durations_ms:
        return "none"
    median = statistics.median(durations_ms)
    return (
        f"{len(durations_ms)} of them, median {median:.2f} ms, "
        f"at most {max(durations_ms):.2f} ms"
    )


def _time_ms(call: object) -> str:
    assert callable(call)
    started_s = time.process_time()
    for _ in range(N_ENCODINGS):
        call()
    return f"{(time.process_time() - started_s) * 1000 / N_ENCODINGS:.2f} ms"


if __name__ == "__main__":
    sizes = [int(arg) for arg in sys.argv[1:]] or [600, 12]
    main(*sizes)
