"""Configure the log as JSON lines on stderr or stdout."""

import json
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from loguru import logger

from ..core import Clock
from .log_queue import LogQueue

STDOUT_FD = 1
_WARNING_LEVEL_NO = 30


def configure_log(*, level: str = "INFO") -> None:
    """Write all log lines as JSON objects to stderr.

    Args:
        level: Least severe level that is written.
    """
    logger.remove()
    logger.add(_write_to_stderr, level=level, backtrace=False, diagnose=False)


def configure_bounded_log(clock: Clock, *, level: str = "INFO") -> LogQueue:
    """Write log lines as JSON objects to stdout without blocking, rate-limited.

    Lines of level WARNING and above are exempt from the rate limit.

    Args:
        clock: Source of time for the rate limit.
        level: Least severe level that is written.

    Returns:
        The queue of lines, which counts dropped lines.
    """
    queue = LogQueue(STDOUT_FD, clock, _format_dropped_line)
    logger.remove()
    logger.add(_queue_sink(queue), level=level, backtrace=False, diagnose=False)
    return queue


def _queue_sink(queue: LogQueue) -> Callable[[Any], None]:
    def put(message: Any) -> None:
        record = message.record
        queue.put(
            _format_line(record) + "\n",
            skips_rate_limit=record["level"].no >= _WARNING_LEVEL_NO,
        )

    return put


def _format_dropped_line(n_dropped: int) -> str:
    line = {
        "time": datetime.now(UTC).isoformat(),
        "level": "WARNING",
        "event": "log_dropped",
        "n_lines": n_dropped,
    }
    return json.dumps(line) + "\n"


def _write_to_stderr(message: Any) -> None:
    # `sys.stderr` is looked up at each call, so that a test may replace it.
    sys.stderr.write(_format_line(message.record) + "\n")


def _format_line(record: Any) -> str:
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    exc = record["exception"]
    if exc is not None:
        line["error"] = f"{exc.type.__name__}: {exc.value}"
    return json.dumps(line, default=str)
