"""Give decisions the real time and fresh identifiers."""

import secrets
import time

IDENTIFIER_BYTES = 12


class MonotonicClock:
    """Tell the machine's monotonic time."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class BootClock:
    """Tell time that goes on while the host is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class RandomIdentifiers:
    """Make random identifiers."""

    __slots__ = ()

    def new(self) -> str:
        """Return an identifier that is unique for all practical purposes."""
        return secrets.token_hex(IDENTIFIER_BYTES)
