"""Route the HTTP requests of callers."""

from collections.abc import Iterable

from loguru import logger

from ..core import Identifiers, Inbox
from ..errors import ErrorKind, RequestError
from ..gateway.messages import ReplyFailed
from .answer import answer_error
from .encode import ChatFormat, CompletionFormat
from .exchange import Environ, Exchange, Route, StartResponse
from .generation import GenerationRoute
from .models import ModelsRoute
from .probe import ProbeRoutes, StatusSource
from .replies import ReplyQueues
from .service import SERVICES_PREFIX, ServiceRoute

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"


class Application:
    """The gateway's WSGI application.

    Args:
        inbox: Head of the gateway's pipeline.
        replies: Queues of the replies from its tail.
        identifiers: Source of exchange ids.
        status_source: Source of readiness, metrics and status.
    """

    __slots__ = ("_identifiers", "_routes", "_services")

    def __init__(
        self,
        inbox: Inbox,
        replies: ReplyQueues,
        identifiers: Identifiers,
        status_source: StatusSource,
    ) -> None:
        self._identifiers = identifiers
        self._services = ServiceRoute(inbox, replies)
        self._routes: dict[str, Route] = {
            COMPLETIONS_PATH: GenerationRoute(inbox, replies, CompletionFormat()),
            CHAT_PATH: GenerationRoute(inbox, replies, ChatFormat()),
            MODELS_PATH: ModelsRoute(inbox, replies),
            **ProbeRoutes(status_source).routes(),
        }

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request; a failure is answered with its error kind."""
        exchange = Exchange(self._identifiers.new(), environ)
        try:
            return self._route(exchange).answer(exchange, start)
        except RequestError as exc:
            reply = ReplyFailed(exchange.call_id, exc.kind, exc.detail)
        except Exception as exc:
            logger.bind(request_id=exchange.request_id).opt(exception=exc).error(
                "exchange_failed"
            )
            reply = ReplyFailed(exchange.call_id, ErrorKind.INTERNAL)
        return answer_error(exchange, start, reply)

    def _route(self, exchange: Exchange) -> Route:
        if exchange.raw_path.startswith(SERVICES_PREFIX):
            return self._services
        route = self._routes.get(exchange.path)
        if route is None:
            raise RequestError("no such path", kind=ErrorKind.UNKNOWN_SERVICE)
        return route
