"""Stand in for the systems outside: engines, plain services, the platform."""

from .engine import EngineStandIn
from .engine_cache import CacheEvent
from .engine_load import Load
from .engine_model import EngineModel, Step
from .engine_profile import EngineProfile
from .engine_sequence import Sequence
from .service import ServiceStandIn
from .table import TableStandIn
from .table_model import MemoryTable

__all__ = [
    "CacheEvent",
    "EngineModel",
    "EngineProfile",
    "EngineStandIn",
    "Load",
    "MemoryTable",
    "Sequence",
    "ServiceStandIn",
    "Step",
    "TableStandIn",
]
