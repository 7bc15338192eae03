"""Simulate planner processes that share a table and a clock, without sockets."""

import random

from hawthornyard.core import (
    Consumers,
    Decision,
    ManualClock,
    Message,
    Pipeline,
    StopRequested,
    Tick,
)
from hawthornyard.errors import PlatformError
from hawthornyard.frames import PlanEntry
from hawthornyard.io.plan_table import PlanTable
from hawthornyard.planner import (
    Candidate,
    Draft,
    ModelNeed,
    Plan,
    PlanChanged,
    PlannerInput,
    PlannerState,
    PlanTableRead,
    ReadPlanTable,
    WritePlanTable,
    planner_chain,
)
from hawthornyard.standins import MemoryTable

LEASE_S = 15.0
LONGEST_ORDER_S = 6.0
TICK_S = 0.5


class OffsetClock:
    """A process's monotonic clock: the shared clock plus an offset in seconds."""

    def __init__(self, time: ManualClock, offset: float) -> None:
        self._time = time
        self._offset = offset

    def now(self) -> float:
        return self._time.now() + self._offset


class FaultyPlanTable:
    """An in-memory table with fault injection.

    Attributes:
        rows: The table behind the faults.
        is_down: Whether writes and scans fail.
        lose_next_reply: Whether the next write takes effect but loses its reply.
        n_writes: Number of writes that reached the table.
        n_write_attempts: Number of writes sent, also while the table is down.
    """

    def __init__(self) -> None:
        self.rows = MemoryTable()
        self.is_down = False
        self.lose_next_reply = False
        self.n_writes = 0
        self.n_write_attempts = 0

    def transact(self, conditions, puts):
        self.n_write_attempts += 1
        if self.is_down:
            raise PlatformError("the table is down")
        self.n_writes += 1
        revision = self.rows.transact(conditions, puts)
        if self.lose_next_reply:
            self.lose_next_reply = False
            raise PlatformError("the reply was lost")
        return revision

    def scan(self, prefix, *, after=0):
        if self.is_down:
            raise PlatformError("the table is down")
        return self.rows.scan(prefix, after=after)

    def read(self, key):
        return self.rows.read(key)


class AlwaysMovingPolicy:
    """A placement policy that moves an endpoint to a new model in every plan."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._n_plans = 0

    def place(self, planner_input: PlannerInput, plan: Plan | None) -> Draft:
        self._n_plans += 1
        model = f"{self._name}-{self._n_plans}"
        draft = Draft(plan, {model: ModelNeed(model, model, 0, True, 0)})
        draft.move("scribe-1", [model], "test")
        return draft

    def planner_input(self) -> PlannerInput:
        return PlannerInput(0.0, [], {})


class SequentialIds:
    """Source of unique identifiers that are the same in every run."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._n_made = 0

    def new(self) -> str:
        self._n_made += 1
        return f"{self._name}-{self._n_made}"


class PlannerProcess:
    """One process that runs the planner's chain.

    Attributes:
        writes: Writes that the chain requested and that are still pending.
        plan_revisions: Revisions of the plans put in force by this process.
        decisions: Decisions of the chain.
    """

    def __init__(self, name, time, table, *, offset=0.0, seed=0):
        self.name = name
        self.clock = OffsetClock(time, offset)
        self.writes: list[WritePlanTable] = []
        self.plan_revisions: list[int] = []
        self.decisions: list[Decision] = []
        self._is_read_requested = False
        policy = AlwaysMovingPolicy(name)
        self.planner_state = PlannerState(
            name, self.clock, SequentialIds(name), duration_s=LEASE_S
        )
        chain = planner_chain(
            self.planner_state,
            policy,
            policy,
            self.clock,
            random.Random(seed),
            longest_order_s=LONGEST_ORDER_S,
        )
        self.pipeline = Pipeline(chain, [self])
        self.table = PlanTable(table, self, self.clock)

    @property
    def consumers(self) -> Consumers:
        return {
            ReadPlanTable: self._on_read_plan_table,
            WritePlanTable: self.writes.append,
            PlanChanged: lambda msg: self.plan_revisions.append(msg.plan.revision),
            Decision: self.decisions.append,
            Tick: lambda msg: None,
            StopRequested: lambda msg: None,
        }

    def put(self, msg: Message) -> None:
        self.pipeline.push(msg)

    def _on_read_plan_table(self, msg: ReadPlanTable) -> None:
        self._is_read_requested = True

    def tick(self) -> None:
        """Push a tick of the process's clock."""
        self.put(Tick(self.clock.now()))

    def write(self) -> None:
        """Execute the oldest pending write and push its result."""
        self.put(self.table.write(self.writes.pop(0)))

    def read(self) -> None:
        """Poll the table, answering a pending read request."""
        is_read_requested, self._is_read_requested = self._is_read_requested, False
        self.table.poll(is_read_requested)

    def run(self) -> None:
        """Run one tick: timer, writes, reads."""
        self.tick()
        while self.writes:
            self.write()
        self.read()

    def count_decisions(self, name: str) -> int:
        return sum(decision.name == name for decision in self.decisions)


