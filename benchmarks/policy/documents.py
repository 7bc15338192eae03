"""Records of a deployment, in the form in which the table service returns them."""

import json
from collections.abc import Mapping
from typing import Any

from hawthornyard.frames import RecordEntry
from hawthornyard.records import GENERATION, NEWEST_SCHEMA, Service

from .deployment import DOMAINS, DeploymentSpec
from .workload import MODEL, REQUEST_MIXES

ADDRESS = "127.0.0.1:1"
SERVICES = {
    mix.service: Service(
        mix.service,
        GENERATION,
        models=[MODEL],
        priority=mix.priority,
        deadline_s=mix.timeout_s,
    )
    for mix in REQUEST_MIXES.values()
}


def domain_entry(name: str, *, in_service: bool) -> RecordEntry:
    """Return the record of a failure domain."""
    return _entry("failure_domain", name, {"region": "r", "in_service": in_service})


def deployment_entries(
    spec: DeploymentSpec, initial_limits: Mapping[str, int]
) -> list[RecordEntry]:
    """Return the records of a deployment.

    Args:
        spec: The deployment.
        initial_limits: Initial limit of each endpoint by name.
    """
    entries = [domain_entry(name, in_service=True) for name in DOMAINS]
    for mix in REQUEST_MIXES.values():
        fields = {
            "protocol": GENERATION,
            "models": [MODEL],
            "priority": mix.priority,
            "deadline_s": mix.timeout_s,
        }
        entries.append(_entry("service", mix.service, fields))
    for runner in spec.runners:
        fields = {
            "failure_domain": runner.domain,
            "sidecar": ADDRESS,
            "protocol": GENERATION,
            "models": [MODEL],
            "memory_tokens": runner.profile.memory_tokens,
            "initial_limit": initial_limits[runner.name],
            "max_limit": runner.max_limit,
        }
        entries.append(_entry("endpoint", runner.name, fields))
    return entries


def _entry(kind: str, name: str, spec: Mapping[str, Any]) -> RecordEntry:
    schema = NEWEST_SCHEMA[kind]
    document = {"kind": kind, "schema": schema, "name": name, "spec": spec}
    return RecordEntry(kind, name, 0, json.dumps(document))
