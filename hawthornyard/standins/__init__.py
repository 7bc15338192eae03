"""Stand in for the external systems: engines, plain services and the platform."""

from .engine import EngineStandIn
from .engine_cache import CacheEvent
from .engine_load import LoadSample
from .engine_model import EngineModel, Step
from .engine_orders import EngineOrderRoutes, OrderModel
from .engine_profile import EngineProfile
from .engine_sequence import Sequence
from .faults import Faults
from .host_list import HostListStandIn
from .objects import ObjectStoreStandIn
from .service import ServiceStandIn
from .table import TableStandIn
from .table_model import MemoryTable
from .weights import WeightModel, WeightStoreStandIn

__all__ = [
    "CacheEvent",
    "EngineModel",
    "EngineOrderRoutes",
    "EngineProfile",
    "EngineStandIn",
    "Faults",
    "HostListStandIn",
    "LoadSample",
    "MemoryTable",
    "ObjectStoreStandIn",
    "OrderModel",
    "Sequence",
    "ServiceStandIn",
    "Step",
    "TableStandIn",
    "WeightModel",
    "WeightStoreStandIn",
]
