"""Hold one call while its caller waits for replies."""

from ..core import Inbox, Message
from ..gateway.messages import CallerGone, ReplyEnded, ReplyFailed, ReplyResponse
from .exchange import Exchange
from .replies import Replies, Reply
from .watch import CallerWatch

FINAL = (ReplyEnded, ReplyFailed, ReplyResponse)


class Session:
    """Put a call into the inbox and take its replies, the caller watched.

    Args:
        exchange: The HTTP exchange.
        replies: Replies from the pipe's tail.
        inbox: Head of the pipe.
        call: The call.
    """

    __slots__ = ("_call_id", "_inbox", "_is_open", "_replies", "_watch", "is_final")

    def __init__(
        self, exchange: Exchange, replies: Replies, inbox: Inbox, call: Message
    ) -> None:
        self._call_id = exchange.call_id
        self._replies = replies
        self._inbox = inbox
        self._is_open = True
        self.is_final = False
        replies.open(exchange.call_id)
        inbox.put(call)
        sock = exchange.environ["wsgi.input"].get_socket()
        self._watch = CallerWatch(sock, self._tell_gone)

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def take(self) -> list[Reply]:
        """Wait for the next reply and take all that are ready."""
        ready = self._replies.take(self._call_id)
        self.is_final = isinstance(ready[-1], FINAL)
        return ready

    def close(self) -> None:
        """Forget the call; without its final reply it counts as abandoned."""
        if not self._is_open:
            return
        self._is_open = False
        self._watch.close()
        self._replies.close(self._call_id)
        if not self.is_final:
            self._tell_gone()

    def _tell_gone(self) -> None:
        self._inbox.put(CallerGone(self._call_id))
