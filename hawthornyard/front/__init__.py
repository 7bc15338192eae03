"""Speak HTTP with callers."""

from .app import Application
from .metrics import MetricsApplication
from .probe import Probe
from .replies import Replies
from .server import HttpServer

__all__ = ["Application", "HttpServer", "MetricsApplication", "Probe", "Replies"]
