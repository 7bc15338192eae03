"""Find the team that a call's key belongs to."""

from collections.abc import Iterator

from ...core import Handlers, Message
from ...errors import ErrorKind
from ...records import Catalog, Team, key_matches, team_of_key
from ..messages import Authenticated, Call, Reattached, Reconnect, ReplyFailed


class Authenticate:
    """Let calls pass whose key is their team's."""

    __slots__ = ("_catalog", "handlers")

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self.handlers: Handlers = {
            Call: self._on_call,
            Reconnect: self._on_reconnect,
        }

    def _on_call(self, msg: Call) -> Iterator[Message]:
        team = self._team(msg.bearer)
        if team is None:
            yield ReplyFailed(msg.call_id, ErrorKind.UNAUTHENTICATED)
            return
        yield Authenticated(msg, team)

    def _on_reconnect(self, msg: Reconnect) -> Iterator[Message]:
        team = self._team(msg.bearer)
        if team is None:
            yield ReplyFailed(msg.call_id, ErrorKind.UNAUTHENTICATED)
            return
        yield Reattached(msg, team)

    def _team(self, bearer: str) -> Team | None:
        team = self._catalog.team(team_of_key(bearer))
        if team is None or not key_matches(bearer, team.key_hash):
            return None
        return team
