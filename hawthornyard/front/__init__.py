"""Speak HTTP with callers."""

from .app import Application
from .probe import Probe
from .replies import Replies
from .server import HttpServer

__all__ = ["Application", "HttpServer", "Probe", "Replies"]
