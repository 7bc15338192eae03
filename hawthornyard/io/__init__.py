"""Connect the pipelines to sockets, timers, the platform's services and the log."""

from .clock import MonotonicClock, RandomIdentifiers
from .config_poller import ConfigPoller
from .connection import Connection, Connections, FrameSink
from .decision_log import DecisionLog
from .discard import DiscardSink
from .inbox import EventletInbox
from .listening_socket import listen
from .log import configure_log
from .loop import StopSink, freeze_startup_objects, run_loop
from .mailbox import Mailbox
from .peer_links import MAX_PORT, PeerLinks, split_address
from .peer_listener import PeerListener
from .repeat import repeat
from .reserved_port import ReservedPort
from .timer import run_timer

__all__ = [
    "MAX_PORT",
    "ConfigPoller",
    "Connection",
    "Connections",
    "DecisionLog",
    "DiscardSink",
    "EventletInbox",
    "FrameSink",
    "Mailbox",
    "MonotonicClock",
    "PeerLinks",
    "PeerListener",
    "RandomIdentifiers",
    "ReservedPort",
    "StopSink",
    "configure_log",
    "freeze_startup_objects",
    "listen",
    "repeat",
    "run_loop",
    "run_timer",
    "split_address",
]
