"""Configuration updates that gateways push."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...frames import ConfigPull, ConfigPush
from ...records import Catalog
from ..messages import ConfigChanged


class ApplyRecords:
    """Filter that applies pushed records; older revisions are ignored.

    Args:
        catalog: Records in force.
    """

    __slots__ = ("_catalog", "handlers")

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self.handlers: Handlers = {ConfigPush: self._on_config_push}

    def _on_config_push(self, msg: ConfigPush) -> Iterator[Message]:
        if self._catalog.would_leave_gap(msg.after):
            yield ConfigPull(self._catalog.revision).with_peer(msg.peer)
            return
        if not self._catalog.apply(msg.revision, msg.entries):
            return
        yield Decision(
            "config_in_force",
            reason="newer revision",
            revision=self._catalog.revision,
            n_records=len(msg.entries),
        )
        yield ConfigChanged(self._catalog.revision)
