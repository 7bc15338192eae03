"""Tell a reset connection from one that was closed in order."""

import errno

from eventlet.greenio import base


def raise_on_reset() -> None:
    """Have green sockets raise an error when the peer resets a connection.

    eventlet reports a reset as the end of the data, so that an answer without a
    length would look complete.
    """
    base.SOCKET_CLOSED.discard(errno.ECONNRESET)
