"""List the models that a team may use."""

from collections.abc import Iterator

from ...core import Handlers, Message
from ...records import GENERATION, Catalog
from ..messages import ModelsQueryAuthenticated, ReplyModels


class ListModels:
    """Reply to model queries with the models of the team's services."""

    __slots__ = ("_catalog", "handlers")

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self.handlers: Handlers = {
            ModelsQueryAuthenticated: self._on_models_query_authenticated
        }

    def _on_models_query_authenticated(
        self, msg: ModelsQueryAuthenticated
    ) -> Iterator[Message]:
        models = {
            model
            for service in self._catalog.services()
            if service.protocol == GENERATION and service.name in msg.team.services
            for model in service.models
        }
        yield ReplyModels(msg.call_id, sorted(models))
