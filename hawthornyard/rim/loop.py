"""Run a program's one loop."""

from loguru import logger

from ..core import Consumers, Pipeline, Stopped
from .inbox import EventletInbox


class StopSink:
    """End the loop when `Stopped` reaches the tail."""

    __slots__ = ("consumers", "is_stopped")

    def __init__(self) -> None:
        self.is_stopped = False
        self.consumers: Consumers = {Stopped: self._on_stopped}

    def _on_stopped(self, msg: Stopped) -> None:
        self.is_stopped = True


def run_loop(inbox: EventletInbox, pipeline: Pipeline, stop: StopSink) -> None:
    """Push messages from the inbox until the program is stopped.

    Args:
        inbox: Source of all messages.
        pipeline: Where they go.
        stop: Tells when to end.
    """
    while not stop.is_stopped:
        msg = inbox.get()
        try:
            pipeline.push(msg)
        except Exception as exc:
            # One broken message must not end the process for all others.
            logger.opt(exception=exc).error("message_failed", type=type(msg).__name__)
