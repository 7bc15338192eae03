"""Speak HTTP with callers."""

from .app import Application, Probe
from .replies import Replies
from .server import HttpServer

__all__ = ["Application", "HttpServer", "Probe", "Replies"]
