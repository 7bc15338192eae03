"""Write, change and retire records."""

from .change import RECORD_PREFIX, apply_documents, record_key

__all__ = ["RECORD_PREFIX", "apply_documents", "record_key"]
