"""Define the status command."""

from collections.abc import Sequence
from typing import Any

import cyclopts

from ..errors import PlatformError
from ..operator import (
    AcceptedRecord,
    EndpointStatus,
    GatewayStatus,
    RecordSnapshot,
    fetch_status,
    read_accepted,
)
from ..stores import HttpTableStore
from .exit import ExitCode
from .option import GatewaysOption, OptionalTableOption, OutputOption, gateway_urls
from .output import Result, show

COLUMNS = (
    "process",
    "failure domain",
    "revision",
    "state",
    "running",
    "waiting",
    "limit",
    "load",
    "heard by",
)


def add_status_command(app: cyclopts.App) -> None:
    """Add the status command to the command line."""
    app.command(status)


def status(
    *,
    gateway: GatewaysOption = None,
    table: OptionalTableOption = "",
    output: OutputOption = "text",
) -> ExitCode:
    """Show gateways, endpoints and the revision in force in each process.

    Args:
        gateway: URLs of the gateways to query.
        table: URL of the table service; adds endpoints that no gateway hears from.
        output: Output format: tables, or JSON.
    """
    statuses = [fetch_status(url) for url in gateway_urls(gateway)]
    accepted, problem = _read_accepted(table)
    result = _result(statuses, accepted)
    if problem:
        result.notes = [*result.notes, problem]
    show(result, output)
    if problem or any(item.problem for item in statuses):
        return ExitCode.UNAVAILABLE
    return ExitCode.OK


def _read_accepted(table: str) -> tuple[RecordSnapshot | None, str]:
    if not table:
        return None, ""
    try:
        return read_accepted(HttpTableStore(table)), ""
    except PlatformError as exc:
        return None, str(exc)


def _result(
    statuses: Sequence[GatewayStatus], accepted: RecordSnapshot | None
) -> Result:
    unheard = _unheard(statuses, accepted)
    body = {
        "accepted_revision": accepted.revision if accepted else None,
        "gateways": [_gateway_body(item) for item in statuses],
        "unheard": [item.name for item in unheard],
    }
    rows = [_gateway_row(item) for item in statuses]
    rows += _endpoint_rows([item for item in statuses if not item.problem])
    rows += [_unheard_row(item) for item in unheard]
    notes = [f"{item.url}: {item.problem}" for item in statuses if item.problem]
    if accepted is not None:
        notes.append(f"Accepted revision: {accepted.revision}.")
    for item in statuses:
        if item.not_understood:
            labels = ", ".join(item.not_understood)
            notes.append(
                f"{item.name}: program too old for the schema version of {labels}"
            )
    return Result(body, columns=COLUMNS, rows=rows, notes=notes)


def _unheard(
    statuses: Sequence[GatewayStatus], accepted: RecordSnapshot | None
) -> list[AcceptedRecord]:
    heard = {endpoint.name for item in statuses for endpoint in item.endpoints}
    return [
        item
        for item in (accepted.live() if accepted else ())
        if item.kind == "endpoint" and item.name not in heard
    ]


def _unheard_row(item: AcceptedRecord) -> tuple[object, ...]:
    domain = (item.document or {})["spec"].get("failure_domain")
    name = f"sidecar of {item.name}"
    return (name, domain, "", "not heard", "", "", "", "", "none")


def _gateway_row(item: GatewayStatus) -> tuple[object, ...]:
    if item.problem:
        return (f"gateway {item.url}", "", "", "no answer", "", "", "", "", "")
    running = item.n_in_flight
    return (f"gateway {item.name}", "", item.revision, "up", running, "", "", "", "")


def _endpoint_rows(statuses: Sequence[GatewayStatus]) -> list[tuple[object, ...]]:
    views: dict[str, list[EndpointStatus]] = {}
    for item in statuses:
        for endpoint in item.endpoints:
            views.setdefault(endpoint.name, []).append(endpoint)
    return [
        _endpoint_row(views[name], f"{len(views[name])} of {len(statuses)}")
        for name in sorted(views)
    ]


def _endpoint_row(views: Sequence[EndpointStatus], heard_by: str) -> tuple[object, ...]:
    newest = max(views, key=lambda view: view.revision)
    return (
        f"sidecar of {newest.name}",
        newest.failure_domain,
        newest.revision,
        "accepting" if newest.accepting else "not accepting",
        newest.n_running,
        newest.n_waiting,
        newest.limit,
        f"{newest.load:.0%}",
        heard_by,
    )


def _gateway_body(item: GatewayStatus) -> dict[str, Any]:
    body = {name: getattr(item, name) for name in GatewayStatus.fields()}
    body["not_understood"] = list(item.not_understood)
    body["endpoints"] = [
        {name: getattr(endpoint, name) for name in EndpointStatus.fields()}
        for endpoint in item.endpoints
    ]
    return body
