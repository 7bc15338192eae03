"""Authenticate calls by their team key."""

from collections.abc import Iterator

from ...core import Handlers, Message
from ...errors import ErrorKind
from ...records import UNKNOWN_KEY_HASH, Catalog, Team, key_matches, team_of_key
from ..messages import (
    Call,
    CallAuthenticated,
    ModelsQuery,
    ModelsQueryAuthenticated,
    Reconnect,
    ReconnectAuthenticated,
    ReplyFailed,
)


class Authenticate:
    """Pass calls with a valid team key on and refuse all others.

    Args:
        catalog: Records in force.
    """

    __slots__ = ("_catalog", "handlers")

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self.handlers: Handlers = {
            Call: self._on_call,
            Reconnect: self._on_reconnect,
            ModelsQuery: self._on_models_query,
        }

    def _on_call(self, msg: Call) -> Iterator[Message]:
        team = self._authenticate(msg.bearer)
        if team is None:
            yield ReplyFailed(msg.call_id, ErrorKind.UNAUTHENTICATED)
            return
        yield CallAuthenticated(msg, team)

    def _on_reconnect(self, msg: Reconnect) -> Iterator[Message]:
        team = self._authenticate(msg.bearer)
        if team is None:
            yield ReplyFailed(msg.call_id, ErrorKind.UNAUTHENTICATED)
            return
        yield ReconnectAuthenticated(msg, team)

    def _on_models_query(self, msg: ModelsQuery) -> Iterator[Message]:
        team = self._authenticate(msg.bearer)
        if team is None:
            yield ReplyFailed(msg.call_id, ErrorKind.UNAUTHENTICATED)
            return
        yield ModelsQueryAuthenticated(msg.call_id, team)

    def _authenticate(self, bearer: str) -> Team | None:
        team = self._catalog.team(team_of_key(bearer))
        # Hash the key for unknown teams too, so that timing does not reveal team names.
        key_hash = team.key_hash if team is not None else UNKNOWN_KEY_HASH
        return team if key_matches(bearer, key_hash) else None
