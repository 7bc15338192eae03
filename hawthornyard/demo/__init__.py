"""Run all roles of a deployment, and stand-ins, in one process."""

from .client import Client, Event
from .deployment import Deployment, EndpointHost, wait_until
from .tour import run_demo

__all__ = ["Client", "Deployment", "EndpointHost", "Event", "run_demo", "wait_until"]
