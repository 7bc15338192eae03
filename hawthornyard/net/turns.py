"""Let green threads that work much for their peers take turns."""

from typing import Any

import eventlet
from eventlet import hubs

from .turn_queue import Turn, TurnQueue, Workload

UNITS_PER_PASS = 512
"""Units that all peers together get in a pass of the hub, below a millisecond of work.
An ordinary request takes many passes from its arrival to its response."""


class Turns:
    """Turns of all green threads of a process.

    Work that is divided into slices would still fill each pass of the hub if every
    connection did a slice in it. Here, the slices of all connections share a number of
    units for each pass.

    Args:
        units_per_pass: Units that are granted in a pass.
    """

    __slots__ = ("_is_scheduled", "_queue", "_threads")

    def __init__(self, units_per_pass: int) -> None:
        self._queue = TurnQueue(units_per_pass)
        self._threads: dict[Workload, Any] = {}
        self._is_scheduled = False

    def pay(self, workload: Workload, n_units: int) -> None:
        """Add units to a workload and wait until its thread may go on.

        A thread that is cancelled goes on at once.
        """
        turn = Turn(workload, n_units)
        is_granted = self._queue.ask(turn)
        self._schedule()
        if is_granted:
            return
        self._threads[workload] = eventlet.getcurrent()
        try:
            hubs.get_hub().switch()
        finally:
            # A timeout of the thread ends the wait as well.
            turn.is_waiting = False
            self._threads.pop(workload, None)

    def is_waiting(self, workload: Workload) -> bool:
        """Return whether the thread of a workload waits for its turn."""
        return workload in self._threads

    def cancel(self, workload: Workload) -> None:
        """Wake the thread of a workload if it waits, as its connection must end."""
        if workload in self._threads:
            hubs.get_hub().schedule_call_global(0, self._resume, workload)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            hubs.get_hub().schedule_call_global(0, self._begin_pass)

    def _begin_pass(self) -> None:
        self._is_scheduled = False
        granted = self._queue.begin_pass()
        if not self._queue.is_idle:
            self._schedule()
        for turn in granted:
            # Separate calls, as a thread that ends with an error raises it here.
            hubs.get_hub().schedule_call_global(0, self._resume, turn.workload)

    def _resume(self, workload: Workload) -> None:
        thread = self._threads.pop(workload, None)
        if thread is not None:
            thread.switch()


PROCESS_TURNS = Turns(UNITS_PER_PASS)
"""Turns of all connections of this process."""
