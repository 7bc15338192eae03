"""Track endpoints as they appear, drain and disappear."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import LeavingNotice
from ..endpoints import Endpoint, Endpoints
from ..messages import (
    EndpointEntry,
    EndpointLeaving,
    EndpointNotice,
    EndpointsRead,
    Origin,
    ReportRead,
    StoreAnswered,
    StoreFailed,
    StoreRestored,
)
from .store import STORE_RECOVERY_S

ENDPOINT_FEED = "endpoints"
"""Name of the feed of endpoints' entries."""

# Time after a restore of the store in which the entry of an endpoint that has left may
# still be the copy's: it expires three heartbeats after the return.
COPIED_ENTRY_S = 5.0
# Least time that an endpoint is kept after it began to leave, for runs still there.
GONE_RETENTION_S = 30.0


class FollowEndpoints:
    """Filter that keeps the known endpoints up to date.

    Args:
        endpoints: Known endpoints.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_copied_entries",
        "_copied_until",
        "_endpoints",
        "_is_store_lost",
        "_last_failed_call_at",
        "_pending_removals",
        "_recovers_at",
        "handlers",
    )

    def __init__(self, endpoints: Endpoints, clock: Clock) -> None:
        self._endpoints = endpoints
        self._clock = clock
        self._pending_removals: set[str] = set()
        self._is_store_lost = False
        self._last_failed_call_at = float("-inf")
        self._recovers_at = float("-inf")
        self._copied_entries: dict[str, EndpointEntry] = {}
        self._copied_until = float("-inf")
        self.handlers: Handlers = {
            EndpointsRead: self._on_endpoints_read,
            EndpointNotice: self._on_endpoint_notice,
            ReportRead: self._on_report_read,
            LeavingNotice: self._on_leaving_notice,
            StoreAnswered: self._on_store_answered,
            StoreFailed: self._on_store_failed,
            StoreRestored: self._on_store_restored,
            Tick: self._on_tick,
        }

    def _on_endpoints_read(self, msg: EndpointsRead) -> Iterator[Message]:
        self._endpoints.is_loaded = True
        for entry in msg.entries:
            if msg.is_complete and self._may_be_copied(entry):
                self._copied_entries[entry.name] = entry
                yield Decision(
                    "entry_not_used",
                    endpoint=entry.name,
                    reason="it has left, and the store was restored",
                )
            else:
                yield from self._on_entry(entry)
        gone = list(msg.gone)
        if msg.is_complete:
            present = {entry.name for entry in msg.entries}
            gone += [end.name for end in self._endpoints if end.name not in present]
        for name in gone:
            yield from self._on_gone(name)
        yield msg

    def _on_entry(self, entry: EndpointEntry) -> Iterator[Message]:
        self._pending_removals.discard(entry.name)
        self._copied_entries.pop(entry.name, None)
        known = self._endpoints.get(entry.name)
        was_leaving = known is not None and known.leaving_since is not None
        endpoint = self._endpoints.update(entry)
        is_new = endpoint is not known
        if is_new:
            yield Decision(
                "endpoint_found",
                endpoint=entry.name,
                service=entry.service,
                address=entry.address,
                failure_domain=entry.failure_domain,
                cold_s=entry.cold_s,
            )
        if endpoint.leaving_since is not None and (is_new or not was_leaving):
            reason = (
                "draining"
                if entry.is_draining
                else "announced before its entry was read"
            )
            yield from self._announce_leaving(endpoint, reason, Origin.STORE)

    def _may_be_copied(self, entry: EndpointEntry) -> bool:
        known = self._endpoints.get(entry.name)
        if known is None or known.leaving_since is None:
            return False
        return known.entry.born == entry.born and self._clock.now() < self._copied_until

    def _on_gone(self, name: str) -> Iterator[Message]:
        self._copied_entries.pop(name, None)
        endpoint = self._endpoints.get(name)
        if endpoint is None or name in self._pending_removals:
            return
        if self._is_store_recovering():
            self._pending_removals.add(name)
            yield Decision(
                "endpoint_absent",
                endpoint=name,
                reason="the store was unavailable",
                failed_call_s=round(self._clock.now() - self._last_failed_call_at, 3),
            )
            return
        if endpoint.note_leaving(self._clock.now(), is_announced=False):
            yield from self._announce_leaving(endpoint, "entry removed", Origin.STORE)

    def _on_endpoint_notice(self, msg: EndpointNotice) -> Iterator[Message]:
        if msg.is_leaving:
            endpoint = self._endpoints.note_announced_leaving(msg.endpoint, msg.born)
            if endpoint is not None:
                yield from self._announce_leaving(
                    endpoint,
                    "announced in an answer",
                    Origin.ENDPOINT,
                    call=msg.call,
                    age_s=self._clock.now() - msg.asked_at,
                )
        yield msg

    def _on_report_read(self, msg: ReportRead) -> Iterator[Message]:
        if msg.is_leaving:
            endpoint = self._endpoints.note_announced_leaving(msg.endpoint, msg.born)
            if endpoint is not None:
                yield from self._announce_leaving(
                    endpoint, "reported by the endpoint", Origin.ENDPOINT
                )
        yield msg

    def _on_leaving_notice(self, msg: LeavingNotice) -> Iterator[Message]:
        endpoint = self._endpoints.note_announced_leaving(msg.endpoint, msg.started_at)
        if endpoint is not None:
            yield from self._announce_leaving(
                endpoint, "reported by another gateway", Origin.GATEWAY
            )

    def _announce_leaving(
        self,
        endpoint: Endpoint,
        reason: str,
        origin: Origin,
        *,
        call: str = "",
        age_s: float = 0.0,
    ) -> Iterator[Message]:
        yield Decision(
            "endpoint_leaving",
            reason=reason,
            endpoint=endpoint.name,
            born=endpoint.entry.born,
            origin=origin.value,
            n_running=len(endpoint.requests),
            call=call,
            age_s=round(age_s, 3),
        )
        yield EndpointLeaving(endpoint.name, origin)

    def _on_store_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        if msg.feed == ENDPOINT_FEED:
            self._is_store_lost = False
        yield msg

    def _on_store_failed(self, msg: StoreFailed) -> Iterator[Message]:
        if msg.feed == ENDPOINT_FEED:
            self._is_store_lost = True
            self._last_failed_call_at = msg.sent_at
        yield msg

    def _on_store_restored(self, msg: StoreRestored) -> Iterator[Message]:
        if msg.feed == ENDPOINT_FEED:
            self._recovers_at = msg.noticed_at + STORE_RECOVERY_S
            self._copied_until = msg.noticed_at + COPIED_ENTRY_S
        yield msg

    def _is_store_recovering(self) -> bool:
        # The store may have been back since the last failed call was sent. Counted from
        # the first answer, the time to notice its return would be added to the time for
        # which an endpoint that has left gets work.
        return (
            self._is_store_lost
            or self._clock.now() < self._recovers_at
            or self._clock.now() < self._last_failed_call_at + STORE_RECOVERY_S
        )

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if self._pending_removals and not self._is_store_recovering():
            names, self._pending_removals = self._pending_removals, set()
            for name in names:
                yield from self._on_gone(name)
        if self._copied_entries and msg.now >= self._copied_until:
            entries, self._copied_entries = self._copied_entries, {}
            for entry in entries.values():
                yield from self._on_entry(entry)
        for endpoint in self._endpoints:
            since = endpoint.leaving_since
            if since is None or endpoint.requests:
                continue
            if msg.now - since > GONE_RETENTION_S:
                self._endpoints.forget(endpoint.name)
        yield msg
