"""Serve callers over HTTP."""

from .app import Application
from .listener import ListenerSink
from .metrics import MetricsApplication
from .probe import StatusSource
from .replies import ReplyQueues
from .server import HttpServer

__all__ = [
    "Application",
    "HttpServer",
    "ListenerSink",
    "MetricsApplication",
    "ReplyQueues",
    "StatusSource",
]
