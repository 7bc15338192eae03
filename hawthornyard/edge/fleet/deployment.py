"""Apply the deployments that operators declare."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ..directory import Directory
from ..messages import DeploymentRead, DomainsRead, StoreAnswered

OPERATOR_FEED = "operator"
"""Name of the feed of deployments and of failure domains out of service."""


class FollowDeployment:
    """Filter that updates the directory when the operators' rows are read.

    Args:
        directory: Deployment in force.
    """

    __slots__ = ("_directory", "handlers")

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self.handlers: Handlers = {
            DeploymentRead: self._on_deployment_read,
            DomainsRead: self._on_domains_read,
            StoreAnswered: self._on_store_answered,
        }

    def _on_deployment_read(self, msg: DeploymentRead) -> Iterator[Message]:
        before = self._directory.version
        is_new = self._directory.replace(msg.deployment)
        if is_new:
            yield Decision(
                "deployment",
                reason="newer version",
                version=msg.deployment.version,
                before=before,
                n_routes=len(msg.deployment.routes),
                n_teams=len(msg.deployment.teams),
            )
        elif msg.deployment.version < before:
            yield Decision(
                "deployment_ignored",
                reason="older than the version in force",
                version=msg.deployment.version,
                in_force=before,
            )

    def _on_domains_read(self, msg: DomainsRead) -> Iterator[Message]:
        if (
            not self._directory.are_domains_known
            or msg.names != self._directory.domains_out
        ):
            yield Decision("domains_out", domains=sorted(msg.names))
        self._directory.domains_out = msg.names
        self._directory.are_domains_known = True

    def _on_store_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        if msg.feed == OPERATOR_FEED:
            self._directory.confirm(msg.as_of)
        yield msg
