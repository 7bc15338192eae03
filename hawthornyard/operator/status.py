"""Fetch the status of gateways and of the endpoints that they know."""

import json
from collections.abc import Sequence
from typing import Any

import urllib3

from ..core import Message
from ..errors import PlatformError
from ..net import get_connection, new_pool, read_body

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
"""Time until the head of a status arrives, and after it each next part."""
RESPONSE_TIMEOUT_S = 30.0
"""Time from its head until a status has arrived whole."""


class EndpointStatus(Message):
    """The status of an endpoint as one gateway reports it.

    Attributes:
        name: Name of the endpoint.
        failure_domain: Failure domain of its host.
        revision: Configuration revision in force in its sidecar.
        accepting: Whether it accepts new requests.
        n_running: Number of requests running at the endpoint.
        n_waiting: Number of requests in the sidecar's queue.
        limit: Current limit of concurrent requests.
        load: Expected share of its memory in use, 0 to 1.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "revision",
        "accepting",
        "n_running",
        "n_waiting",
        "limit",
        "load",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        revision: int,
        accepting: bool,
        n_running: int,
        n_waiting: int,
        limit: int,
        load: float,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.revision = revision
        self.accepting = accepting
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.limit = limit
        self.load = load


class GatewayStatus(Message):
    """The status of one gateway.

    Attributes:
        url: URL that was queried.
        name: Name of the gateway, empty if it did not respond.
        revision: Configuration revision in force in the gateway, 0 if it did not
            respond.
        n_in_flight: Number of requests in flight, 0 if it did not respond.
        not_understood: Records, as "kind/name", whose schema version is newer
            than the gateway supports.
        endpoints: Endpoints whose heartbeats the gateway receives.
        problem: Why there is no status, empty if there is one.
    """

    __slots__ = (
        "url",
        "name",
        "revision",
        "n_in_flight",
        "not_understood",
        "endpoints",
        "problem",
    )

    def __init__(
        self,
        url: str,
        *,
        name: str = "",
        revision: int = 0,
        n_in_flight: int = 0,
        not_understood: Sequence[str] = (),
        endpoints: Sequence[EndpointStatus] = (),
        problem: str = "",
    ) -> None:
        self.url = url
        self.name = name
        self.revision = revision
        self.n_in_flight = n_in_flight
        self.not_understood = not_understood
        self.endpoints = endpoints
        self.problem = problem


def fetch_status(url: str) -> GatewayStatus:
    """Fetch the status of one gateway; on failure its `problem` says why."""
    try:
        return _decode(url, _fetch_json(f"{url.rstrip('/')}/v1/status"))
    except (PlatformError, urllib3.exceptions.HTTPError, OSError) as exc:
        return GatewayStatus(url, problem=str(exc))
    except (ValueError, KeyError, TypeError) as exc:
        return GatewayStatus(url, problem=f"invalid status response: {exc!r}")


def _fetch_json(url: str) -> Any:
    resp = new_pool().request(
        "GET",
        url,
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        retries=False,
        redirect=False,
        preload_content=False,
    )
    get_connection(resp).limit_progress(READ_TIMEOUT_S, RESPONSE_TIMEOUT_S)
    body = read_body(resp)
    if resp.status != 200:
        raise PlatformError(f"unexpected HTTP status {resp.status}")
    return json.loads(body)


def _decode(url: str, body: dict[str, Any]) -> GatewayStatus:
    fields = EndpointStatus.fields()
    return GatewayStatus(
        url,
        name=body["name"],
        revision=body["revision"],
        n_in_flight=body["n_in_flight"],
        not_understood=body.get("not_understood", ()),
        endpoints=[
            EndpointStatus(*(item[field] for field in fields))
            for item in body["endpoints"]
        ],
    )
