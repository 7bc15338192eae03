"""Stand in for the systems outside: engines, plain services, the platform."""

from .engine import EngineStandIn
from .engine_model import EngineModel
from .engine_orders import EngineOrderRoutes, OrderModel
from .faults import Faults
from .hosts import HostStandIn
from .objects import ObjectStandIn
from .service import ServiceStandIn
from .table import TableStandIn
from .table_model import MemoryTable
from .weights import WeightModel, WeightStandIn

__all__ = [
    "EngineModel",
    "EngineOrderRoutes",
    "EngineStandIn",
    "Faults",
    "HostStandIn",
    "MemoryTable",
    "ObjectStandIn",
    "OrderModel",
    "ServiceStandIn",
    "TableStandIn",
    "WeightModel",
    "WeightStandIn",
]
