"""Log decisions and faults."""

from loguru import logger

from ..core import Consumers, Decision, Fault


class DecisionLog:
    """Sink that writes one structured log line for each decision or fault.

    Args:
        process: Name of the process, a field of each line.
    """

    __slots__ = ("_process", "consumers")

    def __init__(self, process: str) -> None:
        self._process = process
        self.consumers: Consumers = {Decision: self._on_decision, Fault: self._on_fault}

    def _on_decision(self, msg: Decision) -> None:
        logger.bind(
            process=self._process,
            request_id=msg.request_id,
            reason=msg.reason,
            **msg.details,
        ).info(msg.name)

    def _on_fault(self, msg: Fault) -> None:
        logger.bind(process=self._process, kind=msg.kind.value).error(msg.detail)
