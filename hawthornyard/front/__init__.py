"""Speak HTTP with callers."""

from .app import Application
from .listener import ListenerSink
from .metrics import MetricsApplication
from .probe import Probe
from .replies import Replies
from .server import HttpServer

__all__ = [
    "Application",
    "HttpServer",
    "ListenerSink",
    "MetricsApplication",
    "Probe",
    "Replies",
]