class PlannerWorld:
    """Several planner processes whose invariants are checked at every step.

    Attributes:
        time: Clock shared by the processes.
        table: Table shared by the processes.
        processes: Running processes.
        violations: Broken invariants.
    """

    def __init__(self, n_processes: int = 2, *, seed: int = 0) -> None:
        self.time = ManualClock()
        self.table = FaultyPlanTable()
        self.processes: list[PlannerProcess] = []
        self._seed = seed
        self._n_started = 0
        self._lease_taken_at: dict[str, float] = {}
        self._plan_revision = 0
        self._last_holder = ""
        self.violations: list[str] = []
        for _ in range(n_processes):
            self.start()

    def start(self) -> PlannerProcess:
        """Start another planner process."""
        self._n_started += 1
        process = PlannerProcess(
            f"p{self._n_started}",
            self.time,
            self.table,
            offset=1000.0 * self._n_started,
            seed=self._seed + self._n_started,
        )
        self.processes.append(process)
        process.read()
        return process

    def run(self, seconds: float, *processes: PlannerProcess) -> None:
        """Run processes, all by default, and check after each one's tick."""
        for _ in range(round(seconds / TICK_S)):
            self.time.advance(TICK_S)
            for process in processes or self.processes:
                process.run()
                self.check()

    def holders(self) -> list[PlannerProcess]:
        """Return the processes that believe they hold the lease."""
        return [
            process for process in self.processes if process.planner_state.holds_lease
        ]

    def plan_row(self):
        return self.table.rows.read("plan/current")

    def check(self) -> None:
        """Record broken invariants: one lease holder, plans that never go back."""
        holders = [process.name for process in self.holders()]
        if len(holders) > 1:
            self.violations.append(f"several lease holders: {holders}")
        for process in self.processes:
            if process.plan_revisions != sorted(set(process.plan_revisions)):
                self.violations.append(
                    f"{process.name} did not advance: {process.plan_revisions}"
                )
        self._check_writer()

    def _check_writer(self) -> None:
        lease = self.table.rows.read("plan/lease")
        plan = self.plan_row()
        holder = lease.value.split('"')[3] if lease else ""
        if holder != self._last_holder:
            self._last_holder = holder
            self._lease_taken_at[holder] = self.time.now()
        if plan is None or plan.revision == self._plan_revision:
            return
        is_first = self._plan_revision == 0
        self._plan_revision = plan.revision
        writer = plan.value.split('"')[3].rpartition("-")[0]
        if writer != holder:
            self.violations.append(
                f"{writer} wrote a plan while {holder} held the lease"
            )
        waited_s = self.time.now() - self._lease_taken_at.get(holder, 0.0)
        if not is_first and waited_s < LONGEST_ORDER_S:
            self.violations.append(
                f"{writer} planned {waited_s} s after taking the lease"
            )


def candidate(
    name, *, domain="a", allowed=("scribe",), loaded=(), busy=0, available=True
):
    """Return an endpoint as input of the placement policy."""
    return Candidate(name, domain, list(allowed), list(loaded), 10, busy, available)


def model_need(model, *, version="v1", n_bytes=1, is_open=True, n_waiting=0):
    """Return a model as input of the placement policy."""
    return ModelNeed(model, version, n_bytes, is_open, n_waiting)


def plan_entry(*models, version="v1"):
    """Return a plan entry that serves these models."""
    return PlanEntry("serving", list(models), [version] * len(models), [])


__all__ = [
    "LEASE_S",
    "LONGEST_ORDER_S",
    "TICK_S",
    "FaultyPlanTable",
    "PlanTableRead",
    "PlannerProcess",
    "PlannerWorld",
    "plan_entry",
    "model_need",
    "candidate",
]
