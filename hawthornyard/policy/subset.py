"""Choose the endpoints that one gateway talks to."""

import hashlib
from collections.abc import Mapping


def rendezvous_subset(
    gateway: str, failure_domains: Mapping[str, str], size: int
) -> list[str]:
    """Return a stable subset of endpoints, spread over failure domains.

    Every process computes the same subset for a gateway, and a change of one
    endpoint changes at most one member.

    Args:
        gateway: Name of the gateway.
        failure_domains: Failure domain of each endpoint by name.
        size: Endpoints in the subset; all of them if there are fewer.
    """
    if len(failure_domains) <= size:
        return sorted(failure_domains)
    by_domain: dict[str, list[str]] = {}
    ranked = sorted(failure_domains, key=lambda name: _rank(gateway, name))
    for name in ranked:
        by_domain.setdefault(failure_domains[name], []).append(name)
    chosen: list[str] = []
    depth = 0
    while len(chosen) < size:
        layer = [names[depth] for names in by_domain.values() if depth < len(names)]
        chosen += sorted(layer, key=lambda name: _rank(gateway, name))
        depth += 1
    return sorted(chosen[:size])


def _rank(gateway: str, endpoint: str) -> bytes:
    return hashlib.blake2b(f"{gateway}/{endpoint}".encode(), digest_size=8).digest()
