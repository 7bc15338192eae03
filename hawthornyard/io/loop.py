"""Run the message loop of a program."""

import gc

from loguru import logger

from ..core import Consumers, Pipeline, Stopped
from .inbox import EventletInbox


class StopSink:
    """Sink that ends the loop when `Stopped` leaves the pipeline."""

    __slots__ = ("consumers", "is_stopped")

    def __init__(self) -> None:
        self.is_stopped = False
        self.consumers: Consumers = {Stopped: self._on_stopped}

    def _on_stopped(self, msg: Stopped) -> None:
        self.is_stopped = True


def freeze_startup_objects() -> None:
    """Exempt all objects made so far from garbage collection.

    They live as long as the process. A full collection would look at each of them and
    stop the loop for tens of milliseconds.
    """
    gc.freeze()


def run_loop(inbox: EventletInbox, pipeline: Pipeline, stop: StopSink) -> None:
    """Push messages from the inbox into the pipeline until the program stops.

    Args:
        inbox: Source of all messages.
        pipeline: Receives each message.
        stop: Sink of the pipeline that tells when to end.
    """
    while not stop.is_stopped:
        msg = inbox.get()
        try:
            pipeline.push(msg)
        except Exception as exc:
            # A fault in the handling of one message must not end the process.
            logger.opt(exception=exc).error("message_failed", type=type(msg).__name__)
