"""Measure how often a stated quantile held."""


class Calibration:
    """Count predictions that held.

    Args:
        quantile: The stated quantile, 0 to 1.
    """

    __slots__ = ("_n_covered", "n_predictions", "quantile")

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.n_predictions = 0
        self._n_covered = 0

    def add(self, predicted: int, actual: int) -> None:
        """Compare one prediction with what came."""
        self.n_predictions += 1
        self._n_covered += actual <= predicted

    @property
    def coverage(self) -> float:
        """Return the share of predictions that held; compare it with `quantile`."""
        return self._n_covered / self.n_predictions if self.n_predictions else 0.0
