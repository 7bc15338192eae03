"""Report a connection reset as an error instead of an orderly close."""

import errno

from eventlet.greenio import base


def raise_on_reset() -> None:
    """Make green sockets raise `ConnectionResetError` when a peer resets them.

    By default, eventlet reports a reset as the end of the data, so that a truncated
    response without a length would look complete.
    """
    base.SOCKET_CLOSED.discard(errno.ECONNRESET)
