"""Load and validate the YAML settings of gateways and sidecars."""

import os
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from .documents import (
    Problem,
    SourceDocument,
    Violation,
    check_value,
    format_problems,
    read_documents,
)
from .errors import SettingsError
from .planner import DEFAULT_WEIGHT_BYTES_PER_S, LEASE_DURATION_S

PEER_KEY_VARIABLE = "HAWTHORNYARD_PEER_KEY"
MIN_PEER_KEY_CHARS = 16

_ADDRESS = {
    "type": "string",
    "pattern": r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$",
    "description": "address:port, with an IP address",
}
_NAME = {
    "type": "string",
    "pattern": "^[a-z0-9][a-z0-9-]{0,62}$",
    "description": "lower-case letters, digits and hyphens, at most 63",
}
_URL = {
    "type": "string",
    "pattern": "^http://",
    "description": "URL that begins with http://",
}
_LOG_LEVEL = {
    "enum": ["DEBUG", "INFO", "WARNING", "ERROR"],
    "description": "minimum level of logged messages",
    "default": "INFO",
}


def _with_meaning(schema: dict[str, Any], meaning: str) -> dict[str, Any]:
    return {**schema, "description": f"{meaning}; {schema['description']}"}


_FAILURE_DOMAIN = _with_meaning(_NAME, "failure domain of the host")

GATEWAY_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["program", "name", "failure_domain", "listen", "table"],
    "properties": {
        "program": {
            "const": "gateway",
            "description": "program that the settings are for",
        },
        "name": _with_meaning(_NAME, "name of the process, unique in the fleet"),
        "failure_domain": _FAILURE_DOMAIN,
        "listen": _with_meaning(_ADDRESS, "where callers connect"),
        "table": _with_meaning(_URL, "the platform's table service"),
        "hosts": _with_meaning(_URL, "the platform's host list"),
        "objects": _with_meaning(_URL, "the platform's object store"),
        "weights": _with_meaning(_URL, "the platform's weight store"),
        "weight_bytes_per_s": {
            "type": "number",
            "exclusiveMinimum": 0,
            "description": "total read rate of the weight store, bytes per second",
        },
        "planner_lease_s": {
            "type": "number",
            "minimum": 1,
            "maximum": 600,
            "description": "duration of the planner's lease, seconds",
        },
        "log_level": _LOG_LEVEL,
        "peer_listen": _with_meaning(_ADDRESS, "where other gateways connect"),
        "peers": {
            "type": "object",
            "additionalProperties": _ADDRESS,
            "description": "address:port of each other gateway by name",
        },
    },
}

SIDECAR_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["program", "name", "failure_domain", "listen", "endpoint", "protocol"],
    "properties": {
        "program": {
            "const": "sidecar",
            "description": "program that the settings are for",
        },
        "name": _with_meaning(_NAME, "name of its endpoint record"),
        "failure_domain": _FAILURE_DOMAIN,
        "listen": _with_meaning(_ADDRESS, "where gateways connect"),
        "endpoint": _with_meaning(_URL, "the endpoint that it serves"),
        "protocol": {
            "enum": ["generation", "http"],
            "description": "generation for a model engine, http for a plain service",
        },
        "log_level": _LOG_LEVEL,
        "metrics": _with_meaning(_ADDRESS, "where the metrics are served"),
    },
}

SETTINGS_SCHEMAS = {"gateway": GATEWAY_SCHEMA, "sidecar": SIDECAR_SCHEMA}
"""JSON Schema of the settings of each program."""


