"""Steps on clients that cost a gateway more than ordinary ones."""

from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features.support.crowd import MAX_FDS, MEMORY_MB, ORDINARY, CrowdWorld
from features.support.processes import temporary_folder


@given("a gateway process of little memory")
def start_gateway(context: Context) -> None:
    folder = temporary_folder()
    context.add_cleanup(folder.cleanup)
    context.crowd = CrowdWorld(Path(folder.name))
    context.add_cleanup(context.crowd.close)


@when("a crowd sends {kind}")
def join_crowd(context: Context, kind: str) -> None:
    context.crowd.join(kind)


@when("a client posts a badge with {n:d} header lines")
def post_lines(context: Context, n: int) -> None:
    data = ORDINARY.replace(b"Connection", b"a:\r\n" * n + b"Connection")
    context.response = context.crowd.send(data)


@then("the client gets its badge")
def check_badge(context: Context) -> None:
    assert context.response.startswith(b"HTTP/1.1 200"), context.response


@then("the gateway lives within its memory and descriptors")
def check_bounds(context: Context) -> None:
    crowd = context.crowd
    assert crowd.process.is_running, crowd.process.log_text()[-2000:]
    peak_mb = crowd.peak_mb()
    n_descriptors = crowd.n_descriptors()
    print(f"peak {peak_mb:.0f} MB, {n_descriptors} descriptors")
    assert peak_mb <= MEMORY_MB, peak_mb
    assert n_descriptors <= MAX_FDS, n_descriptors


@then("the readiness port and an ordinary client get answers")
def check_answers(context: Context) -> None:
    crowd = context.crowd
    assert crowd.await_answer(crowd.is_ready), "the readiness port is silent"
    assert crowd.await_answer(
        lambda: crowd.send(ORDINARY).startswith(b"HTTP/1.1 200")
    ), "an ordinary request is not served"


@then("the endpoint is free again")
def check_endpoint(context: Context) -> None:
    crowd = context.crowd
    assert crowd.await_answer(lambda: crowd.n_running == 0), crowd.n_running
