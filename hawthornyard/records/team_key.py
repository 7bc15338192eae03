"""Create and verify team keys.

A key is "hy.<team>.<secret>"; a team record holds only "<salt>$<digest>".
"""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
SECRET_BYTES = 24
_KEY_PREFIX = "hy"


def new_key(team: str) -> tuple[str, str]:
    """Return a new random key of a team and the hash for its record."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return f"{_KEY_PREFIX}.{team}.{secret}", hash_secret(secret)


def hash_secret(secret: str, *, salt: bytes | None = None) -> str:
    """Return the salted hash of a secret.

    Args:
        secret: Last part of a key. It is random, so a fast hash is enough.
        salt: Salt to reuse, random by default.
    """
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.blake2b(secret.encode(), salt=salt, digest_size=32)
    return f"{salt.hex()}${digest.hexdigest()}"


def team_of_key(key: str) -> str:
    """Return the team name in a key, empty if the key is malformed."""
    prefix, _, rest = key.partition(".")
    team, _, secret = rest.rpartition(".")
    if prefix != _KEY_PREFIX or not secret:
        return ""
    return team


def key_matches(key: str, key_hash: str) -> bool:
    """Return whether the secret of a key has this hash, in constant time."""
    secret = key.rpartition(".")[2]
    salt, _, _ = key_hash.partition("$")
    expected = hash_secret(secret, salt=bytes.fromhex(salt))
    return hmac.compare_digest(expected, key_hash)


# Checked for keys of unknown teams, so that response times don't tell which
# teams exist.
UNKNOWN_KEY_HASH = hash_secret(secrets.token_urlsafe(SECRET_BYTES))
