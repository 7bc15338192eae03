"""Read and check the YAML settings of the programs."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import jsonschema
import yaml

from .errors import SettingsError

PEER_KEY_VARIABLE = "HAWTHORNYARD_PEER_KEY"
MIN_PEER_KEY_CHARS = 16

_ADDRESS = {"type": "string", "pattern": r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"}
_NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
_URL = {"type": "string", "pattern": "^http://"}
_LEVEL = {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]}

GATEWAY_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["program", "name", "failure_domain", "listen", "table"],
    "properties": {
        "program": {"const": "gateway"},
        "name": _NAME,
        "failure_domain": _NAME,
        "listen": _ADDRESS,
        "table": _URL,
        "log_level": _LEVEL,
        "peer_listen": _ADDRESS,
        "peers": {"type": "object", "additionalProperties": _ADDRESS},
    },
}

SIDECAR_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["program", "name", "failure_domain", "listen", "endpoint", "protocol"],
    "properties": {
        "program": {"const": "sidecar"},
        "name": _NAME,
        "failure_domain": _NAME,
        "listen": _ADDRESS,
        "endpoint": _URL,
        "protocol": {"enum": ["generation", "http"]},
        "log_level": _LEVEL,
    },
}

_SCHEMAS = {"gateway": GATEWAY_SCHEMA, "sidecar": SIDECAR_SCHEMA}


class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        name: Name of the process, unique in the fleet.
        failure_domain: Failure domain of its host.
        listen: "address:port" for callers.
        table: URL of the platform's table service.
        peer_key: Shared secret of the deployment's processes.
        log_level: Least severe level that is logged.
        peer_listen: "address:port" for other gateways, empty for none.
        peers: "address:port" of the other gateways by name.
    """

    __slots__ = (
        "failure_domain",
        "listen",
        "log_level",
        "name",
        "peer_key",
        "peer_listen",
        "peers",
        "table",
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
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.listen = listen
        self.table = table
        self.peer_listen = peer_listen
        self.peers = dict(peers or {})
        self.peer_key = peer_key
        self.log_level = log_level


class SidecarSettings:
    """Settings of a sidecar.

    Attributes:
        name: Name of the endpoint record it stands beside.
        failure_domain: Failure domain of its host.
        listen: "address:port" for gateways.
        endpoint: URL of the endpoint.
        protocol: "generation" or "http".
        peer_key: Shared secret of the deployment's processes.
        log_level: Least severe level that is logged.
    """

    __slots__ = (
        "endpoint",
        "failure_domain",
        "listen",
        "log_level",
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
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.listen = listen
        self.endpoint = endpoint
        self.protocol = protocol
        self.peer_key = peer_key
        self.log_level = log_level


def load_settings(
    path: Path, *, environ: Mapping[str, str] = os.environ
) -> GatewaySettings | SidecarSettings:
    """Return the settings in a YAML file.

    Args:
        path: The file.
        environ: Holds the secret HAWTHORNYARD_PEER_KEY.

    Raises:
        SettingsError: If the file or the secret is not valid; names the field.
    """
    document = _read(path)
    program = document.get("program")
    if program not in _SCHEMAS:
        raise SettingsError(f"{path}: program: must be gateway or sidecar")
    _check(path, document, _SCHEMAS[program])
    fields = {key: value for key, value in document.items() if key != "program"}
    fields["peer_key"] = _peer_key(environ)
    if program == "gateway":
        return GatewaySettings(**fields)
    return SidecarSettings(**fields)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Return gateway settings; see `load_settings`."""
    settings = load_settings(path)
    if not isinstance(settings, GatewaySettings):
        raise SettingsError(f"{path}: program: must be gateway")
    return settings


def load_sidecar_settings(path: Path) -> SidecarSettings:
    """Return sidecar settings; see `load_settings`."""
    settings = load_settings(path)
    if not isinstance(settings, SidecarSettings):
        raise SettingsError(f"{path}: program: must be sidecar")
    return settings


def _read(path: Path) -> dict[str, Any]:
    try:
        document = yaml.safe_load(path.read_text())
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: not YAML: {exc}") from exc
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: must be a mapping")
    return document


def _check(path: Path, document: dict[str, Any], schema: dict[str, Any]) -> None:
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(document), key=str)
    if not errors:
        return
    lines = []
    for error in errors:
        field = ".".join(str(part) for part in error.absolute_path) or "settings"
        lines.append(f"{path}: {field}: {error.message}")
    raise SettingsError("\n".join(lines))


def _peer_key(environ: Mapping[str, str]) -> bytes:
    key = environ.get(PEER_KEY_VARIABLE, "")
    if len(key) < MIN_PEER_KEY_CHARS:
        raise SettingsError(
            f"{PEER_KEY_VARIABLE}: must hold at least {MIN_PEER_KEY_CHARS} characters"
        )
    return key.encode()
