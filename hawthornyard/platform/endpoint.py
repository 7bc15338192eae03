"""Decode the reports and the table entries of endpoints."""

import re
from ipaddress import IPv4Address

from ..edge.messages import EndpointEntry, ReportRead
from ..errors import RecordError
from ..io import split_address
from .fields import decode_object, get_number, get_text, shorten

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
_ADDRESS = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}")


def decode_report(name: str, data: bytes) -> ReportRead:
    """Return the report of an engine.

    Args:
        name: Name of the engine.
        data: Body of the report.

    Raises:
        RecordError: If the report is not valid.
    """
    body = decode_object(data)
    # Milliseconds until the engine leaves; absent until that is known.
    is_leaving = body.get("leaves_ms") is not None
    state = get_text(body, "state") if "state" in body else ""
    return ReportRead(
        name,
        int(get_number(body, "born", 0.0)),
        is_leaving=is_leaving or _IS_DRAINING_BY_STATE.get(state, False),
    )


def decode_endpoint_entry(name: str, data: bytes) -> EndpointEntry:
    """Return the entry of an endpoint.

    Args:
        name: Name of the endpoint, the key of its row.
        data: Bytes of the row.

    Raises:
        RecordError: If the entry is not valid.
    """
    body = decode_object(data)
    state = get_text(body, "state")
    if state not in _IS_DRAINING_BY_STATE:
        raise RecordError(f"state is {state!r}, expected 'ready' or 'draining'")
    address = get_text(body, "address")
    _check_address(address)
    version = body.get("version")
    return EndpointEntry(
        name,
        get_text(body, "service"),
        address,
        get_text(body, "zone"),
        n_slots=max(1, int(get_number(body, "slots"))),
        is_draining=_IS_DRAINING_BY_STATE[state],
        cold_s=get_number(body, "cold_remaining_ms", 0.0) / 1000,
        # Start time in Unix milliseconds; only compared for equality.
        born=int(get_number(body, "born", 0.0)),
        # An odd version must not take an endpoint out of use.
        version=version if isinstance(version, str) else "",
    )


def _check_address(address: str) -> None:
    if not _is_callable(address):
        raise RecordError(
            f"address is {shorten(address)}, expected the IPv4 address of a host and "
            "a port from 1 to 65535"
        )


def _is_callable(address: str) -> bool:
    if not _ADDRESS.fullmatch(address):
        return False
    try:
        host_text, port = split_address(address)
        host = IPv4Address(host_text)
    except ValueError:
        # `AddressValueError` is a ValueError as well.
        return False
    is_host = not (host.is_unspecified or host.is_multicast or host.is_reserved)
    return is_host and port > 0
