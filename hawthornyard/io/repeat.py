"""Keep threads that follow something alive."""

from collections.abc import Callable

import eventlet
from loguru import logger

ERROR_DELAY_S = 0.25
"""Delay after an unexpected error, so that one that recurs does not fill the log."""


def repeat(turn: Callable[[], object], thread: str) -> None:
    """Call `turn` again and again; never returns.

    An error that `turn` does not handle is logged and ends that turn alone.

    Args:
        turn: Waits for something and handles it.
        thread: Name of the thread in the log.
    """
    while True:
        try:
            turn()
        except Exception as exc:
            logger.bind(thread=thread).opt(exception=exc).error("thread_failed")
            eventlet.sleep(ERROR_DELAY_S)
