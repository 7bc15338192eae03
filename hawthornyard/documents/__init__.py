"""Read and validate YAML documents, with errors that give file and line."""

from .check import check_value, closest_match
from .location import SourceLocation
from .problem import Problem, format_problems
from .source import ParsedFile, SourceDocument, read_documents
from .unknown_location import UnknownLocation
from .violation import FieldPath, Violation

__all__ = [
    "FieldPath",
    "ParsedFile",
    "Problem",
    "SourceDocument",
    "SourceLocation",
    "UnknownLocation",
    "Violation",
    "check_value",
    "closest_match",
    "format_problems",
    "read_documents",
]
