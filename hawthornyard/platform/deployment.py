"""Decode the operators' configuration."""

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
from .fields import decode_object, flag, number, objects, text, texts

_MS = 0.001
_BITS_PER_BYTE = 8
_MEGA = 1e6


def decode_deployment(data: bytes) -> Deployment:
    """Return the deployment in a row's bytes.

    Raises:
        RecordError: If it is not valid.
    """
    body = decode_object(data)
    return Deployment(
        int(number(body, "version")),
        [_route(item) for item in objects(body, "routes")],
        [_service(item) for item in objects(body, "services")],
        [_team(item) for item in objects(body, "tenants")],
        _limits(body.get("limits") or {}),
    )


def _route(item: dict[str, Any]) -> RouteRule:
    # The kind alone tells what may be repeated, never the name of a route.
    kind = text(item, "kind")
    splits = objects(item, "traffic_split")
    shares = [ServiceShare(text(s, "service"), number(s, "weight")) for s in splits]
    return RouteRule(
        text(item, "name"),
        text(item, "host").lower(),
        text(item, "prefix"),
        shares or [ServiceShare(text(item, "service"), 1.0)],
        is_idempotent=kind == "idempotent",
        is_stream=kind == "streaming",
        is_public=flag(item, "public"),
        timeout_s=number(item, "timeout_ms") * _MS,
        target_s=number(item, "target_latency_ms", 1000.0) * _MS,
        gap_target_s=number(item, "gap_aim_ms", 0.0) * _MS,
        priority=int(number(item, "priority", 0.0)),
        max_attempts=max(1, int(number(item, "max_attempts", 1.0))),
    )


def _service(item: dict[str, Any]) -> ServiceRule:
    engine = item.get("engine")
    return ServiceRule(
        text(item, "name"),
        max_connections=int(number(item, "max_connections", 0.0)),
        cold_requests_per_s=number(item, "cold_per_s", 0.0),
        engine=_engine(engine) if isinstance(engine, dict) else None,
    )


def _engine(item: dict[str, Any]) -> EngineRule:
    return EngineRule(
        int(number(item, "slots", 1.0)),
        int(number(item, "kv_cache_tokens", 0.0)),
        int(number(item, "kv_token_bytes", 0.0)),
        number(item, "link_mbps", 0.0) * _MEGA / _BITS_PER_BYTE,
        can_migrate=flag(item, "moves"),
        can_mirror=flag(item, "backups"),
        copy_lifetime_s=number(item, "handle_s", 0.0),
        tokens_per_event=max(1, int(number(item, "stride", 1.0))),
    )


def _team(item: dict[str, Any]) -> TeamRule:
    priority = item.get("priority")
    return TeamRule(
        text(item, "name"),
        texts(item, "api_keys"),
        priority=priority if type(priority) is int else None,
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        int(number(item, "max_header_bytes", 16_384.0)),
        int(number(item, "max_body_bytes", 4_194_304.0)),
        number(item, "header_timeout_ms", 3000.0) * _MS,
        number(item, "idle_timeout_ms", 15_000.0) * _MS,
    )
