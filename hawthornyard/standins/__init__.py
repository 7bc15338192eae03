"""Stand in for the systems outside: engines, plain services, the platform."""

from .engine import EngineStandIn
from .engine_model import EngineModel
from .service import ServiceStandIn
from .table import TableStandIn
from .table_model import MemoryTable

__all__ = [
    "EngineModel",
    "EngineStandIn",
    "MemoryTable",
    "ServiceStandIn",
    "TableStandIn",
]
