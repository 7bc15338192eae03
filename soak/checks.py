"""Compare what callers saw and endpoints ran with what was promised."""

from collections.abc import Callable, Iterator, Mapping, Sequence

from .deployment import (
    COLD_OVER,
    COLD_PER_S,
    COLD_SLACK,
    CONFIG_S,
    CONTACT_S,
    DRAIN_S,
    KEYS,
    N_EVENTS,
    RECOVER_S,
    REPEAT_RATIO,
    REPEAT_SLACK,
    REPEAT_WINDOW_S,
    REVOKE_S,
    SERVICES,
    TIMEOUTS_S,
)
from .record import Ran, Sent
from .touch import STORE
from .world import World

EVACUATE_S = 5.0
"""Bound on the time until a failure domain that is out gets nothing more."""
GONE_S = 0.5
"""Bound on the time until a caller that left has nothing run for it any more."""
LATE_SHARE = 0.25
"""Share of runs that may go on longer than that."""
SERVED_SHARE = 0.25
"""Share of requests that must be served again once the bound on recovery is over."""
MAX_ATTEMPTS = 2
_PROMISES = frozenset({408, 421, 429, 503})

Runs = Mapping[str, Sequence[Ran]]


def check_all(world: World, runs: Runs, harm_ended_at: float) -> list[str]:
    """Return what was broken, one line each.

    Args:
        world: What was soaked.
        runs: What endpoints ran, by request id.
        harm_ended_at: Monotonic seconds at which the last harm ended.
    """
    checks: tuple[Callable[[World, Runs], Iterator[str]], ...] = (
        _run_once,
        _refusals_hold,
        _streams_in_order,
        _answers_whole,
        _identity,
        _configuration,
        _leaving,
        _domains_out,
        _cold,
        _callers_gone,
        _repeats,
        _planned_stops,
        _unanswered,
        _processes,
    )
    broken = [line for check in checks for line in check(world, runs)]
    return broken + list(_recovery(world, harm_ended_at))


