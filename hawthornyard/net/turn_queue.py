"""Decide who works next for its peer when work is costly."""

import heapq


class Workload:
    """The work that the current message of one peer has caused.

    It begins anew with each message, so that a connection that is kept alive for many
    ordinary requests does not fall behind new ones.

    Attributes:
        n_units: Units of work so far.
    """

    __slots__ = ("n_units",)

    def __init__(self) -> None:
        self.n_units = 0


class Turn:
    """A request to go on after some units of work.

    Args:
        workload: Workload that the units are added to.
        n_units: Units of work.

    Attributes:
        workload: Workload that the units are added to.
        n_units: Units of work.
        is_waiting: Whether it is neither granted nor cancelled.
    """

    __slots__ = ("is_waiting", "n_units", "workload")

    def __init__(self, workload: Workload, n_units: int) -> None:
        self.workload = workload
        self.n_units = n_units
        self.is_waiting = True


class TurnQueue:
    """Turns that wait, of which the one with the smallest workload goes first.

    In each pass a number of units is granted. A piece of work that can't be divided
    may exceed it; nothing is granted then until the passes that follow have made up
    for it.

    Args:
        units_per_pass: Units that are granted in a pass.
    """

    __slots__ = ("_n_left", "_n_turns", "_units_per_pass", "_waiting")

    def __init__(self, units_per_pass: int) -> None:
        self._units_per_pass = units_per_pass
        self._n_left = units_per_pass
        self._n_turns = 0
        self._waiting: list[tuple[int, int, Turn]] = []

    @property
    def is_idle(self) -> bool:
        """Return whether nothing waits or is still to be made up for."""
        return not self._waiting and self._n_left == self._units_per_pass

    def ask(self, turn: Turn) -> bool:
        """Grant a turn if units are left in this pass, else let it wait."""
        if self._n_left > 0 and not self._waiting:
            self._grant(turn)
            return True
        # Turns with equal workloads are granted in the order of their requests.
        self._n_turns += 1
        rank = turn.workload.n_units + turn.n_units
        heapq.heappush(self._waiting, (rank, self._n_turns, turn))
        return False

    def begin_pass(self) -> list[Turn]:
        """Return the turns that are granted at the begin of a pass."""
        self._n_left = min(self._units_per_pass, self._n_left + self._units_per_pass)
        granted = []
        while self._waiting and self._n_left > 0:
            turn = heapq.heappop(self._waiting)[-1]
            if turn.is_waiting:
                self._grant(turn)
                granted.append(turn)
        return granted

    def _grant(self, turn: Turn) -> None:
        turn.is_waiting = False
        turn.workload.n_units += turn.n_units
        self._n_left -= turn.n_units
