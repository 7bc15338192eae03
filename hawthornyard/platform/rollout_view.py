"""Read what the store holds of one rollout, for the operator's command."""

from ..core import Message
from ..edge.deployment import Deployment
from ..errors import RecordError
from ..rollout import RolloutOrder, RolloutState
from .deployment import decode_deployment
from .endpoint import decode_endpoint_entry
from .names import (
    DEPLOYMENT_KEY,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    ROLLOUT_KEY_PREFIX,
    ROLLOUT_TABLE,
)
from .rollouts import decode_order, find_state
from .store import PlatformStore


class RolloutView(Message):
    """Rows of the store that concern the rollout of one service.

    Attributes:
        order: The order, None if there is none or it can't be read.
        order_detail: Why the order can't be read, empty for none.
        state: State of the rollout, None before it began.
        now_ms: Time of the store's clock in milliseconds.
        is_service_known: Whether the deployment has the service.
        versions: Versions of the endpoints of the service that do not leave.
    """

    __slots__ = (
        "order",
        "order_detail",
        "state",
        "now_ms",
        "is_service_known",
        "versions",
    )

    def __init__(
        self,
        order: RolloutOrder | None,
        order_detail: str,
        state: RolloutState | None,
        now_ms: float,
        is_service_known: bool,
        versions: frozenset[str],
    ) -> None:
        self.order = order
        self.order_detail = order_detail
        self.state = state
        self.now_ms = now_ms
        self.is_service_known = is_service_known
        self.versions = versions


def read_rollout(store: PlatformStore, service: str) -> RolloutView:
    """Return what the store holds of the rollout of a service.

    Raises:
        PlatformError: If the store gives no valid response.
    """
    order: RolloutOrder | None = None
    detail = ""
    is_known = False
    for row in store.read(OPERATOR_TABLE).rows:
        if row.key == ROLLOUT_KEY_PREFIX + service:
            read = decode_order(row)
            order, detail = read.order, read.detail
        elif row.key == DEPLOYMENT_KEY and row.value is not None:
            is_known = _has_service(row.value, service)
    page = store.read(ROLLOUT_TABLE)
    state, _ = find_state(page, service)
    versions = _versions(store, service)
    return RolloutView(order, detail, state, page.now_ms, is_known, versions)


def _has_service(value: bytes, service: str) -> bool:
    try:
        deployment: Deployment = decode_deployment(value)
    except RecordError:
        return False
    return service in {rule.name for rule in deployment.services}


def _versions(store: PlatformStore, service: str) -> frozenset[str]:
    found = set()
    for row in store.read(ENDPOINT_TABLE).rows:
        try:
            entry = decode_endpoint_entry(row.key, row.value or b"")
        except RecordError:
            continue
        if entry.service == service and not entry.is_draining:
            found.add(entry.version)
    return frozenset(found)
