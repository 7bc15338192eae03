"""Measure how often a stated quantile held."""


class Calibration:
    """Count predictions that held.

    Args:
        share: The stated quantile, 0 to 1.
    """

    __slots__ = ("_n_held", "n_seen", "share")

    def __init__(self, share: float) -> None:
        self.share = share
        self.n_seen = 0
        self._n_held = 0

    def add(self, predicted: int, actual: int) -> None:
        """Compare one prediction with what came."""
        self.n_seen += 1
        self._n_held += actual <= predicted

    @property
    def held(self) -> float:
        """Return the share of predictions that held; compare it with `share`."""
        return self._n_held / self.n_seen if self.n_seen else 0.0
