"""Make and check team keys.

A key is "hy.<team>.<secret>"; records hold only "<salt>$<digest>".
"""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
SECRET_BYTES = 24
_PREFIX = "hy"


def new_key(team: str) -> tuple[str, str]:
    """Return a new key of the team and the hash for its record."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return f"{_PREFIX}.{team}.{secret}", hash_secret(secret)


def hash_secret(secret: str, *, salt: bytes | None = None) -> str:
    """Return the salted hash of a secret.

    Args:
        secret: Last part of a key; has enough entropy for a fast hash.
        salt: Random bytes, drawn anew by default.
    """
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.blake2b(secret.encode(), salt=salt, digest_size=32)
    return f"{salt.hex()}${digest.hexdigest()}"


def team_of_key(key: str) -> str:
    """Return the team that a key names, empty if it is malformed."""
    prefix, _, rest = key.partition(".")
    team, _, secret = rest.rpartition(".")
    if prefix != _PREFIX or not secret:
        return ""
    return team


def key_matches(key: str, key_hash: str) -> bool:
    """Return whether the key's secret has this hash, in constant time."""
    secret = key.rpartition(".")[2]
    salt, _, _ = key_hash.partition("$")
    expected = hash_secret(secret, salt=bytes.fromhex(salt))
    return hmac.compare_digest(expected, key_hash)


# Stands in for the record of a team that does not exist.
UNKNOWN_KEY_HASH = hash_secret(secrets.token_urlsafe(SECRET_BYTES))
