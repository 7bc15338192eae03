"""Decode the operators' configuration into a deployment."""

import re
from typing import Any

from ..edge.deployment import (
    CallerLimits,
    Deployment,
    EngineRule,
    RouteRule,
    ServiceRule,
    ServiceShare,
    TeamRule,
)
from .fields import (
    decode_object,
    get_flag,
    get_number,
    get_object,
    get_objects,
    get_text,
    get_texts,
)

_SECONDS_PER_MS = 0.001
_PATH = re.compile(r"/[!-~]{0,1023}")
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6


def decode_deployment(data: bytes) -> Deployment:
    """Return the deployment that the bytes of a row describe.

    Raises:
        RecordError: If the bytes are not a valid deployment.
    """
    body = decode_object(data)
    return Deployment(
        int(get_number(body, "version")),
        [_decode_route(item) for item in get_objects(body, "routes")],
        [_decode_service(item) for item in get_objects(body, "services")],
        [_decode_team(item) for item in get_objects(body, "tenants")],
        _decode_limits(get_object(body, "limits")),
    )


def _decode_route(item: dict[str, Any]) -> RouteRule:
    # Only the kind decides whether a request may be retried, never the route's name.
    kind = get_text(item, "kind")
    splits = get_objects(item, "traffic_split")
    shares = [
        ServiceShare(get_text(s, "service"), get_number(s, "weight")) for s in splits
    ]
    return RouteRule(
        get_text(item, "name"),
        get_text(item, "host").lower(),
        get_text(item, "prefix"),
        shares or [ServiceShare(get_text(item, "service"), 1.0)],
        is_idempotent=kind == "idempotent",
        is_stream=kind == "streaming",
        is_public=get_flag(item, "public"),
        timeout_s=get_number(item, "timeout_ms") * _SECONDS_PER_MS,
        target_s=get_number(item, "target_latency_ms", 1000.0) * _SECONDS_PER_MS,
        gap_target_s=get_number(item, "gap_aim_ms", 0.0) * _SECONDS_PER_MS,
        priority=int(get_number(item, "priority", 0.0)),
        max_attempts=max(1, int(get_number(item, "max_attempts", 1.0))),
    )


def _decode_service(item: dict[str, Any]) -> ServiceRule:
    engine = item.get("engine")
    return ServiceRule(
        get_text(item, "name"),
        max_connections=int(get_number(item, "max_connections", 0.0)),
        cold_requests_per_s=get_number(item, "cold_per_s", 0.0),
        engine=_decode_engine(engine) if isinstance(engine, dict) else None,
        health_path=_decode_health_path(item.get("health_check_path")),
    )


def _decode_health_path(path: Any) -> str:
    # Without it endpoints are only not probed, so a wrong one refuses no deployment.
    is_path = isinstance(path, str) and _PATH.fullmatch(path)
    return path if is_path else ""


def _decode_engine(item: dict[str, Any]) -> EngineRule:
    return EngineRule(
        int(get_number(item, "slots", 1.0)),
        int(get_number(item, "kv_cache_tokens", 0.0)),
        int(get_number(item, "kv_token_bytes", 0.0)),
        get_number(item, "link_mbps", 0.0) * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
        can_migrate=get_flag(item, "moves"),
        can_mirror=get_flag(item, "backups"),
        copy_lifetime_s=get_number(item, "handle_s", 0.0),
        tokens_per_event=max(1, int(get_number(item, "stride", 1.0))),
    )


def _decode_team(item: dict[str, Any]) -> TeamRule:
    has_priority = item.get("priority") is not None
    return TeamRule(
        get_text(item, "name"),
        get_texts(item, "api_keys"),
        priority=int(get_number(item, "priority")) if has_priority else None,
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        int(get_number(item, "max_header_bytes", 16_384.0)),
        int(get_number(item, "max_body_bytes", 4_194_304.0)),
        get_number(item, "header_timeout_ms", 3000.0) * _SECONDS_PER_MS,
        get_number(item, "idle_timeout_ms", 15_000.0) * _SECONDS_PER_MS,
    )
