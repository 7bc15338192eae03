"""Model how a stand-in engine carries out orders, and serve the model."""

from typing import Any

import eventlet

from ..core import Message
from ..errors import PlatformError
from ..frames import PlanEntry
from ..sidecar.orders import EndpointState, Order
from ..stores import WeightStore
from .web import Handler, WebAnswer, WebRequest

LOAD_RETRY_S = 0.05


class LoadingWeights(Message):
    """The weights of a model that are being loaded.

    Attributes:
        model: Name of the model.
        version: Name of the weights in the weight store.
        n_read: Bytes read so far.
    """

    __slots__ = ("model", "version", "n_read")

    def __init__(self, model: str, version: str) -> None:
        self.model = model
        self.version = version
        self.n_read = 0


class OrderModel:
    """The orders and loaded models of an engine, which loads one model at a time.

    A model that the last order does not name is unloaded at once. A new version of
    a model replaces the old one when its weights are complete; until then the old
    one is served.

    Args:
        weights: The weight store; None to load a model without delay.
        checks_fencing: Whether an order is refused if its fencing number is smaller
            than that of an order accepted before.
        loaded: Version of the weights by model at the start.

    Attributes:
        fencing_number: Fencing number of the last accepted order, 0 before the first.
        target: Plan entry of the last accepted order; before the first, one that names
            the models loaded at the start.
        loaded: Version of the weights by model, of models that are ready to serve.
        orders: Every order received, with whether it was accepted.
    """

    __slots__ = (
        "_checks_fencing",
        "_loading",
        "_weights",
        "fencing_number",
        "loaded",
        "orders",
        "target",
    )

    def __init__(
        self,
        weights: WeightStore | None = None,
        *,
        checks_fencing: bool = True,
        loaded: dict[str, str] | None = None,
    ) -> None:
        self._weights = weights
        self._checks_fencing = checks_fencing
        self._loading: LoadingWeights | None = None
        self.loaded = dict(loaded or {})
        self.fencing_number = 0
        self.target = PlanEntry("", list(self.loaded), list(self.loaded.values()), ())
        self.orders: list[tuple[Order, bool]] = []

    def apply_order(self, order: Order) -> bool:
        """Accept an order or refuse it as stale; return whether it was accepted."""
        accepted = not self._is_stale(order)
        self.orders.append((order, accepted))
        if accepted:
            self.fencing_number = order.fencing_number
            self.target = order.entry
            self._unload_unwanted()
        return accepted

    def state(self) -> EndpointState:
        """Return the engine's fencing number, role and loaded models."""
        return EndpointState(
            self.fencing_number,
            self.target.role,
            list(self.loaded),
            list(self.loaded.values()),
            self.target.adapters,
            self.target,
        )

    def is_loading(self) -> bool:
        """Return whether a model of the last order is not loaded yet."""
        return self._next_loading() is not None

    def advance(self) -> float:
        """Read the next part of the first weights that are missing.

        Returns:
            Seconds to wait before the next call.

        Raises:
            PlatformError: If the weight store did not answer.
        """
        loading = self._loading = self._next_loading()
        if loading is None:
            return 0.0
        if self._weights is None:
            self.loaded[loading.model] = loading.version
            return 0.0
        part = self._weights.read(loading.version, loading.n_read)
        loading.n_read += part.n_granted
        if loading.n_read >= part.n_bytes:
            self.loaded[loading.model] = loading.version
        return part.wait_s

    def _is_stale(self, order: Order) -> bool:
        return self._checks_fencing and order.fencing_number < self.fencing_number

    def _unload_unwanted(self) -> None:
        wanted = self.target.models
        self.loaded = {
            model: version for model, version in self.loaded.items() if model in wanted
        }

    def _next_loading(self) -> LoadingWeights | None:
        target = self.target
        for model, version in zip(target.models, target.versions, strict=True):
            if self.loaded.get(model) == version:
                continue
            loading = self._loading
            if loading and (loading.model, loading.version) == (model, version):
                return loading
            return LoadingWeights(model, version)
        return None


class EngineOrderRoutes:
    """The HTTP handlers of an `OrderModel`, which the stand-in engine mounts.

    Args:
        model: Receives the orders.

    Attributes:
        lose_replies: Number of next orders that are answered with status 500 after
            they were carried out, as if the reply were lost.
        routes: Handlers by "METHOD /path".
    """

    __slots__ = ("_is_loading", "lose_replies", "model", "routes")

    def __init__(self, model: OrderModel) -> None:
        self.model = model
        self.lose_replies = 0
        self._is_loading = False
        self.routes: dict[str, Handler] = {
            "GET /v1/state": self._state,
            "POST /v1/orders": self._order,
        }

    def _state(self, req: WebRequest) -> WebAnswer:
        state = self.model.state()
        body = {
            "fencing": state.fencing_number,
            "role": state.role,
            "models": state.models,
            "versions": state.versions,
            "adapters": state.adapters,
            "target": _entry_body(self.model.target),
        }
        return WebAnswer(body)

    def _order(self, req: WebRequest) -> WebAnswer:
        body = req.json()
        entry = PlanEntry(
            body["role"], body["models"], body["versions"], body["adapters"]
        )
        accepted = self.model.apply_order(Order(int(body["fencing"]), entry))
        if accepted and not self._is_loading:
            self._is_loading = True
            eventlet.spawn_n(self._load_weights)
        if self.lose_replies:
            self.lose_replies -= 1
            return WebAnswer({"detail": "the reply was lost"}, status=500)
        return WebAnswer({}, status=200 if accepted else 409)

    def _load_weights(self) -> None:
        while self.model.is_loading():
            try:
                wait_s = self.model.advance()
            except PlatformError:
                wait_s = LOAD_RETRY_S
            eventlet.sleep(wait_s)
        self._is_loading = False


def _entry_body(entry: PlanEntry) -> dict[str, Any]:
    return {
        "role": entry.role,
        "models": entry.models,
        "versions": entry.versions,
        "adapters": entry.adapters,
    }
