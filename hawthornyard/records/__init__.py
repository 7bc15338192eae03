"""Versioned declarative records: schemas, upgrades, types and the catalog."""

from .build import build_record
from .catalog import KINDS, Catalog
from .record import (
    GENERATION,
    HTTP,
    Document,
    Endpoint,
    FailureDomain,
    Model,
    OpeningHours,
    Operation,
    Record,
    Service,
    Team,
)
from .reference import Reference, references
from .schema import schema_of, schema_violations
from .team_key import (
    UNKNOWN_KEY_HASH,
    hash_secret,
    key_matches,
    new_key,
    team_of_key,
)
from .upgrade import NEWEST_SCHEMA, is_supported, upgrade

__all__ = [
    "GENERATION",
    "HTTP",
    "KINDS",
    "NEWEST_SCHEMA",
    "UNKNOWN_KEY_HASH",
    "Catalog",
    "Document",
    "Endpoint",
    "FailureDomain",
    "Model",
    "OpeningHours",
    "Operation",
    "Record",
    "Reference",
    "Service",
    "Team",
    "build_record",
    "hash_secret",
    "is_supported",
    "key_matches",
    "new_key",
    "references",
    "schema_of",
    "schema_violations",
    "team_of_key",
    "upgrade",
]
