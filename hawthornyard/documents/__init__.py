"""Read and validate YAML documents, with errors that give file and line."""

from .check import check_value, suggest
from .place import Place
from .problem import Problem, report
from .source import Reading, SourceDocument, read_documents
from .unplaced import Unplaced
from .violation import FieldPath, Violation

__all__ = [
    "FieldPath",
    "Place",
    "Problem",
    "Reading",
    "SourceDocument",
    "Unplaced",
    "Violation",
    "check_value",
    "read_documents",
    "report",
    "suggest",
]
