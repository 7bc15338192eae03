"""Write down what a stand-in endpoint does, so that it outlives its process."""

import json
import time
from pathlib import Path
from typing import Any


class Journal:
    """Append one JSON line for each thing that happens.

    Args:
        path: File to append to, None to keep nothing.
    """

    __slots__ = ("_file",)

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("a", buffering=1) if path is not None else None

    def write(self, event: str, **fields: Any) -> None:
        """Write one line with the monotonic time of the host.

        Args:
            event: What happened.
            **fields: What else is known of it.
        """
        if self._file is not None:
            line = {"at": time.monotonic(), "event": event, **fields}
            self._file.write(json.dumps(line) + "\n")
