"""List the models that a team may use."""

from collections.abc import Iterable

from ..core import Inbox
from ..errors import RequestError
from ..gateway.messages import ModelsQuery, ReplyFailed, ReplyModels
from .answer import answer_error, answer_json
from .call import decode_bearer
from .exchange import HOLDING_KEY, Exchange, StartResponse
from .replies import ReplyQueues

OWNER = "hawthornyard"


class ModelsRoute:
    """The route of /v1/models.

    Args:
        inbox: Head of the gateway's pipeline.
        replies: Queues of the replies from its tail.
    """

    __slots__ = ("_inbox", "_replies")

    def __init__(self, inbox: Inbox, replies: ReplyQueues) -> None:
        self._inbox = inbox
        self._replies = replies

    def answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        """Answer a query; see `Route.answer`."""
        if exchange.method not in ("GET", "HEAD"):
            raise RequestError("only GET and HEAD are allowed on this path")
        self._replies.open(exchange.call_id, exchange.environ[HOLDING_KEY])
        try:
            self._inbox.put(ModelsQuery(exchange.call_id, decode_bearer(exchange)))
            reply = self._replies.take(exchange.call_id)[-1]
        finally:
            self._replies.close(exchange.call_id)
        if isinstance(reply, ReplyFailed):
            return answer_error(exchange, start, reply)
        assert isinstance(reply, ReplyModels)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": OWNER}
            for name in reply.models
        ]
        return answer_json(exchange, start, {"object": "list", "data": data})