class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        name: Name of the process, unique in the fleet.
        failure_domain: Failure domain of its host.
        listen: "address:port" for callers.
        table: URL of the platform's table service.
        peer_key: Secret that all processes of the deployment share.
        log_level: Minimum level of logged messages.
        peer_listen: "address:port" for other gateways, empty for none.
        peers: "address:port" of the other gateways by name.
        hosts: URL of the platform's host list, empty for none.
        objects: URL of the platform's object store, empty for none.
        weights: URL of the platform's weight store, empty for none.
        weight_bytes_per_s: Total read rate of the weight store, in bytes per second.
        planner_lease_s: Duration of the planner's lease, in seconds.
    """

    __slots__ = (
        "failure_domain",
        "hosts",
        "listen",
        "log_level",
        "name",
        "objects",
        "peer_key",
        "peer_listen",
        "peers",
        "planner_lease_s",
        "table",
        "weight_bytes_per_s",
        "weights",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        listen: str,
        table: str,
        peer_key: bytes,
        *,
        log_level: str = "INFO",
        peer_listen: str = "",
        peers: Mapping[str, str] | None = None,
        hosts: str = "",
        objects: str = "",
        weights: str = "",
        weight_bytes_per_s: float = DEFAULT_WEIGHT_BYTES_PER_S,
        planner_lease_s: float = LEASE_DURATION_S,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.listen = listen
        self.table = table
        self.peer_listen = peer_listen
        self.peers = dict(peers or {})
        self.peer_key = peer_key
        self.log_level = log_level
        self.hosts = hosts
        self.objects = objects
        self.weights = weights
        self.weight_bytes_per_s = weight_bytes_per_s
        self.planner_lease_s = planner_lease_s


class SidecarSettings:
    """Settings of a sidecar.

    Attributes:
        name: Name of its endpoint record.
        failure_domain: Failure domain of its host.
        listen: "address:port" for gateways.
        endpoint: URL of the endpoint.
        protocol: "generation" or "http".
        peer_key: Secret that all processes of the deployment share.
        log_level: Minimum level of logged messages.
        metrics: "address:port" for the metrics server, empty for none.
    """

    __slots__ = (
        "endpoint",
        "failure_domain",
        "listen",
        "log_level",
        "metrics",
        "name",
        "peer_key",
        "protocol",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        listen: str,
        endpoint: str,
        protocol: str,
        peer_key: bytes,
        *,
        log_level: str = "INFO",
        metrics: str = "",
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.listen = listen
        self.endpoint = endpoint
        self.protocol = protocol
        self.peer_key = peer_key
        self.log_level = log_level
        self.metrics = metrics


def load_settings(
    path: Path, *, environ: Mapping[str, str] = os.environ
) -> GatewaySettings | SidecarSettings:
    """Load the settings of a gateway or sidecar from a YAML file.

    Args:
        path: Settings file.
        environ: Environment variables, with the secret HAWTHORNYARD_PEER_KEY.

    Raises:
        SettingsError: If the file or the secret is not valid. The text gives the
            file, line and field, the given value and the allowed values.
    """
    document, problems = _read_document(path)
    problems += secret_problems(environ)
    if problems:
        raise SettingsError(format_problems(problems))
    fields = dict(document)
    program = fields.pop("program")
    fields["peer_key"] = environ[PEER_KEY_VARIABLE].encode()
    if program == "gateway":
        return GatewaySettings(**fields)
    return SidecarSettings(**fields)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Load the settings of a gateway; see `load_settings`.

    Raises:
        SettingsError: If the settings are not valid or are for a sidecar.
    """
    settings = load_settings(path)
    if not isinstance(settings, GatewaySettings):
        raise SettingsError(_wrong_program(path, "sidecar", "gateway"))
    return settings


def load_sidecar_settings(path: Path) -> SidecarSettings:
    """Load the settings of a sidecar; see `load_settings`.

    Raises:
        SettingsError: If the settings are not valid or are for a gateway.
    """
    settings = load_settings(path)
    if not isinstance(settings, SidecarSettings):
        raise SettingsError(_wrong_program(path, "gateway", "sidecar"))
    return settings


def settings_problems(path: Path) -> Sequence[Problem]:
    """Return the errors in a settings file, none if it is valid."""
    return _read_document(path)[1]


def secret_problems(environ: Mapping[str, str] = os.environ) -> list[Problem]:
    """Return the errors in the secrets, which are environment variables."""
    n_chars = len(environ.get(PEER_KEY_VARIABLE, ""))
    if n_chars >= MIN_PEER_KEY_CHARS:
        return []
    allowed = f"an environment variable of at least {MIN_PEER_KEY_CHARS} characters"
    return [Problem(PEER_KEY_VARIABLE, 0, "", f"{n_chars} characters", allowed)]


def _read_document(path: Path) -> tuple[dict[str, Any], list[Problem]]:
    parsed = read_documents(path)
    problems = list(parsed.problems)
    if problems:
        return {}, problems
    if len(parsed.documents) != 1:
        given = f"{len(parsed.documents)} documents"
        return {}, [Problem(str(path), 0, "", given, "one YAML document")]
    (source,) = parsed.documents
    return source.value, source.problems(_violations(source))


def _violations(source: SourceDocument) -> list[Violation]:
    document = source.value
    if not isinstance(document, dict):
        return [Violation((), document, "a mapping of settings")]
    program = document.get("program")
    if not isinstance(program, str) or program not in SETTINGS_SCHEMAS:
        allowed = f"one of {', '.join(SETTINGS_SCHEMAS)}"
        return [Violation(("program",), program, allowed)]
    return list(check_value(document, SETTINGS_SCHEMAS[program]))


def _wrong_program(path: Path, given: str, allowed: str) -> str:
    return str(Problem(str(path), 0, "program", given, allowed))
