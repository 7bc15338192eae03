"""Read the settings file that the platform writes."""

import json
from pathlib import Path
from typing import Any

from ..edge.rollout import RolloutBounds
from ..errors import RecordError, SettingsError
from ..io import MAX_PORT
from .fields import decode_object, get_flag, get_number, get_text

SETTINGS_PATH_VARIABLE = "HAWTHORNYARD_NODE_FILE"

BYTES_PER_MB = 1_000_000
_SECONDS_PER_MS = 0.001


class EdgeSettings:
    """Settings of a gateway on the platform.

    Attributes:
        name: Name of the process.
        failure_domain: Failure domain of its host.
        address: IP address of its host.
        listen: "address:port" for callers.
        ready_listen: "address:port" for the load balancer's readiness probes.
        peer_port: Port for frames of other gateways.
        metrics_port: Port for metrics.
        store: "address:port" of the platform's store.
        key_max_age_s: Seconds that team keys stay valid without a confirmation by the
            store, None for no bound.
        repeat_ratio: Retries allowed per request, over all gateways.
        repeat_slack: Retries allowed per window in addition, over all gateways.
        repeat_window_s: Length of that window in seconds.
        leave_bound_s: Seconds after which a leaving endpoint must get no new work.
        contact_s: Seconds after a disturbance within which this gateway must know again
            what the store says.
        rollout_bounds: Bounds of rollouts, None where they are not in force.
        grace_s: Seconds from the request to stop until the process is killed, None if
            unknown.
        memory_bytes: Memory of the process's machine, None if unknown.
        max_descriptors: Descriptors that the process may open, None if unknown.
    """

    __slots__ = (
        "address",
        "contact_s",
        "failure_domain",
        "grace_s",
        "key_max_age_s",
        "leave_bound_s",
        "listen",
        "max_descriptors",
        "memory_bytes",
        "metrics_port",
        "name",
        "peer_port",
        "ready_listen",
        "repeat_ratio",
        "repeat_slack",
        "repeat_window_s",
        "rollout_bounds",
        "store",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        address: str,
        listen: str,
        ready_listen: str,
        store: str,
        *,
        peer_port: int = 0,
        metrics_port: int = 0,
        key_max_age_s: float | None = None,
        repeat_ratio: float = 0.1,
        repeat_slack: float = 3.0,
        repeat_window_s: float = 10.0,
        leave_bound_s: float = 2.0,
        contact_s: float = 3.0,
        grace_s: float | None = None,
        rollout_bounds: RolloutBounds | None = None,
        memory_bytes: int | None = None,
        max_descriptors: int | None = None,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.listen = listen
        self.ready_listen = ready_listen
        self.store = store
        self.peer_port = peer_port
        self.metrics_port = metrics_port
        self.key_max_age_s = key_max_age_s
        self.repeat_ratio = repeat_ratio
        self.repeat_slack = repeat_slack
        self.repeat_window_s = repeat_window_s
        self.leave_bound_s = leave_bound_s
        self.contact_s = contact_s
        self.grace_s = grace_s
        self.rollout_bounds = rollout_bounds
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors


def load_edge_settings(path: Path) -> EdgeSettings:
    """Return the settings in the platform's file.

    Raises:
        SettingsError: If the file can't be read or is not valid; the text names the
            file and, for an invalid field, the field, its value and what is allowed.
    """
    try:
        return _decode_settings(decode_object(path.read_bytes()))
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except RecordError as exc:
        raise SettingsError(f"{path}: {exc.detail}") from exc


def _decode_settings(body: dict[str, Any]) -> EdgeSettings:
    listen = _get_object(body, "listen")
    bounds = _get_object(body, "bounds")
    limits = _get_object(body, "limits") if "limits" in body else {}
    peer_port, metrics_port = _get_ports(body)
    max_age_s = get_number(bounds, "revoke_ms", 5000.0) * _SECONDS_PER_MS
    return EdgeSettings(
        get_text(body, "node"),
        get_text(body, "zone"),
        get_text(body, "ip"),
        get_text(listen, "front"),
        get_text(listen, "ready"),
        get_text(_get_object(body, "platform"), "address"),
        peer_port=peer_port,
        metrics_port=metrics_port,
        key_max_age_s=max_age_s if get_flag(bounds, "fail_closed") else None,
        repeat_ratio=get_number(bounds, "retry_budget_ratio", 0.1),
        repeat_slack=get_number(bounds, "budget_slack", 3.0),
        repeat_window_s=get_number(bounds, "budget_window_s", 10.0),
        leave_bound_s=get_number(bounds, "drain_ms", 2000.0) * _SECONDS_PER_MS,
        contact_s=get_number(bounds, "contact_ms", 3000.0) * _SECONDS_PER_MS,
        grace_s=get_number(bounds, "grace_s") if "grace_s" in bounds else None,
        rollout_bounds=_get_rollout_bounds(bounds),
        memory_bytes=_get_limit(limits, "memory_mb", BYTES_PER_MB),
        max_descriptors=_get_limit(limits, "max_fds"),
    )


def _get_rollout_bounds(bounds: dict[str, Any]) -> RolloutBounds | None:
    if "expose_share" not in bounds:
        return None
    share = get_number(bounds, "expose_share")
    if share > 1.0:
        raise RecordError(
            f"field 'expose_share' is {share:g}, expected a number from 0 to 1"
        )
    return RolloutBounds(
        share,
        get_number(bounds, "expose_slack", 0.0),
        get_number(bounds, "rollback_ms", 5000.0) * _SECONDS_PER_MS,
    )


def _get_object(body: dict[str, Any], name: str) -> dict[str, Any]:
    value = body.get(name)
    if not isinstance(value, dict):
        given = json.dumps(value)[:100]
        raise RecordError(f"field {name!r} is {given}, expected an object")
    return value


def _get_limit(limits: dict[str, Any], name: str, factor: int = 1) -> int | None:
    return int(get_number(limits, name) * factor) if name in limits else None


def _get_ports(body: dict[str, Any]) -> tuple[int, int]:
    ports: Any = body.get("internal_ports")
    is_pair = isinstance(ports, list) and len(ports) == 2
    if not is_pair or not all(_is_port(port) for port in ports):
        given = json.dumps(ports)[:100]
        raise RecordError(
            f"field 'internal_ports' is {given}, expected a list of two ports "
            "from 0 to 65535"
        )
    return ports[0], ports[1]


def _is_port(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_PORT
