"""Define the platform's table, object, weight and host services and their clients."""

from .hosts import HostEntry, HostList, HostPage, HttpHostList
from .http_table import HttpTableStore
from .objects import MAX_OBJECT_BYTES, HttpObjectStore, ObjectStore
from .table import Condition, Page, Put, Row, TableStore
from .weights import HttpWeightStore, WeightPart, WeightStore

__all__ = [
    "MAX_OBJECT_BYTES",
    "Condition",
    "HostEntry",
    "HostList",
    "HostPage",
    "HttpHostList",
    "HttpObjectStore",
    "HttpTableStore",
    "HttpWeightStore",
    "ObjectStore",
    "Page",
    "Put",
    "Row",
    "TableStore",
    "WeightPart",
    "WeightStore",
]
