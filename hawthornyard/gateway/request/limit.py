"""Enforce the request and token limits of teams."""

from collections.abc import Iterator

from ...core import Handlers, Message
from ...errors import ErrorKind
from ..budget import TeamBudgets
from ..messages import Admitted, ReplyFailed, Resolved


class EnforceTeamLimits:
    """Refuse requests of teams that exceed their rate limits."""

    __slots__ = ("_budgets", "handlers")

    def __init__(self, budgets: TeamBudgets) -> None:
        self._budgets = budgets
        self.handlers: Handlers = {Resolved: self._on_resolved}

    def _on_resolved(self, msg: Resolved) -> Iterator[Message]:
        if not self._budgets.admit(msg.request.team):
            yield ReplyFailed(msg.call_id, ErrorKind.RATE_LIMITED)
            return
        yield Admitted(msg.request)
