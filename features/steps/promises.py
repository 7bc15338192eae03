"""Steps that inject each fault at each step of a request, with a manual clock."""

from behave import given, then, when
from behave.runner import Context

from features.support.checker import check_all, find_violations
from features.support.fault_scenario import FIRST_GATEWAY, SECOND_GATEWAY, FaultScenario
from features.support.history import Caller
from hawthornyard.core import StopRequested
from hawthornyard.errors import ANSWERS, ErrorKind, Ran
from hawthornyard.frames import Refused
from hawthornyard.gateway.messages import CallerGone

_STEP_OF_COLUMN = {
    "decode": "before decode",
    "claimed": "after the claim is written",
    "dispatch": "before dispatch",
    "sent": "dispatched and not received",
    "queued": "received and not admitted",
    "admitted": "admitted and not begun",
    "begun": "begun",
    "first": "first token",
    "mid": "mid-stream",
    "last": "last token before the end",
    "ended": "ended and not acknowledged",
}

_OUTCOME_OF_ERROR = {
    ErrorKind.KEY_IN_PROGRESS: "busy",
    ErrorKind.GENERATION_LOST: "lost",
    ErrorKind.OUTCOME_UNKNOWN: "unknown",
}


@when('"{fault}" occurs at each step of a {kind}')
def inject_at_each_step(context: Context, fault: str, kind: str) -> None:
    context.scenes = {}
    for column in context.table.headings:
        scene = FaultScenario(kind)
        scene.advance_to(_STEP_OF_COLUMN[column])
        scene.inject(fault)
        scene.finish()
        context.scenes[column] = scene


@then("every promise holds, and the last answer is")
def check_matrix(context: Context) -> None:
    (row,) = context.table
    seen = {}
    for column, scene in context.scenes.items():
        broken = find_violations(scene.world.history)
        assert not broken, f"{column}: {broken}"
        seen[column] = outcome((scene.retries or [scene.caller])[-1])
    expected = dict(zip(row.headings, row.cells, strict=True))
    assert seen == expected, seen


def outcome(caller: Caller) -> str:
    """Return the outcome of a call as the word that the tables use."""
    if caller.is_complete:
        return "whole"
    if caller.failure is None:
        return "cut" if caller.is_disconnected else "none"
    if ANSWERS[caller.failure].ran is Ran.NO:
        return "refused"
    return _OUTCOME_OF_ERROR.get(caller.failure, caller.failure.value)


@given("a {kind} at the step {step}")
def drive(context: Context, kind: str, step: str) -> None:
    context.scene = FaultScenario(kind)
    context.scene.advance_to(step)


@when('the fault "{fault}" occurs')
def inject(context: Context, fault: str) -> None:
    context.scene.inject(fault)


@when("all work is finished")
def finish(context: Context) -> None:
    context.scene.finish()


@then("every promise holds")
def check_promises(context: Context) -> None:
    check_all(context.scene.world.history)


@then("the answer is {word}")
def check_answer(context: Context, word: str) -> None:
    seen = outcome(context.scene.caller)
    assert seen == word, (seen, context.scene.caller.failure)


@then("the next answer with the same key is {word}")
def check_next(context: Context, word: str) -> None:
    scene = context.scene
    scene.world.settle(5)
    again = scene.send(SECOND_GATEWAY, "again")
    scene.world.settle(5)
    assert outcome(again) == word, (outcome(again), again.failure)
    check_all(scene.world.history)


@then("the request was run {n_runs:d} times")
def check_runs(context: Context, n_runs: int) -> None:
    scene = context.scene
    runs = scene.world.history.runs_of(scene.caller.request_id)
    assert len(runs) == n_runs, runs


@when("the sidecar refuses the request while the caller disconnects")
def refuse_and_leave(context: Context) -> None:
    scene = context.scene
    gateway = scene.world.gateways[FIRST_GATEWAY]
    (request,) = list(gateway.inflight)
    (call_id,) = list(gateway.callers_by_call_id)
    for link in scene.world.links_of(FIRST_GATEWAY):
        link.to_sidecar.clear()
    gateway.put(Refused(request.attempt_id, "overloaded", "").with_peer(scene.endpoint))
    gateway.put(CallerGone(call_id))
    scene.world.disconnect_caller(scene.caller)
    scene.world.run_until_idle()


@when("the claim of a request is not answered before its deadline")
def answer_claim_late(context: Context) -> None:
    scene = context.scene
    scene.world.gateways[FIRST_GATEWAY].claims.is_slow = True
    scene.caller = scene.send(FIRST_GATEWAY)
    scene.world.advance(301)
    assert scene.caller.failure is ErrorKind.DEADLINE_EXCEEDED, scene.caller.failure
    scene.world.gateways[FIRST_GATEWAY].claims.is_slow = False


@when("the caller reconnects with the name of an unknown endpoint")
def reconnect_to_unknown(context: Context) -> None:
    scene = context.scene
    scene.world.disconnect_caller(scene.caller)
    scene.caller.endpoint = "nobody"
    scene.world.reconnect(scene.caller, SECOND_GATEWAY)
    scene.world.settle(10)


@when("an endpoint with queued work is told to leave")
def drain_endpoint(context: Context) -> None:
    scene = context.scene
    world = scene.world
    world.apply_documents([world.endpoint_document(scene.endpoint, leaving=True)])
    world.set_endpoint_unavailable(scene.endpoint, is_unavailable=True)
    world.run_until_idle()
    world.advance(4)


@when(
    "operators take its failure domain out of service,"
    " and its gateway cannot read the change"
)
def take_domain_out_unread(context: Context) -> None:
    scene = context.scene
    domain = scene.endpoint.split("-")[1]
    scene.world.set_domain(domain, in_service=False, skip_gateway=FIRST_GATEWAY)
    scene.world.run_until_idle()
    scene.world.settle(3)
    for index in range(10):
        scene.world.generate(FIRST_GATEWAY, f"later-{index}")
        scene.world.settle(2)


@when("the sidecar is stopped while its answers are held back")
def stop_with_held_answers(context: Context) -> None:
    scene = context.scene
    sidecar = scene.world.sidecars[scene.endpoint]
    scene.caller.must_complete = True
    sidecar.put(StopRequested())
    for link in scene.world.links_of(FIRST_GATEWAY):
        link.is_held = True
    scene.world.settle(2)
    assert sidecar.is_alive
    scene.release_held()
    scene.world.settle(15)
    assert not sidecar.is_alive
