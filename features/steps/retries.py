"""Steps that drive the retry filter with a manual clock."""

import random

from behave import given, then, when
from behave.runner import Context

from hawthornyard.core import Decision, ManualClock, Message, Pipeline
from hawthornyard.errors import ErrorKind
from hawthornyard.frames import Generation
from hawthornyard.gateway.inflight import InFlight
from hawthornyard.gateway.messages import (
    Admitted,
    AttemptFailed,
    Closed,
    ReplyFailed,
    Request,
)
from hawthornyard.gateway.request import Retry
from hawthornyard.policy import RetryBudget
from hawthornyard.records import GENERATION, Service, Team

SEED = 20261204
MINUTE_S = 60


class RetryDriver:
    """Sends requests through the retry filter and lets a share of attempts fail."""

    __slots__ = (
        "clock",
        "failure_share",
        "inflight",
        "n_dispatches",
        "n_requests",
        "pipeline",
        "rng",
    )

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.inflight = InFlight()
        self.rng = random.Random(SEED)
        self.failure_share = 0.0
        self.n_requests = 0
        self.n_dispatches = 0
        retry = Retry(self.inflight, RetryBudget(self.clock), self.clock)
        self.pipeline = Pipeline([retry], [self])

    @property
    def consumers(self) -> dict[type[Message], object]:
        return {
            Admitted: lambda msg: self._dispatch(msg.request),
            ReplyFailed: lambda msg: None,
            Closed: lambda msg: None,
            Decision: lambda msg: None,
        }

    def run(self, rate: int) -> None:
        """Send `rate` requests a second for a minute."""
        for _ in range(MINUTE_S * rate):
            self.clock.advance(1.0 / rate)
            self._send()

    def _send(self) -> None:
        self.n_requests += 1
        request = Request(
            f"c-{self.n_requests}",
            "r",
            Generation("scribe", "x", 1),
            Team("kiosk", ""),
            Service("summaries", GENERATION),
            idempotent=True,
            deadline=self.clock.now() + MINUTE_S,
        )
        self.inflight.add(request)
        self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        self.n_dispatches += 1
        request.n_attempts += 1
        if self.rng.random() < self.failure_share:
            self.pipeline.push(AttemptFailed(request, ErrorKind.ENDPOINT_FAILED))
        else:
            self.pipeline.push(Closed(request))


@given("a gateway's retries after a minute of {rate:d} successes a second")
def run_successes(context: Context, rate: int) -> None:
    context.rate = rate
    context.driver = RetryDriver()
    context.driver.run(rate)


@when("{share:d} percent of the attempts fail for a minute")
def run_failures(context: Context, share: int) -> None:
    driver = context.driver
    driver.failure_share = share / 100
    driver.n_requests = driver.n_dispatches = 0
    driver.run(context.rate)


@then("at most {bound:f} dispatches per request are made in that minute")
def check_bound(context: Context, bound: float) -> None:
    driver = context.driver
    assert driver.n_dispatches <= bound * driver.n_requests, (
        driver.n_dispatches,
        driver.n_requests,
    )
