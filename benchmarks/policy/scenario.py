"""Scenarios: a load with the events that happen during a run."""

from typing import Protocol

from hawthornyard.core import Message

from .deployment import DOMAINS
from .world import Scheduler, World

DOMAIN_OUT_AT_S = 45.0
DOMAIN_BACK_AT_S = 70.0
RUNNER_COLD_AT_S = 45.0
RUNNER_DIES_AT_S = 45.0
RUNNER_RESTARTS_AT_S = 60.0


class EventSchedule(Protocol):
    """Schedule the events of a run."""

    def __call__(self, world: World, scheduler: Scheduler) -> None:
        """Schedule the events in the world's event loop."""
        ...


class Scenario(Message):
    """A load and the events during the run.

    Attributes:
        name: Name in the tables.
        load: Arrival rate as a share of the runners' capacity.
        schedule_events: Schedules the events.
    """

    __slots__ = ("name", "load", "schedule_events")

    def __init__(self, name: str, load: float, schedule_events: EventSchedule) -> None:
        self.name = name
        self.load = load
        self.schedule_events = schedule_events


def no_events(world: World, scheduler: Scheduler) -> None:
    """Schedule nothing."""


def domain_leaves(world: World, scheduler: Scheduler) -> None:
    """Take a failure domain out of service and return it with cold runners."""
    domain = DOMAINS[0]
    affected = [r for r in world.runners.values() if r.spec.domain == domain]

    def restore() -> None:
        for runner in affected:
            runner.model.make_cold()
        scheduler.on_domain_change(domain, True)

    world.loop.at(DOMAIN_OUT_AT_S, lambda: scheduler.on_domain_change(domain, False))
    world.loop.at(DOMAIN_BACK_AT_S, restore)


def runner_turns_cold(world: World, scheduler: Scheduler) -> None:
    """Turn the first runner cold without notice."""
    runner = next(iter(world.runners.values()))
    world.loop.at(RUNNER_COLD_AT_S, runner.model.make_cold)


def runner_dies(world: World, scheduler: Scheduler) -> None:
    """Crash the first runner and restart it cold."""
    runner = next(iter(world.runners.values()))

    def start() -> None:
        runner.restart()
        scheduler.on_runner_started(runner)

    world.loop.at(
        RUNNER_DIES_AT_S, lambda: scheduler.on_runner_died(runner, runner.crash())
    )
    world.loop.at(RUNNER_RESTARTS_AT_S, start)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("load 0.5", 0.5, no_events),
        Scenario("load 0.8", 0.8, no_events),
        Scenario("load 1.0", 1.0, no_events),
        Scenario("load 1.3", 1.3, no_events),
        Scenario("domain leaves and returns, load 0.6", 0.6, domain_leaves),
        Scenario("runner turns cold, load 0.8", 0.8, runner_turns_cold),
        Scenario("runner dies, load 0.8", 0.8, runner_dies),
    )
}
