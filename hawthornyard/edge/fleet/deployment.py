"""Apply the deployments that operators declare."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ..directory import Directory
from ..messages import DeploymentRead, DomainsRead, StoreAnswered, StoreRestored
from .store import STORE_RECOVERY_S

OPERATOR_FEED = "operator"
"""Name of the feed of deployments and of failure domains out of service."""


class FollowDeployment:
    """Filter that updates the directory when the operators' rows are read.

    While the store recovers from a restore, its rows may be older than what is known:
    they add to it, but take nothing back and confirm nothing.

    Args:
        directory: Deployment in force.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_confirmable_from",
        "_directory",
        "_domains_read",
        "_recovers_at",
        "_revision",
        "handlers",
    )

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._domains_read: frozenset[str] = frozenset()
        self._recovers_at = float("-inf")
        self._confirmable_from = float("-inf")
        self._revision = 0
        self.handlers: Handlers = {
            DeploymentRead: self._on_deployment_read,
            DomainsRead: self._on_domains_read,
            StoreAnswered: self._on_store_answered,
            StoreRestored: self._on_store_restored,
        }

    def _on_deployment_read(self, msg: DeploymentRead) -> Iterator[Message]:
        before = self._directory.version
        if msg.deployment.version == before and msg.revision != self._revision:
            # The copy has it as the old write, so the operators have written it anew.
            self._confirmable_from = float("-inf")
        if msg.deployment.version >= before:
            self._revision = msg.revision
        is_new = self._directory.replace(msg.deployment)
        if is_new:
            is_newer = msg.deployment.version > before
            applied_s = None
            if msg.answered_at is not None:
                applied_s = round(self._clock.now() - msg.answered_at, 3)
            yield Decision(
                "deployment",
                reason="newer version" if is_newer else "same version, other content",
                version=msg.deployment.version,
                before=before,
                n_routes=len(msg.deployment.routes),
                n_teams=len(msg.deployment.teams),
                applied_s=applied_s,
            )
        elif msg.deployment.version < before:
            yield Decision(
                "deployment_ignored",
                reason="older than the version in force",
                version=msg.deployment.version,
                in_force=before,
            )

    def _on_domains_read(self, msg: DomainsRead) -> Iterator[Message]:
        self._domains_read = msg.names
        names = msg.names
        if self._clock.now() < self._recovers_at:
            names |= self._directory.domains_out
        yield from self._set_domains_out(names)

    def _set_domains_out(self, names: frozenset[str]) -> Iterator[Message]:
        if (
            not self._directory.are_domains_known
            or names != self._directory.domains_out
        ):
            yield Decision("domains_out", domains=sorted(names))
        self._directory.domains_out = names
        self._directory.are_domains_known = True

    def _on_store_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        if msg.feed == OPERATOR_FEED:
            if msg.as_of >= self._recovers_at and self._directory.are_domains_known:
                yield from self._set_domains_out(self._domains_read)
            if msg.as_of >= self._confirmable_from:
                self._directory.confirm(msg.as_of)
        yield msg

    def _on_store_restored(self, msg: StoreRestored) -> Iterator[Message]:
        if msg.feed == OPERATOR_FEED:
            self._recovers_at = msg.noticed_at + STORE_RECOVERY_S
            self._confirmable_from = self._recovers_at
        yield msg
