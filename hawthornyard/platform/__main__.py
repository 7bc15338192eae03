"""Run a gateway on the users' platform: `python -m hawthornyard.platform`."""

import os
import signal
import sys
import warnings


def main() -> int:
    """Patch the standard library for eventlet, then run until SIGTERM.

    Returns:
        Exit status: 0 after a stop, 1 if the settings can't be used.
    """
    sighups: list[int] = []
    # The default action of SIGHUP would terminate the process during start-up.
    signal.signal(signal.SIGHUP, lambda number, _: sighups.append(number))
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    # All hosts are given by IP address, and loading eventlet's DNS resolver would
    # take a third of the start-up time.
    os.environ["EVENTLET_NO_GREENDNS"] = "yes"
    import eventlet

    eventlet.monkey_patch()
    from pathlib import Path

    from ..errors import SettingsError
    from ..io.clock import BootClock
    from ..io.log import configure_bounded_log
    from .program import EdgeGateway
    from .settings import SETTINGS_PATH_VARIABLE, load_edge_settings

    settings_path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    try:
        settings = load_edge_settings(settings_path)
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 1
    log = configure_bounded_log(BootClock())
    try:
        EdgeGateway(settings, settings_path, log).run(
            is_reload_pending=lambda: bool(sighups)
        )
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 1
    finally:
        log.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
