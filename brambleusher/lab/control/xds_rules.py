"""Checks of protobuf messages against the field rules of the published protos, as Envoy performs them.

Envoy rejects a resource that violates a rule.  The rules are options in the protos (`validate.rules`); a
rule of an unsupported kind raises an error, so that no rule is skipped silently.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from typing import Any

from google.protobuf import any_pb2, duration_pb2, symbol_database
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from validate import validate_pb2

_IGNORED_RULES = {"ignore_empty", "strict", "well_known_regex", "unique"}
_CHECKS: dict[str, Callable[[Any, Any], bool]] = {
    "const": lambda value, rule: value == rule,
    "lt": lambda value, rule: value < rule,
    "lte": lambda value, rule: value <= rule,
    "gt": lambda value, rule: value > rule,
    "gte": lambda value, rule: value >= rule,
    "in": lambda value, rule: value in rule,
    "not_in": lambda value, rule: value not in rule,
    "len": lambda value, rule: len(value) == rule,
    "min_len": lambda value, rule: len(value) >= rule,
    "max_len": lambda value, rule: len(value) <= rule,
    "min_bytes": lambda value, rule: len(value.encode()) >= rule,
    "max_bytes": lambda value, rule: len(value.encode()) <= rule,
    "min_items": lambda value, rule: len(value) >= rule,
    "max_items": lambda value, rule: len(value) <= rule,
    "prefix": lambda value, rule: value.startswith(rule),
    "suffix": lambda value, rule: value.endswith(rule),
    "pattern": lambda value, rule: re.search(rule, value) is not None,
    "address": lambda value, rule: bool(value),
    "uri": lambda value, rule: ":" in value,
}


def _comparable(value: Any) -> Any:
    """Return a duration in nanoseconds, and any other value unchanged."""
    return value.ToNanoseconds() if isinstance(value, duration_pb2.Duration) else value


def _violations(value: Any, kind: str, rules: Message, field: FieldDescriptor) -> Iterator[str]:
    if getattr(rules, "ignore_empty", False) and not value:
        return
    for option, rule in rules.ListFields():
        name = option.name
        if name in _IGNORED_RULES or name in ("required", "skip"):
            continue
        if name == "defined_only":
            is_valid = not rule or value in field.enum_type.values_by_number
        elif name == "items":
            for item in value:
                yield from _field_violations(item, rule, field)
            continue
        elif name in _CHECKS:
            is_valid = _CHECKS[name](_comparable(value), _comparable(rule))
        else:
            raise NotImplementedError(f"unsupported rule {kind}.{name}")
        if not is_valid:
            yield f"is {str(value)[:60]!r}, which violates {kind}.{name} {str(rule)[:60]}"


def _field_violations(value: Any, rules: Any, field: FieldDescriptor) -> Iterator[str]:
    kind = rules.WhichOneof("type")
    if kind is None:
        return
    if kind == "map":
        raise NotImplementedError("unsupported rules of a map field")
    if isinstance(value, Message) and hasattr(value, "value") and not isinstance(value, any_pb2.Any):
        value = value.value  # the rules of a wrapper message apply to the wrapped value
    yield from _violations(value, kind, getattr(rules, kind), field)


def _is_missing(message: Message, field: FieldDescriptor, rules: Any) -> bool:
    """Return whether a required field is missing."""
    if field.containing_oneof is not None:  # required only if it is the field set in the oneof
        return False
    kind = rules.WhichOneof("type")
    required = rules.message.required or (
        kind in ("any", "duration", "timestamp") and getattr(rules, kind).required
    )
    return bool(required) and not message.HasField(field.name)


def rule_violations(message: Message, path: str = "") -> Iterator[str]:
    """Yield a text for each rule that a message or a nested message violates, with `Any` fields unpacked."""
    path = path or message.DESCRIPTOR.name
    if isinstance(message, any_pb2.Any):
        inner = symbol_database.Default().GetSymbol(message.TypeName())()
        assert message.Unpack(inner)
        yield from rule_violations(inner, f"{path}<{inner.DESCRIPTOR.name}>")
        return
    for group in message.DESCRIPTOR.oneofs:
        if group.GetOptions().Extensions[validate_pb2.required] and not message.WhichOneof(group.name):
            yield f"{path}.{group.name} has none of its fields"
    for field in message.DESCRIPTOR.fields:
        rules = field.GetOptions().Extensions[validate_pb2.rules]
        if _is_missing(message, field, rules):
            yield f"{path}.{field.name} is missing"
            continue
        value, repeated = getattr(message, field.name), field.is_repeated
        present = repeated or not field.has_presence or message.HasField(field.name)
        if not present:
            continue
        yield from (f"{path}.{field.name} {text}" for text in _field_violations(value, rules, field))
        if field.type == FieldDescriptor.TYPE_MESSAGE and not field.message_type.GetOptions().map_entry:
            for at, each in enumerate(value if repeated else [value]):
                yield from rule_violations(each, f"{path}.{field.name}" + (f"[{at}]" if repeated else ""))
