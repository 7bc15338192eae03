"""Pipeline of filters and sinks that exchange typed messages."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from ..errors import HawthornyardError
from .message import Message

Handlers = Mapping[type[Message], Callable[[Any], Iterable[Message]]]
Consumers = Mapping[type[Message], Callable[[Any], None]]


class Filter(Protocol):
    """Stage that maps one message to zero or more messages.

    A filter consumes the message types that it has handlers for; a handler
    yields the message again to pass it on. Handlers never block.
    """

    @property
    def handlers(self) -> Handlers:
        """Return the handlers by the message type that each consumes."""
        ...


class Sink(Protocol):
    """Consumer of messages at the tail of a pipeline."""

    @property
    def consumers(self) -> Consumers:
        """Return the consumers by message type."""
        ...


class Inbox(Protocol):
    """Queue of messages for the head of a pipeline."""

    def put(self, msg: Message) -> None:
        """Append a message without blocking."""
        ...


class Feedback:
    """Sink that sends messages from the tail of a pipeline back to its head.

    Args:
        inbox: Inbox of the pipeline.
        types: Message types to send back.
    """

    __slots__ = ("consumers",)

    def __init__(self, inbox: Inbox, *types: type[Message]) -> None:
        self.consumers: Consumers = dict.fromkeys(types, inbox.put)


class Pipeline:
    """Chain of filters with sinks at its tail.

    Args:
        filters: Filters, head first.
        sinks: Consumers of the messages that no later filter handles.
    """

    __slots__ = ("_consumers", "_stage_tables")

    def __init__(self, filters: Sequence[Filter], sinks: Sequence[Sink]) -> None:
        self._stage_tables = _build_stage_tables([stage.handlers for stage in filters])
        self._consumers: dict[type[Message], Callable[[Any], None]] = {}
        for sink in sinks:
            self._consumers.update(sink.consumers)

    def push(self, msg: Message) -> None:
        """Process a message and all messages that result from it.

        An error in one filter or sink holds up no other: messages that do not result
        from the failed one are processed before it is raised.

        Args:
            msg: Message for the head of the chain.

        Raises:
            HawthornyardError: If no filter and no sink handles a message.
            ExceptionGroup: If several filters or sinks failed.
        """
        errors: list[Exception] = []
        self._push(msg, 0, errors)
        if len(errors) == 1:
            raise errors[0]
        if errors:
            raise ExceptionGroup(
                f"{len(errors)} errors while {type(msg).__name__} was processed", errors
            )

    def _push(self, msg: Message, index: int, errors: list[Exception]) -> None:
        stage = self._stage_tables[index].get(type(msg))
        if stage is None:
            try:
                self._consume(msg)
            except Exception as exc:
                errors.append(exc)
            return
        has_passed_on = False
        try:
            for out in stage.handler(msg):
                has_passed_on = has_passed_on or out is msg
                self._push(out, stage.next_index, errors)
        except Exception as exc:
            errors.append(exc)
            if msg.reaches_all and not has_passed_on:
                self._push(msg, stage.next_index, errors)

    def _consume(self, msg: Message) -> None:
        consume = self._consumers.get(type(msg))
        if consume is None:
            raise HawthornyardError(f"no filter or sink handles {type(msg).__name__}")
        consume(msg)


class _Stage:
    """Handler of a message, and the index of the filter that its output enters."""

    __slots__ = ("handler", "next_index")

    def __init__(
        self, handler: Callable[[Any], Iterable[Message]], next_index: int
    ) -> None:
        self.handler = handler
        self.next_index = next_index


def _build_stage_tables(chain: Sequence[Handlers]) -> list[dict[type[Message], _Stage]]:
    # One table per entry index: a push costs one look-up per handler that runs
    # instead of one per filter in the chain.
    tables: list[dict[type[Message], _Stage]] = [{}]
    for index in reversed(range(len(chain))):
        handlers = chain[index].items()
        stages = {cls: _Stage(handler, index + 1) for cls, handler in handlers}
        tables.append({**tables[-1], **stages})
    tables.reverse()
    return tables
