"""Configure the log: JSON lines on stderr."""

import json
import sys
from typing import Any

from loguru import logger


def configure_log(*, level: str = "INFO") -> None:
    """Send all log lines as JSON objects to stderr.

    Args:
        level: Least severe level that is written.
    """
    logger.remove()
    logger.add(_write, level=level, backtrace=False, diagnose=False)


def _write(message: Any) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    exc = record["exception"]
    if exc is not None:
        line["error"] = f"{exc.type.__name__}: {exc.value}"
    sys.stderr.write(json.dumps(line, default=str) + "\n")
