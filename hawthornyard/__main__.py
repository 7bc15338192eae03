"""Run the command line."""

import sys
import warnings


def main() -> None:
    """Patch the standard library for eventlet, then run the command line."""
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from .cli import run_app

    sys.exit(run_app())


if __name__ == "__main__":
    main()
