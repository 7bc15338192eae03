"""Define the platform's services and reach them."""

from .http_table import HttpTable
from .table import Condition, Page, Put, Row, TableStore

__all__ = ["Condition", "HttpTable", "Page", "Put", "Row", "TableStore"]
