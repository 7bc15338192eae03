"""Say what happens in a run beside the load."""

from typing import Protocol

from hawthornyard.core import Message

from .deployment import DOMAINS
from .world import Scheduler, World

DOMAIN_OUT_AT_S = 45.0
DOMAIN_BACK_AT_S = 70.0
TURNS_COLD_AT_S = 45.0
DIES_AT_S = 45.0
STARTS_AT_S = 60.0


class Course(Protocol):
    """Schedule the events of a run."""

    def __call__(self, world: World, scheduler: Scheduler) -> None:
        """Put the events into the world's loop."""
        ...


class Scenario(Message):
    """A load with the events that go with it.

    Attributes:
        name: Name in the tables.
        load: Share of what the runners can bear.
        course: The events.
    """

    __slots__ = ("name", "load", "course")

    def __init__(self, name: str, load: float, course: Course) -> None:
        self.name = name
        self.load = load
        self.course = course


def quiet(world: World, scheduler: Scheduler) -> None:
    """Let nothing happen beside the load."""


def domain_leaves(world: World, scheduler: Scheduler) -> None:
    """Take a failure domain out and bring it back with cold runners."""
    domain = DOMAINS[0]
    leaving = [r for r in world.runners.values() if r.spec.domain == domain]

    def come_back() -> None:
        for runner in leaving:
            runner.model.make_cold()
        scheduler.on_domain(domain, True)

    world.loop.at(DOMAIN_OUT_AT_S, lambda: scheduler.on_domain(domain, False))
    world.loop.at(DOMAIN_BACK_AT_S, come_back)


def turns_cold(world: World, scheduler: Scheduler) -> None:
    """Turn the first runner cold without warning."""
    runner = next(iter(world.runners.values()))
    world.loop.at(TURNS_COLD_AT_S, runner.model.make_cold)


def dies(world: World, scheduler: Scheduler) -> None:
    """Lose the first runner and start a cold one in its place."""
    runner = next(iter(world.runners.values()))

    def start() -> None:
        runner.start()
        scheduler.on_started(runner)

    world.loop.at(DIES_AT_S, lambda: scheduler.on_died(runner, runner.die()))
    world.loop.at(STARTS_AT_S, start)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("load 0.5", 0.5, quiet),
        Scenario("load 0.8", 0.8, quiet),
        Scenario("load 1.0", 1.0, quiet),
        Scenario("load 1.3", 1.3, quiet),
        Scenario("domain leaves and returns, load 0.6", 0.6, domain_leaves),
        Scenario("runner turns cold, load 0.8", 0.8, turns_cold),
        Scenario("runner dies, load 0.8", 0.8, dies),
    )
}
