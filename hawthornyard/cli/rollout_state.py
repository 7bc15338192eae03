"""Define the rollout command."""

from typing import Annotated

import cyclopts
from cyclopts import Parameter

from ..platform.rollout_view import RolloutView, read_rollout
from ..platform.store import PlatformStore
from ..rollout import describe_wait, find_fault
from .exit import ExitCode
from .option import OutputOption
from .output import Result, show

STORE_VARIABLE = "HAWTHORNYARD_STORE"

COLUMNS = ("field", "value")


def add_rollout_command(app: cyclopts.App) -> None:
    """Add the rollout command to the command line."""
    app.command(show_rollout, name="rollout")


def show_rollout(
    service: str,
    /,
    *,
    store: Annotated[
        str,
        Parameter(env_var=STORE_VARIABLE, help='"address:port" of the store.'),
    ],
    output: OutputOption = "text",
) -> ExitCode:
    """Show the state of a service's rollout, why it is so and what it waits for.

    Args:
        service: Name of the service.
        store: "address:port" of the platform's store.
        output: Output format: tables, or JSON.
    """
    view = read_rollout(PlatformStore(store), service)
    body = _describe(view, service)
    rows = [(name, str(value)) for name, value in body.items()]
    show(Result(body, columns=COLUMNS, rows=rows, notes=[]), output)
    has_any = view.order is not None or view.state is not None or view.order_detail
    return ExitCode.OK if has_any else ExitCode.FAILED


def _describe(view: RolloutView, service: str) -> dict[str, object]:
    body: dict[str, object] = {"service": service}
    order, state = view.order, view.state
    if view.order_detail:
        body["order_refused"] = view.order_detail
    if order is not None:
        body["ordered_version"] = order.to
    if state is None:
        body["state"] = "none"
        if order is not None:
            fault = find_fault(
                order, is_service_known=view.is_service_known, versions=view.versions
            )
            body["waits_for"] = fault or "a gateway that takes the lease"
        return body
    elapsed_s = (view.now_ms - state.started_ms) / 1000.0
    return {
        **body,
        "state": state.phase.value,
        "to": state.to,
        "step": state.step,
        "reason": state.reason,
        "waits_for": describe_wait(state, elapsed_s),
        "elapsed_s": round(elapsed_s, 3),
        "duration_s": state.duration_s,
        "holder": state.holder,
        "number": state.number,
        "lease_left_s": round((state.until_ms - view.now_ms) / 1000.0, 3),
    }
