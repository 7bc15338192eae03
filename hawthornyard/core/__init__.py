"""Message, filter and pipeline types that all programs share."""

from .clock import Clock, Identifiers, ManualClock, RandomSource
from .drain import Drain
from .event import (
    Decision,
    Fault,
    PeerDown,
    PeerUp,
    ReloadRequested,
    StopListening,
    Stopped,
    StopRequested,
    Tick,
)
from .message import Message
from .pipeline import Consumers, Feedback, Filter, Handlers, Inbox, Pipeline, Sink
from .unexpected import DropUnexpected

__all__ = [
    "Clock",
    "Consumers",
    "Decision",
    "Drain",
    "DropUnexpected",
    "Fault",
    "Feedback",
    "Filter",
    "Handlers",
    "Identifiers",
    "Inbox",
    "ManualClock",
    "Message",
    "PeerDown",
    "PeerUp",
    "Pipeline",
    "RandomSource",
    "ReloadRequested",
    "Sink",
    "StopListening",
    "StopRequested",
    "Stopped",
    "Tick",
]
