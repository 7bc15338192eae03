"""Decode what endpoints say of themselves."""

import re

from ..edge.messages import EndpointEntry
from ..errors import RecordError
from .fields import decode_object, number, text

_STATES = {"ready": False, "draining": True}
_ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")


def decode_endpoint(name: str, data: bytes) -> EndpointEntry:
    """Return the entry of an endpoint.

    Args:
        name: Name of the endpoint, the key of its row.
        data: Bytes of the row.

    Raises:
        RecordError: If the entry names no endpoint to use.
    """
    body = decode_object(data)
    state = text(body, "state")
    if state not in _STATES:
        raise RecordError(f"state {state!r} is not known")
    address = text(body, "address")
    if not _ADDRESS.fullmatch(address):
        raise RecordError(f"address {address!r} is not an IP number and port")
    return EndpointEntry(
        name,
        text(body, "service"),
        address,
        text(body, "zone"),
        n_slots=max(1, int(number(body, "slots"))),
        is_draining=_STATES[state],
        cold_s=number(body, "cold_remaining_ms", 0.0) / 1000,
        # Unix milliseconds, only compared for equality.
        born=int(number(body, "born", 0.0)),
    )