def _run_once(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        fresh = [run for run in runs.get(sent.request_id, ()) if not run.is_resumed]
        allowed = MAX_ATTEMPTS if sent.kind == "lookup" else 1
        if len(fresh) > allowed:
            yield f"ran {len(fresh)} times: {sent} {fresh}"


def _refusals_hold(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        ran = runs.get(sent.request_id)
        if sent.status in _PROMISES and sent.kind != "lookup" and ran:
            yield f"refused as not run, and ran: {sent} {ran}"


def _streams_in_order(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        if sent.events != list(range(1, len(sent.events) + 1)):
            yield f"events out of order: {sent}"
        is_complete = sent.kind == "summary" and sent.status == 200
        if is_complete and sent.outcome == "whole" and len(sent.events) != N_EVENTS:
            yield f"ended as complete after {len(sent.events)} events: {sent}"


def _answers_whole(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        if sent.outcome == "whole" and sent.problem:
            yield f"answer of another: {sent}"


def _identity(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        for run in runs.get(sent.request_id, ()):
            if run.team != KEYS[sent.key] or run.has_key:
                yield f"wrong team or key passed on: {sent} {run}"
            if run.service != SERVICES[sent.kind] or run.path != sent.path:
                yield f"ran at the wrong service: {sent} {run}"


def _configuration(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        ran = runs.get(sent.request_id)
        for index, version in enumerate(world.versions):
            following = world.versions[index + 1 :]
            replaced_at = following[0].at if following else float("inf")
            ended_at = sent.ended_at or sent.sent_at
            if not version.at < sent.sent_at or ended_at > replaced_at:
                continue
            age_s = sent.sent_at - version.at
            if sent.key not in version.keys and ran and age_s > REVOKE_S:
                yield f"ran {age_s:.2f} s after its key was revoked: {sent} {ran}"
            if age_s <= CONFIG_S or not _is_in_touch(world, sent):
                continue
            if sent.kind in version.removed and ran:
                yield f"ran {age_s:.2f} s after its route was removed: {sent} {ran}"
            is_allowed = sent.kind not in version.removed and sent.key in version.keys
            if is_allowed and sent.status in (401, 403, 404):
                yield f"refused {age_s:.2f} s after it was allowed: {sent}"


def _leaving(world: World, runs: Runs) -> Iterator[str]:
    for sent, run in _pairs(world, runs):
        at = world.leaving.get(run.endpoint)
        if at is not None and run.at > at + DRAIN_S and _is_in_touch(world, sent):
            yield f"sent {run.at - at:.2f} s after the endpoint left: {sent} {run}"


def _domains_out(world: World, runs: Runs) -> Iterator[str]:
    domains = {endpoint.name: endpoint.domain for endpoint in world.endpoints}
    for sent, run in _pairs(world, runs):
        for domain, out_at, back_at in world.out:
            is_late = out_at + EVACUATE_S < run.at < back_at
            if domains[run.endpoint] == domain and is_late:
                if _is_in_touch(world, sent):
                    yield f"sent to {domain} that is out: {sent} {run}"


def _cold(world: World, runs: Runs) -> Iterator[str]:
    allowed = COLD_PER_S * COLD_OVER + COLD_SLACK
    for endpoint in world.endpoints:
        times = sorted(
            run.at
            for found in runs.values()
            for run in found
            if run.endpoint == endpoint.name
            and endpoint.cold_until - 1.0 <= run.at < endpoint.cold_until
        )
        if len(times) > allowed:
            yield f"{len(times)} requests in a second at cold {endpoint.name}"


def _callers_gone(world: World, runs: Runs) -> Iterator[str]:
    left = [
        (sent, run)
        for sent, run in _pairs(world, runs)
        if sent.outcome == "left" and _is_in_touch(world, sent)
    ]
    late = []
    for sent, run in left:
        gone_at = sent.ended_at or 0.0
        # A frozen endpoint reads what was sent to it before its caller left.
        if not world.disturbances.is_calm(sent.sent_at, run.at + 1.0, run.endpoint):
            continue
        if run.at > gone_at + GONE_S:
            yield f"ran after its caller left: {sent} {run}"
        if (run.ended_at or 0.0) > gone_at + GONE_S:
            late.append((sent, run))
    if len(late) > 3 and len(late) > LATE_SHARE * len(left):
        yield f"{len(late)} of {len(left)} ran on after their caller left: {late[0]}"


def _repeats(world: World, runs: Runs) -> Iterator[str]:
    for service in set(SERVICES.values()):
        times = sorted(sent.sent_at for sent in world.sent if sent.sent_at)
        repeats = sorted(
            run.at
            for found in runs.values()
            for run in found[1:]
            if run.service == service and not run.is_resumed
        )
        for index, at in enumerate(repeats):
            within = [t for t in repeats[index:] if t < at + REPEAT_WINDOW_S]
            n_sent = sum(at - 1.0 <= t < at + REPEAT_WINDOW_S for t in times)
            if len(within) > REPEAT_RATIO * n_sent + REPEAT_SLACK:
                yield f"{len(within)} repeats at {service} from {at:.2f} on"


def _planned_stops(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        ran = runs.get(sent.request_id, ())
        if sent.kind == "summary" or sent.outcome != "cut" or not ran:
            continue
        names = {run.endpoint for run in ran} | {sent.gateway, STORE}
        if world.disturbances.is_planned(sent, names, CONTACT_S):
            yield f"cut by a planned stop: {sent} {ran}"


def _unanswered(world: World, runs: Runs) -> Iterator[str]:
    for sent in world.sent:
        if sent.outcome == "unanswered" and _is_in_touch(world, sent):
            waited_s = (sent.ended_at or 0.0) - sent.sent_at
            limit_s = TIMEOUTS_S[sent.kind]
            yield f"no answer after {waited_s:.2f} s of {limit_s:g}: {sent}"


def _processes(world: World, runs: Runs) -> Iterator[str]:
    for gateway in world.gateways:
        if not gateway.process.is_running:
            yield f"{gateway.name} ended by itself"
        if "Traceback" in gateway.process.log_text():
            yield f"{gateway.name} has a traceback in its log"


def _recovery(world: World, harm_ended_at: float) -> Iterator[str]:
    late = [
        sent
        for sent in world.sent
        if sent.sent_at > harm_ended_at + RECOVER_S and sent.outcome != "left"
    ]
    ended = [sent for sent in late if sent.ended_at is not None]
    served = [sent for sent in ended if sent.status == 200 and sent.outcome == "whole"]
    if not ended or len(served) < SERVED_SHARE * len(ended):
        yield f"{len(served)} of {len(ended)} requests served after recovery"


def _pairs(world: World, runs: Runs) -> Iterator[tuple[Sent, Ran]]:
    for sent in world.sent:
        for run in runs.get(sent.request_id, ()):
            yield sent, run


def _is_in_touch(world: World, sent: Sent) -> bool:
    ended_at = sent.ended_at or sent.sent_at
    start = sent.sent_at - CONTACT_S
    return world.disturbances.is_calm(start, ended_at, sent.gateway, STORE)
