"""Planner processes that share a table and a time, without sockets."""

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
from hawthornyard.rim.plan_table import PlanTable
from hawthornyard.standins import MemoryTable

LEASE_S = 15.0
LONGEST_ORDER_S = 6.0
TICK_S = 0.5


class OwnClock:
    """A process's monotonic clock: the common pace, an offset of its own."""

    def __init__(self, time: ManualClock, offset: float) -> None:
        self._time = time
        self._offset = offset

    def now(self) -> float:
        return self._time.now() + self._offset


class FaultyTable:
    """A table in memory that is down or loses replies on demand."""

    def __init__(self) -> None:
        self.rows = MemoryTable()
        self.is_down = False
        self.lose_next = False
        self.n_writes = 0
        self.n_tries = 0

    def transact(self, conditions, puts):
        self.n_tries += 1
        if self.is_down:
            raise PlatformError("down")
        self.n_writes += 1
        revision = self.rows.transact(conditions, puts)
        if self.lose_next:
            self.lose_next = False
            raise PlatformError("the reply was lost")
        return revision

    def scan(self, prefix, *, after=0):
        if self.is_down:
            raise PlatformError("down")
        return self.rows.scan(prefix, after=after)

    def read(self, key):
        return self.rows.read(key)


class EverChanging:
    """A policy that moves an endpoint in every plan, to a model of its own."""

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


class Tokens:
    """Identifiers that are unique and the same on every run."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._n = 0

    def new(self) -> str:
        self._n += 1
        return f"{self._name}-{self._n}"


class PlannerProcess:
    """One process with the planner's filters.

    Attributes:
        writes: Writes that left the pipeline and were not carried out yet.
        plans: Revisions of the plans that came into force here.
        log: Decisions.
    """

    def __init__(self, name, time, table, *, offset=0.0, seed=0):
        self.name = name
        self.clock = OwnClock(time, offset)
        self.writes: list[WritePlanTable] = []
        self.plans: list[int] = []
        self.log: list[Decision] = []
        self._asked = False
        policy = EverChanging(name)
        self.planner_state = PlannerState(
            name, self.clock, Tokens(name), duration_s=LEASE_S
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
            ReadPlanTable: self._on_read,
            WritePlanTable: self.writes.append,
            PlanChanged: lambda msg: self.plans.append(msg.plan.revision),
            Decision: self.log.append,
            Tick: lambda msg: None,
            StopRequested: lambda msg: None,
        }

    def put(self, msg: Message) -> None:
        self.pipeline.push(msg)

    def _on_read(self, msg: ReadPlanTable) -> None:
        self._asked = True

    def tick(self) -> None:
        """Let the timer fire."""
        self.put(Tick(self.clock.now()))

    def write(self) -> None:
        """Carry out the oldest write that waits and take the answer in."""
        self.put(self.table.write(self.writes.pop(0)))

    def read(self) -> None:
        """Poll, also for a question that waits."""
        asked, self._asked = self._asked, False
        self.table.poll(asked)

    def run(self) -> None:
        """Run for one tick: timer, writes, reads."""
        self.tick()
        while self.writes:
            self.write()
        self.read()

    def count(self, name: str) -> int:
        return sum(decision.name == name for decision in self.log)


class PlannerWorld:
    """Several planner processes; checks the promises at every step."""

    def __init__(self, n_processes: int = 2, *, seed: int = 0) -> None:
        self.time = ManualClock()
        self.table = FaultyTable()
        self.processes: list[PlannerProcess] = []
        self._seed = seed
        self._n_started = 0
        self._taken_at: dict[str, float] = {}
        self._plan_revision = 0
        self._last_holder = ""
        self.violations: list[str] = []
        for _ in range(n_processes):
            self.start()

    def start(self) -> PlannerProcess:
        """Start a process."""
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
        """Run processes, all by default, and check at each tick."""
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
        """Note every broken promise."""
        holders = [process.name for process in self.holders()]
        if len(holders) > 1:
            self.violations.append(f"two holders: {holders}")
        for process in self.processes:
            if process.plans != sorted(set(process.plans)):
                self.violations.append(f"{process.name} went back: {process.plans}")
        self._check_writer()

    def _check_writer(self) -> None:
        lease = self.table.rows.read("plan/lease")
        plan = self.plan_row()
        holder = lease.value.split('"')[3] if lease else ""
        if holder != self._last_holder:
            self._last_holder = holder
            self._taken_at[holder] = self.time.now()
        if plan is None or plan.revision == self._plan_revision:
            return
        is_first = self._plan_revision == 0
        self._plan_revision = plan.revision
        writer = plan.value.split('"')[3].rpartition("-")[0]
        if writer != holder:
            self.violations.append(f"{writer} wrote a plan, {holder} holds the lease")
        waited = self.time.now() - self._taken_at.get(holder, 0.0)
        if not is_first and waited < LONGEST_ORDER_S:
            self.violations.append(f"{writer} planned after {waited} s")


def candidate(
    name, *, domain="a", allowed=("scribe",), loaded=(), busy=0, available=True
):
    """Return one endpoint for the placement policy."""
    return Candidate(name, domain, list(allowed), list(loaded), 10, busy, available)


def need(model, *, version="v1", n_bytes=1, is_open=True, n_waiting=0):
    """Return one model for the placement policy."""
    return ModelNeed(model, version, n_bytes, is_open, n_waiting)


def entry(*models, version="v1"):
    """Return a plan entry of these models."""
    return PlanEntry("serving", list(models), [version] * len(models), [])


__all__ = [
    "LEASE_S",
    "LONGEST_ORDER_S",
    "TICK_S",
    "FaultyTable",
    "PlanTableRead",
    "PlannerProcess",
    "PlannerWorld",
    "entry",
    "need",
    "candidate",
]
