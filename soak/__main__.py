"""Entry point of `python -m soak`."""

import os
import sys
import warnings


def main() -> None:
    """Patch the standard library for eventlet, then run the command."""
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    os.environ["EVENTLET_NO_GREENDNS"] = "yes"
    import eventlet

    # `os` and `subprocess` stay unpatched: starting a process blocks only briefly.
    eventlet.monkey_patch(os=False, subprocess=False)
    from .command import app

    sys.exit(app())


if __name__ == "__main__":
    main()
