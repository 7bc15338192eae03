"""Charge output tokens to the requesting team."""

from collections.abc import Iterator

from ...core import Handlers, Message
from ..budget import TeamBudgets
from ..inflight import InFlight
from ..messages import ReplyTokens


class MeterTokens:
    """Charge tokens as they pass to the caller.

    Tokens of resumed generations are not charged a second time.
    """

    __slots__ = ("_budgets", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, budgets: TeamBudgets) -> None:
        self._inflight = inflight
        self._budgets = budgets
        self.handlers: Handlers = {ReplyTokens: self._on_reply_tokens}

    def _on_reply_tokens(self, msg: ReplyTokens) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is not None and not request.resumed:
            self._budgets.charge_tokens(request.team, len(msg.texts))
        yield msg
