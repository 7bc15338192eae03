"""Run the decisions of one rollout on seeded responses, without a network."""

import heapq
import random
from typing import Any

from hawthornyard.rollout import (
    Evidence,
    Exposure,
    Phase,
    RolloutState,
    Tally,
    choose_tested,
    decide,
    period_length_s,
    share_of,
)

EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50.0
DURATION_S = 12.0
REPORT_INTERVAL_S = 0.5
ROUTES = (("badge", 0.08), ("lookup", 0.2), ("quote", 0.4))
N_OLD = 6


class Profile:
    """How a version responds.

    Attributes:
        errors: Share of failed responses.
        slowness: Factor of the times.
        since_s: Seconds after the order from which it is so.
        route: Only route that is so, empty for all.
        load_per_s: Requests a second at one endpoint above which it is so.
    """

    __slots__ = ("errors", "load_per_s", "route", "since_s", "slowness")

    def __init__(
        self,
        errors: float = 0.0,
        slowness: float = 1.0,
        *,
        since_s: float = 0.0,
        route: str = "",
        load_per_s: float = 0.0,
    ) -> None:
        self.errors = errors
        self.slowness = slowness
        self.since_s = since_s
        self.route = route
        self.load_per_s = load_per_s

    @property
    def is_bad(self) -> bool:
        return self.errors > 0 or self.slowness > 1.0


class RolloutRun:
    """One rollout, from the order to its end.

    Attributes:
        phase: Phase at the end.
        reason: Reason of the last step.
        ended_s: Seconds from the order to the end.
        n_requests: Requests that reached the service within the duration.
        n_new: Requests that the new version got.
        latest_s: Seconds from the 50th bad response to the last request sent to the new
            version, 0 if there were fewer.
    """

    __slots__ = (
        "_evidence",
        "_exposures",
        "_n_bad",
        "_pending",
        "_profile",
        "_random",
        "_sent",
        "_shared",
        "_state",
        "_tallies",
        "ended_s",
        "fiftieth_at",
        "latest_s",
        "n_new",
        "n_requests",
        "reason",
    )

    def __init__(self, profile: Profile, seed: int, **traffic: Any) -> None:
        self._profile = profile
        self._random = random.Random(seed)
        n_gateways = traffic.get("n_gateways", 26)
        self._shared = traffic.get("shared", (0.0, 0.0, 0.0))
        self._exposures = [
            Exposure(EXPOSE_SLACK, n_gateways) for _ in range(n_gateways)
        ]
        self._evidence = Evidence(period_length_s(DURATION_S))
        self._state = RolloutState("desk", "v2", 1, DURATION_S, 0.0)
        self._pending: list[tuple[float, int, str, bool, bool, float]] = []
        self._tallies: dict[tuple[float, str, bool], Tally] = {}
        self._sent: dict[str, list[float]] = {}
        self._n_bad = self.n_new = self.n_requests = 0
        self.fiftieth_at = float("inf")
        self.latest_s = self.ended_s = 0.0
        self.reason = ""
        self._run(traffic.get("rate", 300.0))

    @property
    def phase(self) -> Phase:
        return self._state.phase

    def _run(self, rate: float) -> None:
        now = 0.0
        report_at = REPORT_INTERVAL_S
        while not self._state.phase.is_final and now < 2 * DURATION_S:
            now += self._random.expovariate(rate)
            if now <= DURATION_S:
                self.n_requests += 1
            self._arrive(now)
            self._respond(now)
            if now >= report_at:
                report_at += REPORT_INTERVAL_S
                self._decide(now)
        self.ended_s = now

    def _arrive(self, now: float) -> None:
        exposure = self._random.choice(self._exposures)
        route, median_s = ROUTES[min(2, int(self._random.expovariate(0.8)))]
        share = share_of(self._state.phase, self._state.step, EXPOSE_SHARE)
        is_new = share >= 1.0 or exposure.may_expose(self._random.random())
        exposure.note_request(share)
        if is_new:
            if share < 1.0:
                exposure.note_exposed()
            self.n_new += 1
            self.latest_s = max(self.latest_s, now - self.fiftieth_at)
        is_bad, factor = self._outcome(now, route, is_new, share)
        seconds = median_s * factor * self._random.lognormvariate(0.0, 0.4)
        entry = (now + seconds, self._random.getrandbits(60), route, is_new, is_bad)
        heapq.heappush(self._pending, (*entry, seconds))

    def _outcome(
        self, now: float, route: str, is_new: bool, share: float
    ) -> tuple[bool, float]:
        errors, start, end = self._shared
        is_bad = start <= now < end and self._random.random() < errors
        profile = self._profile
        if not is_new or now < profile.since_s or profile.route not in ("", route):
            return is_bad, 1.0
        if profile.load_per_s and self._load(now, share) < profile.load_per_s:
            return is_bad, 1.0
        return is_bad or self._random.random() < profile.errors, profile.slowness

    def _load(self, now: float, share: float) -> float:
        # Requests in the last second at the endpoint of the new version that gets one.
        names = [f"new-{index}" for index in range(N_OLD)]
        tested = choose_tested(names, N_OLD, share, int(now / 2))
        times = self._sent.setdefault(self._random.choice(tested), [])
        times.append(now)
        return sum(at > now - 1.0 for at in times)

    def _respond(self, now: float) -> None:
        while self._pending and self._pending[0][0] <= now:
            ended_at, _, route, is_new, is_bad, seconds = heapq.heappop(self._pending)
            sent_at = ended_at - seconds
            tally = self._tallies.setdefault((sent_at, route, is_new), Tally())
            tally.note(is_bad=is_bad)
            if not is_bad:
                tally.note_time(seconds)
            self._n_bad += is_new and is_bad
            if self._n_bad >= 50:
                self.fiftieth_at = min(self.fiftieth_at, now)

    def _decide(self, now: float) -> None:
        tallies, self._tallies = self._tallies, {}
        for (sent_at, route, is_new), tally in tallies.items():
            self._evidence.add(sent_at, route, is_new=is_new, tally=tally)
        is_idle = not any(entry[3] is False for entry in self._pending)
        step = decide(
            self._state, self._evidence, elapsed_s=now, now=now, is_old_idle=is_idle
        )
        self.reason = step.reason
        self._state = self._state.replaced(phase=step.phase, step=step.step)
