"""The command line interface."""

from .app import build_app, run_app
from .exit import ExitCode

__all__ = ["ExitCode", "build_app", "run_app"]
