"""Poll the platform's host list."""

import random

import eventlet
from loguru import logger

from ..core import Inbox
from ..errors import PlatformError
from ..gateway.fleet import HostsListed
from ..stores import HostList
from .repeat import repeat

HOST_POLL_INTERVAL_S = 1.0


class HostPoller:
    """Source of the leaving hosts' addresses, reported when the host list changes.

    Args:
        hosts: The platform's host list.
        inbox: Receives `HostsListed`.
        interval_s: Mean seconds between polls.
    """

    __slots__ = ("_hosts", "_inbox", "_interval_s", "_revision")

    def __init__(
        self,
        hosts: HostList,
        inbox: Inbox,
        *,
        interval_s: float = HOST_POLL_INTERVAL_S,
    ) -> None:
        self._hosts = hosts
        self._inbox = inbox
        self._interval_s = interval_s
        self._revision = 0

    def run(self) -> None:
        """Poll at intervals with jitter; never returns."""
        repeat(self._poll_and_wait, "host poller")

    def _poll_and_wait(self) -> None:
        self.poll()
        eventlet.sleep(self._interval_s * (0.5 + random.random()))

    def poll(self) -> None:
        """Poll once; a failure is logged, and the next poll is the retry."""
        try:
            page = self._hosts.read()
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("host_poll_failed")
            return
        if page.revision == self._revision:
            return
        self._revision = page.revision
        leaving = [host.address for host in page.hosts if host.leaving]
        self._inbox.put(HostsListed(page.revision, leaving))
