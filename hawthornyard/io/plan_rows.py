"""Encode the plan and the planner's lease as rows of the table service."""

import json

from ..frames import PlanEntry
from ..planner import Lease, Plan
from ..stores import Row

PLAN_PREFIX = "plan/"
LEASE_KEY = f"{PLAN_PREFIX}lease"
PLAN_KEY = f"{PLAN_PREFIX}current"


def encode_lease(lease: Lease) -> str:
    """Return a lease as JSON."""
    return json.dumps(
        {
            "holder": lease.holder,
            "token": lease.token,
            "duration_s": lease.duration_s,
        }
    )


def decode_lease(row: Row) -> Lease:
    """Return the lease that a row encodes.

    Raises:
        ValueError: If the row's text is not a lease.
    """
    try:
        body = json.loads(row.value)
        return Lease(row.revision, body["holder"], body["token"], body["duration_s"])
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed lease: {exc!r}") from exc


def encode_plan(plan: Plan) -> str:
    """Return a plan as JSON; endpoints with equal entries are grouped."""
    groups: dict[str, list[str]] = {}
    for endpoint, entry in plan.entries.items():
        groups.setdefault(json.dumps(list(entry.values())), []).append(endpoint)
    body = [[json.loads(entry), names] for entry, names in groups.items()]
    return json.dumps(body, separators=(",", ":"))


def decode_plan(row: Row) -> Plan:
    """Return the plan that a row encodes.

    Raises:
        ValueError: If the row's text is not a plan.
    """
    try:
        entries = {
            endpoint: PlanEntry(*fields)
            for fields, endpoints in json.loads(row.value)
            for endpoint in endpoints
        }
    except TypeError as exc:
        raise ValueError(f"malformed plan: {exc!r}") from exc
    return Plan(row.revision, entries)
