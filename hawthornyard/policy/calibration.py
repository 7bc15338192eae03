"""Measure how often a predicted quantile held."""


class Calibration:
    """The empirical coverage of a predicted quantile.

    Args:
        quantile: The quantile that is predicted, 0 to 1.
    """

    __slots__ = ("_n_covered", "n_predictions", "quantile")

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.n_predictions = 0
        self._n_covered = 0

    def add(self, predicted: int, actual: int) -> None:
        """Count a prediction, which held if the actual value is not above it."""
        self.n_predictions += 1
        self._n_covered += actual <= predicted

    @property
    def coverage(self) -> float:
        """Return the fraction of predictions that held, 0 before the first.

        The coverage of a calibrated predictor is close to `quantile`.
        """
        return self._n_covered / self.n_predictions if self.n_predictions else 0.0
