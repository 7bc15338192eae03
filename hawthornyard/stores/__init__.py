"""Define the platform's table, object, weight and host services and their clients."""

from .hosts import HostEntry, HostList, HostPage, HttpHosts
from .http_table import HttpTable
from .objects import MAX_OBJECT_BYTES, HttpObjects, ObjectStore
from .table import Condition, Page, Put, Row, TableStore
from .weights import HttpWeights, WeightPart, WeightStore

__all__ = [
    "MAX_OBJECT_BYTES",
    "Condition",
    "HostEntry",
    "HostList",
    "HostPage",
    "HttpHosts",
    "HttpObjects",
    "HttpTable",
    "HttpWeights",
    "ObjectStore",
    "Page",
    "Put",
    "Row",
    "TableStore",
    "WeightPart",
    "WeightStore",
]
