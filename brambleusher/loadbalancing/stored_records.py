"""Kinds of records within a balancer's stored state."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from enum import Enum

from brambleusher.loadbalancing.state_tables import FieldTable


class StoredRecord:
    """A type whose objects are stored field by field, with a factory for empty objects."""

    def __init__(self, kind: type, fields: FieldTable, make_empty: Callable[[random.Random], object]) -> None:
        self.kind, self.fields, self.make_empty = kind, fields, make_empty


class StoredForm:
    """Stored form of one type of balancer: its own fields, its records, and the enum of zone states."""

    def __init__(
        self, fields: FieldTable, records: Mapping[str, StoredRecord], state_enum: type[Enum] | None = None
    ) -> None:
        self.fields, self.records, self.state_enum = fields, records, state_enum
        self._keys = {record.kind: key for key, record in records.items()}

    def key_of(self, kind: type) -> str | None:
        """Return the stored key of a record type, or None if the type is not a record."""
        return self._keys.get(kind)
