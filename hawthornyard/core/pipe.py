"""Join filters into a pipeline with typed messages and sinks."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from ..errors import HawthornyardError
from .message import Message

Handlers = Mapping[type[Message], Callable[[Any], Iterable[Message]]]
Consumers = Mapping[type[Message], Callable[[Any], None]]


class Filter(Protocol):
    """Take one typed message and yield zero or more typed messages.

    A filter takes a message off the pipe by having a handler for its type;
    it yields the message again to pass it on. It never waits.
    """

    @property
    def handlers(self) -> Handlers:
        """Return the handler of each message type that the filter takes."""
        ...


class Sink(Protocol):
    """Take messages off the tail of a pipeline."""

    @property
    def consumers(self) -> Consumers:
        """Return the consumer of each message type that the sink takes."""
        ...


class Inbox(Protocol):
    """Accept messages at the head of a pipeline."""

    def put(self, msg: Message) -> None:
        """Append a message without waiting."""
        ...


class Feedback:
    """Return messages from the tail of a pipeline to its head.

    Args:
        inbox: Where the messages go.
        types: The message types that are returned.
    """

    __slots__ = ("consumers",)

    def __init__(self, inbox: Inbox, *types: type[Message]) -> None:
        self.consumers: Consumers = dict.fromkeys(types, inbox.put)


class Pipeline:
    """Push messages through a chain of filters into sinks.

    Args:
        filters: The chain, head first.
        sinks: Where messages go that no later filter takes.
    """

    __slots__ = ("_consumers", "_stage_tables")

    def __init__(self, filters: Sequence[Filter], sinks: Sequence[Sink]) -> None:
        self._stage_tables = _build_stage_tables([stage.handlers for stage in filters])
        self._consumers: dict[type[Message], Callable[[Any], None]] = {}
        for sink in sinks:
            self._consumers.update(sink.consumers)

    def push(self, msg: Message) -> None:
        """Run one message and all that follows from it to the tail.

        Args:
            msg: A message for the head of the chain.

        Raises:
            HawthornyardError: If no filter and no sink takes a message.
        """
        self._push(msg, 0)

    def _push(self, msg: Message, index: int) -> None:
        stage = self._stage_tables[index].get(type(msg))
        if stage is not None:
            for out in stage.handler(msg):
                self._push(out, stage.next_index)
            return
        consume = self._consumers.get(type(msg))
        if consume is None:
            raise HawthornyardError(f"no stage takes {type(msg).__name__}")
        consume(msg)


class _Stage:
    """The handler that takes a message next, and where its output goes on."""

    __slots__ = ("next_index", "handler")

    def __init__(
        self, handler: Callable[[Any], Iterable[Message]], next_index: int
    ) -> None:
        self.handler = handler
        self.next_index = next_index


def _build_stage_tables(chain: Sequence[Handlers]) -> list[dict[type[Message], _Stage]]:
    # One table for each start, so that a push costs one look-up a handler
    # and not one a filter.
    tables: list[dict[type[Message], _Stage]] = [{}]
    for index in reversed(range(len(chain))):
        handlers = chain[index].items()
        first = {cls: _Stage(handler, index + 1) for cls, handler in handlers}
        tables.append({**tables[-1], **first})
    tables.reverse()
    return tables
