"""Configure the log: JSON lines on a stream."""

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from loguru import logger


def configure_log(*, level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send all log lines as JSON objects to a stream.

    Args:
        level: Least severe level that is written.
        stream: Where they go; stderr by default.
    """
    logger.remove()
    logger.add(_writer(stream), level=level, backtrace=False, diagnose=False)


def _writer(stream: TextIO | None) -> Callable[[Any], None]:
    def write(message: Any) -> None:
        # stderr is looked up late, so that a test may replace it.
        (stream or sys.stderr).write(_line(message.record) + "\n")

    return write


def _line(record: Any) -> str:
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
