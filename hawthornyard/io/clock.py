"""Provide the system's clocks and random identifiers."""

import secrets
import time

IDENTIFIER_BYTES = 12


class MonotonicClock:
    """The host's monotonic clock, which stands still while the host is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class BootClock:
    """The host's monotonic clock, including time while the host is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class RandomIdentifiers:
    """Generator of random identifiers."""

    __slots__ = ()

    def new(self) -> str:
        """Return `IDENTIFIER_BYTES` random bytes in hex, unique in practice."""
        return secrets.token_hex(IDENTIFIER_BYTES)
