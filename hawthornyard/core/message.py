"""Base class of typed messages."""

from collections.abc import Iterator
from typing import Any, ClassVar


class Message:
    """Base class of everything that passes through a pipeline.

    Provides `repr` and equality by value. A subclass lists its fields in
    `__slots__`, in the order of its constructor parameters.

    Attributes:
        reaches_all: Whether the message goes on to the filters behind one that fails
            to handle it.
    """

    __slots__ = ()

    reaches_all: ClassVar[bool] = False

    @classmethod
    def fields(cls) -> tuple[str, ...]:
        """Return the names of the fields in constructor order."""
        return tuple(cls.__slots__)

    def values(self) -> Iterator[Any]:
        """Yield the values of the fields in constructor order."""
        for name in self.fields():
            yield getattr(self, name)

    @property
    def n_payload_bytes(self) -> int:
        """Return the size of the payload in bytes, 0 if there is none to speak of."""
        return 0

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return list(self.values()) == list(other.values())

    def __hash__(self) -> int:
        # By identity, because fields may change: equal messages differ in hash.
        return id(self)

    def __repr__(self) -> str:
        pairs = zip(self.fields(), self.values(), strict=True)
        body = ", ".join(f"{name}={value!r}" for name, value in pairs)
        return f"{type(self).__name__}({body})"
