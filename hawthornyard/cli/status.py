"""Show the fleet and the configuration in force."""

from collections.abc import Sequence
from typing import Any

import cyclopts

from ..operator import EndpointStatus, GatewayStatus, fetch_status
from .exit import ExitCode
from .option import GatewaysOption, OutputOption, gateway_urls
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
    *, gateway: GatewaysOption = None, output: OutputOption = "text"
) -> ExitCode:
    """Show gateways, endpoints and the revision in force in each process."""
    statuses = [fetch_status(url) for url in gateway_urls(gateway)]
    show(_result(statuses), output)
    if any(item.problem for item in statuses):
        return ExitCode.UNAVAILABLE
    return ExitCode.OK


def _result(statuses: Sequence[GatewayStatus]) -> Result:
    body = {"gateways": [_gateway_body(item) for item in statuses]}
    rows = [_gateway_row(item) for item in statuses]
    rows += _endpoint_rows([item for item in statuses if not item.problem])
    notes = [f"{item.url}: {item.problem}" for item in statuses if item.problem]
    for item in statuses:
        if item.not_understood:
            named = ", ".join(item.not_understood)
            notes.append(f"{item.name}: too old for the form of {named}")
    return Result(body, columns=COLUMNS, rows=rows, notes=notes)


def _gateway_row(item: GatewayStatus) -> tuple[object, ...]:
    if item.problem:
        return (f"gateway {item.url}", "", "", "no answer", "", "", "", "", "")
    running = item.n_in_flight
    return (f"gateway {item.name}", "", item.revision, "up", running, "", "", "", "")


def _endpoint_rows(statuses: Sequence[GatewayStatus]) -> list[tuple[object, ...]]:
    seen: dict[str, list[EndpointStatus]] = {}
    for item in statuses:
        for endpoint in item.endpoints:
            seen.setdefault(endpoint.name, []).append(endpoint)
    return [
        _endpoint_row(seen[name], f"{len(seen[name])} of {len(statuses)}")
        for name in sorted(seen)
    ]


def _endpoint_row(views: Sequence[EndpointStatus], heard: str) -> tuple[object, ...]:
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
        heard,
    )


def _gateway_body(item: GatewayStatus) -> dict[str, Any]:
    body = {name: getattr(item, name) for name in GatewayStatus.fields()}
    body["not_understood"] = list(item.not_understood)
    body["endpoints"] = [
        {name: getattr(endpoint, name) for name in EndpointStatus.fields()}
        for endpoint in item.endpoints
    ]
    return body
