"""Run every role and the stand-ins inside one process."""

from .client import Client, Event
from .deployment import Deployment, EndpointHost, wait_until
from .tour import run_demo

__all__ = ["Client", "Deployment", "EndpointHost", "Event", "run_demo", "wait_until"]
