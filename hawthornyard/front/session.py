"""Submit a call to the pipeline and receive its replies."""

from ..core import Inbox, Message
from ..gateway.messages import CallerGone, ReplyEnded, ReplyFailed, ReplyResponse
from .exchange import HOLDING_KEY, Exchange
from .replies import Reply, ReplyQueues
from .watch import CallerWatch

FINAL_REPLIES = (ReplyEnded, ReplyFailed, ReplyResponse)


class Session:
    """One call in the pipeline, from its submission to its final reply.

    Meanwhile the caller's connection is watched; when the caller closes it, the
    pipeline receives `CallerGone`.

    Args:
        exchange: The HTTP exchange.
        replies: Queues of the replies from the pipeline's tail.
        inbox: Head of the pipeline.
        call: Message that submits the call to the pipeline.

    Attributes:
        is_final: Whether the final reply has been taken.
    """

    __slots__ = ("_call_id", "_inbox", "_is_open", "_replies", "_watch", "is_final")

    def __init__(
        self, exchange: Exchange, replies: ReplyQueues, inbox: Inbox, call: Message
    ) -> None:
        self._call_id = exchange.call_id
        self._replies = replies
        self._inbox = inbox
        self._is_open = True
        self.is_final = False
        replies.open(exchange.call_id, exchange.environ[HOLDING_KEY])
        inbox.put(call)
        sock = exchange.environ["wsgi.input"].get_socket()
        self._watch = CallerWatch(sock, self._report_caller_gone)

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def take(self) -> list[Reply]:
        """Wait for the next reply and return all that are ready, oldest first."""
        ready = self._replies.take(self._call_id)
        self.is_final = isinstance(ready[-1], FINAL_REPLIES)
        return ready

    def close(self) -> None:
        """Drop later replies; without a final reply, report the caller as gone."""
        if not self._is_open:
            return
        self._is_open = False
        self._watch.close()
        self._replies.close(self._call_id)
        if not self.is_final:
            self._report_caller_gone()

    def _report_caller_gone(self) -> None:
        self._inbox.put(CallerGone(self._call_id))
