"""Choose owners and subsets by rendezvous hashing."""

import hashlib
from collections.abc import Iterable, Sequence


def rank_owners(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in order of preference as owner of a key, the owner first.

    A name that joins or leaves changes the owner of only the keys that it owns.

    Args:
        key: Key to be owned.
        names: Candidates.
    """
    return sorted(names, key=lambda name: (_hash_weight(key, name), name))


def spread_subset(key: str, groups: Iterable[Sequence[str]], size: int) -> list[str]:
    """Return up to `size` names, taken from all groups in turn.

    Args:
        key: Identifies the chooser, so that choosers get different subsets.
        groups: Candidates by failure domain.
        size: Largest number of names.
    """
    ranked = [rank_owners(key, group) for group in groups]
    chosen: list[str] = []
    depth = 0
    while len(chosen) < size and any(depth < len(names) for names in ranked):
        for names in ranked:
            if depth < len(names) and len(chosen) < size:
                chosen.append(names[depth])
        depth += 1
    return chosen


def _hash_weight(key: str, name: str) -> bytes:
    text = f"{key}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
