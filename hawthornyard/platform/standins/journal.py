"""Record what a stand-in endpoint does in a file that outlives its process."""

import json
import time
from pathlib import Path
from typing import Any


class Journal:
    """Journal file with one JSON line for each event.

    Args:
        path: File to append to, None to discard events.
    """

    __slots__ = ("_file",)

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("a", buffering=1) if path is not None else None

    def write(self, event: str, **fields: Any) -> None:
        """Append one event, with the host's monotonic time in seconds.

        Args:
            event: Name of the event.
            **fields: Further fields of the line.
        """
        if self._file is not None:
            line = {"at": time.monotonic(), "event": event, **fields}
            self._file.write(json.dumps(line) + "\n")
