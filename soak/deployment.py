"""Configuration, settings and limits of the deployment under test."""

from typing import Any

DOMAINS = ("domain-a", "domain-b", "domain-c")
KEYS = {"key-of-kiosk": "kiosk", "key-of-school": "school"}
REVOKED_KEY = "key-of-school"

CONTACT_DELAY_S = 3.0
"""Fault-free time before an attempt in which a gateway catches up with the store.

This and the limits down to `RECOVERY_LIMIT_S` have the values of the production sites.
"""
CONFIG_LIMIT_S = 2.0
"""Limit on the time until gateways apply a new version of the configuration."""
DRAIN_LIMIT_S = 2.0
"""Limit on the time until a draining endpoint gets no new request."""
REVOKE_LIMIT_S = 5.0
"""Limit on the time for which a revoked key is still accepted."""
STOP_GRACE_S = 8.0
"""Time between SIGTERM and SIGKILL."""
RECOVERY_LIMIT_S = 12.0
"""Limit on the time until requests are served again after a fault."""
COLD_DURATION_S = 1.0
"""Time for which a new endpoint is cold."""
COLD_REQUESTS_PER_S = 20.0
"""Requests per second that a cold endpoint can take."""
COLD_RATE_FACTOR = 1.5
"""Factor on `COLD_REQUESTS_PER_S` up to which the check tolerates requests."""
COLD_BURST_REQUESTS = 5
"""Requests in one second that the check tolerates in addition."""
RETRY_BUDGET_RATIO = 0.2
"""Retries per request that a window of `RETRY_BUDGET_WINDOW_S` allows."""
RETRY_BUDGET_SLACK = 52
"""Retries that a window allows in addition."""
RETRY_BUDGET_WINDOW_S = 10.0

DEADLY_PART = "deadly"
"""Part of a prompt that ends each endpoint that begins to answer it."""
MAX_DEADLY_CRASHES = 5
"""Crashes after which gateways in touch must keep such prompts from endpoints."""
MAX_LATE_DEADLY_RUNS = 3
"""Such prompts that may reach endpoints later than `CONTACT_DELAY_S` after these."""

TIMEOUTS_S = {"summary": 20.0, "badge": 1.5, "lookup": 1.5}
SERVICES = {"summary": "scribe", "badge": "desk", "lookup": "desk"}
N_EVENTS = 200
"""Events of a summary; at 20 ms each it runs longer than the notice before a stop."""


def operator_config(
    version: int, *, keys: set[str], removed_kinds: set[str]
) -> dict[str, Any]:
    """Return the configuration that operators write to the store.

    Args:
        version: Version of the configuration.
        keys: Valid keys.
        removed_kinds: Kinds of request without a route.
    """
    return {
        "version": version,
        "routes": [_route(kind) for kind in TIMEOUTS_S if kind not in removed_kinds],
        "services": [
            {
                "name": "scribe",
                "max_connections": 200,
                "health_check_path": "/health",
                "cold_per_s": COLD_REQUESTS_PER_S,
                "engine": {
                    "slots": 24,
                    "kv_cache_tokens": 34_000,
                    "kv_token_bytes": 160_000,
                    "link_mbps": 24_000,
                    "moves": True,
                    "backups": True,
                    "handle_s": 8.0,
                    "stride": 4,
                },
            },
            {"name": "desk", "max_connections": 200, "cold_per_s": COLD_REQUESTS_PER_S},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 8000,
        },
        "tenants": [
            {"name": team, "api_keys": [key] if key in keys else []}
            for key, team in KEYS.items()
        ],
    }


def _route(kind: str) -> dict[str, Any]:
    kinds = {"summary": "streaming", "badge": "non_idempotent", "lookup": "idempotent"}
    return {
        "name": kind,
        "host": "kiosk.example",
        "prefix": f"/{kind}/",
        "kind": kinds[kind],
        "timeout_ms": int(TIMEOUTS_S[kind] * 1000),
        "target_latency_ms": 1800 if kind == "summary" else 200,
        "gap_aim_ms": 180 if kind == "summary" else 0,
        "service": SERVICES[kind],
        "max_attempts": 1 if kind == "badge" else 2,
    }


def gateway_settings(
    name: str, domain: str, listen: str, ready_listen: str, store_port: int
) -> dict[str, Any]:
    """Return the content of a gateway's settings file.

    Args:
        name: Name of the gateway.
        domain: Failure domain of the gateway.
        listen: "address:port" for callers.
        ready_listen: "address:port" for readiness probes.
        store_port: Port of the store.
    """
    return {
        "node": name,
        "zone": domain,
        "ip": "127.0.0.1",
        "listen": {
            "front": listen,
            "ready": ready_listen,
        },
        "internal_ports": [0, 0],
        "platform": {"address": f"127.0.0.1:{store_port}"},
        "bounds": {
            "revoke_ms": int(REVOKE_LIMIT_S * 1000),
            "fail_closed": True,
            "drain_ms": int(DRAIN_LIMIT_S * 1000),
            "retry_budget_ratio": RETRY_BUDGET_RATIO,
            "budget_slack": RETRY_BUDGET_SLACK,
            "budget_window_s": RETRY_BUDGET_WINDOW_S,
        },
    }
